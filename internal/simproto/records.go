package simproto

// Address is an endpoint's IPv4 address and port, as the frames carry them.
type Address [6]byte

// Endpoint is one row of an endpoint list.
type Endpoint struct {
	Address   Address
	Zone      int
	Shard     int
	State     int     // as router.EndpointState
	Weight    float64 // relative power, in no unit
	StartedAt uint64  // clock time in nanoseconds; 0: long ago
	Primary   bool
}

// AttemptEnded tells how one attempt of a command ended.
type AttemptEnded struct {
	Command    uint32 // its id
	Attempt    int
	Address    Address
	Result     int    // the simulator's result code
	Elapsed    uint64 // nanoseconds
	Final      bool   // the command is over
	PositionMs uint32 // the endpoint's log position in milliseconds after the settings' zero; 0: unknown
	Role       int    // as router.Role
}

// Command is a command as a client sent it.
type Command struct {
	ID             uint32
	Group          int
	Tenant         int
	Session        uint64
	Deadline       uint64 // clock time in nanoseconds at which the client gives up
	Shard          int
	LastWriteAgeMs float64 // age of the session's last write
	Flags          byte
}

// FlagClientRetry marks a command that its client sends again.
const FlagClientRetry = 2

// UpdateMode says how an instance learns of an endpoint list.
type UpdateMode byte

// Modes of an update.
const (
	ListChanges  UpdateMode = iota // the list holds what has changed
	ListComplete                   // the list is complete
	ListCached                     // the list is complete, and the one that the instance knew before its start
	ListFailed                     // no list: the discovery service did not answer
)

// Handler takes the records of a batch in their order. The first error ends the batch.
type Handler interface {
	// SelectInstance names the instance that the following records concern.
	SelectInstance(instance uint32) error
	// StartInstance starts the selected instance. The settings belong to the batch's buffer.
	StartInstance(seed uint64, settings []byte) error
	// CrashInstance ends the selected instance at once.
	CrashInstance() error
	// DefineList defines an endpoint list for every instance.
	DefineList(id int, endpoints []Endpoint) error
	// UpdateList has the selected instance learn of a list that was defined.
	UpdateList(mode UpdateMode, id int) error
	// Command brings a command.
	Command(command Command) error
	// FirstByte tells that a streamed answer has begun.
	FirstByte(command uint32, attempt int) error
	// AttemptEnded tells how an attempt ended.
	AttemptEnded(ended AttemptEnded) error
	// ClientGone tells that a command's client has left, or that its answer is overdue. The command may be over.
	ClientGone(command uint32) error
	// TimerFired tells that a timer has run out.
	TimerFired(timer uint32) error
	// HealthChecked tells how a health check ended; elapsed is in nanoseconds, report the fields of a load report.
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

// call hands a decoded record to its handler's method.
type call func(Handler) error

// decoders reads the fields of each kind of record.
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
	c.uint64() // the time since it was sent
	return func(h Handler) error { return h.FirstByte(command, attempt) }
}

// skipPeerMessage reads what another instance sent: routers exchange nothing.
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
	ended.PositionMs, ended.Role = splitMark(c.uint32())
	c.report() // load reports of answers are not used
	return func(h Handler) error { return h.AttemptEnded(ended) }
}

// splitMark takes a log position and a role apart: four times the one plus the other.
func splitMark(mark uint32) (positionMs uint32, role int) {
	const roles = 4
	return mark / roles, int(mark % roles)
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
	c.uint64() // the work expected
	command.Shard = int(c.float32())
	command.LastWriteAgeMs = float64(c.float32())
	command.Flags = c.uint8()
	return func(h Handler) error { return h.Command(command) }
}

func decodeUpdateList(c *cursor) call {
	mode := UpdateMode(c.uint8())
	c.uint32() // the list's version
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
