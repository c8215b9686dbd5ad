package invariant

import "fmt"

// Names of the properties of commands, in words.
const (
	OneAnswer  = "every command gets exactly one final answer"
	AnsweredInTime     = "the final answer comes before the client timeout"
	NothingSentAfterEnd   = "nothing is sent for a command after its final answer or its client timeout"
	NoUnsafeRetry   = "a mutating command is sent again only if every earlier dispatch provably never ran"
	KeyedRetryInWindow   = "a keyed command that may have run is sent again only in its own set, within its memory span"
	OneAttemptInFlight     = "no two dispatches of a command are out at once"
	NothingSentToDraining = "nothing new goes to a draining or gone member past the grace"
	ReadsOwnWrites   = "no read is older than its session's own writes"
	MonotonicReads    = "no read of a session is older than one before it at the same router"
)

// Idempotency of a command, as in the deployment's settings.
type Idempotency int

// Effects.
const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NonIdempotent
)

// Command is what is known of one from outside.
type Command struct {
	Idempotency Idempotency
	ClientDeadline float64 // its client stops waiting, seconds
	IdempotencyWindow float64 // seconds that a repeat is known
	RequiredPosition  float64 // position that its data must cover
	SeenPosition   float64 // position that its session has seen at this router

	answers  int
	ended    bool // its client left, or the router that held it is gone
	out      int
	mayRan   bool
	ranFirst float64 // when the first dispatch that may have run was sent
	ranSet   int
}

// Backend is what is true of one, whatever anybody was told.
type Backend struct {
	Shard       int
	Draining      bool    // draining or gone
	DrainingSince float64 // when the router was told
	AppliedPosition    float64 // position up to which its data goes
}

// CommandChecker watches commands, their dispatches and answers.
type CommandChecker struct {
	DrainGrace  float64 // seconds after a draining notice
	broken string
	how    string
}

// Broken names the first property that was broken, and how.
func (c *CommandChecker) Broken() (property, how string) { return c.broken, c.how }

func (c *CommandChecker) breaks(property, format string, args ...any) {
	if c.broken == "" {
		c.broken, c.how = property, fmt.Sprintf(format, args...)
	}
}

// AttemptSent notes that a dispatch goes out.
func (c *CommandChecker) AttemptSent(now float64, name string, cmd *Command, member int, m *Backend) {
	switch {
	case cmd.answers > 0 || cmd.ended:
		c.breaks(NothingSentAfterEnd, "%s is sent to member %d after its end", name, member)
	case now > cmd.ClientDeadline:
		c.breaks(NothingSentAfterEnd, "%s is sent to member %d at %.3f s, and its client waited until %.3f s", name, member, now, cmd.ClientDeadline)
	case cmd.out > 0:
		c.breaks(OneAttemptInFlight, "%s is sent to member %d while another dispatch is out", name, member)
	case cmd.Idempotency == NonIdempotent && cmd.mayRan:
		c.breaks(NoUnsafeRetry, "%s is sent again to member %d, and may have run", name, member)
	case cmd.Idempotency == IdempotentWithKey && cmd.mayRan && m.Shard != cmd.ranSet:
		c.breaks(KeyedRetryInWindow, "%s may have run in set %d and is sent again in set %d", name, cmd.ranSet, m.Shard)
	case cmd.Idempotency == IdempotentWithKey && cmd.mayRan && now-cmd.ranFirst > cmd.IdempotencyWindow:
		c.breaks(KeyedRetryInWindow, "%s is sent again %.3f s after it may have run, and is known for %.3f s", name, now-cmd.ranFirst, cmd.IdempotencyWindow)
	case m.Draining && now-m.DrainingSince > c.DrainGrace:
		c.breaks(NothingSentToDraining, "%s is sent to member %d at %.3f s, which was told to be away at %.3f s", name, member, now, m.DrainingSince)
	}
	cmd.out++
}

// AttemptEnded notes that a dispatch, sent at a time to a set, has ended, and whether it may have run.
func (c *CommandChecker) AttemptEnded(cmd *Command, sent float64, set int, mayRan bool) {
	cmd.out--
	if mayRan && !cmd.mayRan {
		cmd.mayRan, cmd.ranFirst, cmd.ranSet = true, sent, set
	}
}

// ReadServed notes that a member answers a read from its data.
func (c *CommandChecker) ReadServed(name string, cmd *Command, member int, m *Backend) {
	switch {
	case m.AppliedPosition < cmd.RequiredPosition:
		c.breaks(ReadsOwnWrites, "%s is answered by member %d, whose data goes to %.3f s, and needs %.3f s", name, member, m.AppliedPosition, cmd.RequiredPosition)
	case m.AppliedPosition < cmd.SeenPosition:
		c.breaks(MonotonicReads, "%s is answered by member %d, whose data goes to %.3f s, and its session has seen %.3f s", name, member, m.AppliedPosition,
			cmd.SeenPosition)
	}
}

// CommandAnswered notes a final answer.
func (c *CommandChecker) CommandAnswered(now float64, name string, cmd *Command) {
	cmd.answers++
	switch {
	case cmd.answers > 1:
		c.breaks(OneAnswer, "%s gets %d", name, cmd.answers)
	case now > cmd.ClientDeadline:
		c.breaks(AnsweredInTime, "%s is answered at %.3f s, and its client waited until %.3f s", name, now, cmd.ClientDeadline)
	}
}

// CommandAbandoned notes that a command's client has gone, or its router.
func (c *CommandChecker) CommandAbandoned(cmd *Command) { cmd.ended = true }

// CheckDeadline notes the time: a command whose client stopped waiting must have had its answer.
func (c *CommandChecker) CheckDeadline(now float64, name string, cmd *Command) {
	if cmd.answers == 0 && !cmd.ended && now > cmd.ClientDeadline {
		c.breaks(OneAnswer, "%s has none at %.3f s, and its client waited until %.3f s", name, now, cmd.ClientDeadline)
	}
}

// Open tells whether a command still waits for its answer.
func (cmd *Command) Open() bool { return cmd.answers == 0 && !cmd.ended }
