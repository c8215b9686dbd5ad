package simproto

// Address is an endpoint's IPv4 address and port, as the frames carry them.
type Address [6]byte

// Endpoint is one row of an endpoint list.
type Endpoint struct {
	Address   Address
	Zone      int
	Shard     int
	State     int     // a value of router.EndpointState
	Weight    float64 // relative capacity, without a unit
	StartedAt uint64  // clock time in nanoseconds; 0 if the endpoint started long ago
	Primary   bool
}

// AttemptEnded is the result of one attempt of a command.
type AttemptEnded struct {
	Command    uint32 // id of the command
	Attempt    int
	Address    Address
	Result     int    // the simulator's result code
	Elapsed    uint64 // nanoseconds
	Final      bool   // the attempt's result ends the command
	PositionMs uint32 // the endpoint's log position in milliseconds since the settings' position epoch; 0 if unknown
	Role       int    // a value of router.Role
}

// Command is a command that a client has sent.
type Command struct {
	ID             uint32
	Group          int
	Tenant         int
	Session        uint64
	Deadline       uint64 // clock time in nanoseconds at which the client gives up
	Shard          int
	LastWriteAgeMs float64 // age of the session's last write, in milliseconds
	Flags          byte
}

// FlagClientRetry is the bit of Command.Flags that marks a command that its client sends again.
const FlagClientRetry = 2

// UpdateMode is the way in which an endpoint list updates an instance.
type UpdateMode byte

// Modes of an endpoint list update.
const (
	ListChanges  UpdateMode = iota // the list holds only the endpoints that have changed
	ListComplete                   // the list is complete
	ListCached                     // the list is complete, and is the one that the instance knew before its start
	ListFailed                     // there is no list, since the discovery service did not answer
)

// Handler receives the records of a batch in their order. The first error that it returns ends the batch.
type Handler interface {
	// SelectInstance selects the instance that the following records concern.
	SelectInstance(instance uint32) error
	// StartInstance starts the selected instance. The settings are part of the batch's buffer and are valid only during
	// the call.
	StartInstance(seed uint64, settings []byte) error
	// CrashInstance ends the selected instance without a shutdown.
	CrashInstance() error
	// DefineList defines an endpoint list, which UpdateList of any instance can name by its id.
	DefineList(id int, endpoints []Endpoint) error
	// UpdateList updates the selected instance by a list that was defined.
	UpdateList(mode UpdateMode, id int) error
	// Command reports that the selected instance has received a command.
	Command(command Command) error
	// FirstByte reports that a streamed answer has begun.
	FirstByte(command uint32, attempt int) error
	// AttemptEnded reports the result of an attempt.
	AttemptEnded(ended AttemptEnded) error
	// ClientGone reports that a command's client has left, or that its answer is overdue. The command may have ended
	// already.
	ClientGone(command uint32) error
	// TimerFired reports that a timer has fired.
	TimerFired(timer uint32) error
	// HealthChecked reports the result of a health check. elapsed is in nanoseconds; report holds the values of a load
	// report, or is nil.
	HealthChecked(address Address, result int, elapsed uint64, report []float32) error
}

// recordCode is the first byte of a record.
type recordCode byte

const (
	recordFirstByte recordCode = iota + 1
	recordPeerMessage
	recordStartInstance
	recordAttemptEnded
	recordSelectInstance
	recordCrashInstance
	recordTimerFired
	recordClientGone
	recordCommand
	recordUpdateList
	recordDefineList
	recordHealthChecked
)

// call passes a decoded record to the handler's method for its kind.
type call func(Handler) error

// decoders holds, for each record code, the function that reads the record's fields.
var decoders = [...]func(*cursor) call{
	recordFirstByte:      decodeFirstByte,
	recordPeerMessage:    skipPeerMessage,
	recordStartInstance:  decodeStartInstance,
	recordAttemptEnded:   decodeAttemptEnded,
	recordSelectInstance: decodeSelectInstance,
	recordCrashInstance:  func(*cursor) call { return Handler.CrashInstance },
	recordTimerFired:     decodeTimerFired,
	recordClientGone:     decodeClientGone,
	recordCommand:        decodeCommand,
	recordUpdateList:     decodeUpdateList,
	recordDefineList:     decodeDefineList,
	recordHealthChecked:  decodeHealthChecked,
}

func decodeFirstByte(c *cursor) call {
	command, attempt := c.uint32(), int(c.uint8())
	c.address()
	c.uint64() // the time since the attempt was sent, which is not used
	return func(h Handler) error { return h.FirstByte(command, attempt) }
}

// skipPeerMessage skips a message from another instance. Routers exchange no messages.
func skipPeerMessage(c *cursor) call {
	c.uint16() // the sender
	c.take(c.uint16())
	return func(Handler) error { return nil }
}

func decodeStartInstance(c *cursor) call {
	seed := c.uint64()
	settings := c.take(int(c.uint32()))
	return func(h Handler) error { return h.StartInstance(seed, settings) }
}

func decodeAttemptEnded(c *cursor) call {
	ended := AttemptEnded{
		Command: c.uint32(),
		Attempt: int(c.uint8()),
		Address: c.address(),
		Result:  c.uint16(),
		Elapsed: c.uint64(),
		Final:   c.uint8() != 0,
	}
	ended.PositionMs, ended.Role = splitPositionAndRole(c.uint32())
	c.report() // the answer's load report, which is not used
	return func(h Handler) error { return h.AttemptEnded(ended) }
}

// splitPositionAndRole unpacks a number that holds four times the log position plus the role.
func splitPositionAndRole(packed uint32) (positionMs uint32, role int) {
	const roles = 4
	return packed / roles, int(packed % roles)
}

func decodeSelectInstance(c *cursor) call {
	instance := c.uint32()
	return func(h Handler) error { return h.SelectInstance(instance) }
}

func decodeTimerFired(c *cursor) call {
	timer := c.uint32()
	return func(h Handler) error { return h.TimerFired(timer) }
}

func decodeClientGone(c *cursor) call {
	command := c.uint32()
	return func(h Handler) error { return h.ClientGone(command) }
}

func decodeCommand(c *cursor) call {
	command := Command{
		ID:       c.uint32(),
		Group:    c.uint16(),
		Tenant:   int(c.uint32()),
		Session:  c.uint64(),
		Deadline: c.uint64(),
	}
	c.uint64() // the work expected, which is not used
	command.Shard = int(c.float32())
	command.LastWriteAgeMs = float64(c.float32())
	command.Flags = c.uint8()
	return func(h Handler) error { return h.Command(command) }
}

func decodeUpdateList(c *cursor) call {
	mode := UpdateMode(c.uint8())
	c.uint32() // the list's version, which is not used
	id := c.uint16()
	return func(h Handler) error { return h.UpdateList(mode, id) }
}

func decodeDefineList(c *cursor) call {
	id, endpoints := c.uint16(), c.endpoints()
	return func(h Handler) error { return h.DefineList(id, endpoints) }
}

func decodeHealthChecked(c *cursor) call {
	result, elapsed, address := c.uint16(), c.uint64(), c.address()
	report := c.report()
	return func(h Handler) error { return h.HealthChecked(address, result, elapsed, report) }
}
