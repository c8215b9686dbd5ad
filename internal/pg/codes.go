package pg

// Codes of errors.
const (
	CodeTooManyConnections    = "53300" // too many connections: throttled
	CodeReadOnlyTransaction   = "25006" // read only
	CodeSnapshotTooOld        = "72000" // snapshot too old
	CodeSystemError           = "58000" // system error
	CodeCannotConnectNow      = "57P03" // cannot connect now: trying again does no harm
	CodeProtocolViolation     = "08P01" // protocol violation
	CodeSyntaxError           = "42601"
	CodeInvalidParameterValue = "22023" // invalid parameter value
	CodeFeatureNotSupported   = "0A000"
)
