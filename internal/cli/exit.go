package cli

import "fmt"

// ExitCode is the exit status of stoatctl. Scripts depend on the numbers, so they do not change.
type ExitCode int

// Exit codes.
const (
	ExitOK       ExitCode = 0
	ExitFailed   ExitCode = 1
	ExitUsage    ExitCode = 2 // invalid arguments or an invalid file
	ExitRejected ExitCode = 3 // rejected by a rule of the fleet, such as a minimum or another operator's lease
	ExitPaused   ExitCode = 4 // ended unresolved: a rollout or exploration can be resumed, a push repeated
)

const exitCodesHelp = `Exit status: 0 done, 1 failed, 2 invalid arguments or file, 3 rejected by a rule of the fleet, 4 paused (ended unresolved).`

// ExitError is an error that ends the program with Code.
type ExitError struct {
	Code ExitCode
	Err  error
}

// Error returns the text of the wrapped error. The code appears only in the exit status.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

// exitError returns err wrapped with the exit code, or nil if err is nil.
func exitError(code ExitCode, err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{Code: code, Err: err}
}

func exitErrorf(code ExitCode, format string, args ...any) error {
	return exitError(code, fmt.Errorf(format, args...))
}
