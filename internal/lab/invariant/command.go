package invariant

import "fmt"

// Properties of commands and their attempts. Stored traces hold these texts; in them, a dispatch is an attempt, a member is a
// backend and a set is a shard.
const (
	OneAnswer             = "every command gets exactly one final answer"
	AnsweredInTime        = "the final answer comes before the client timeout"
	NothingSentAfterEnd   = "nothing is sent for a command after its final answer or its client timeout"
	NoUnsafeRetry         = "a mutating command is sent again only if every earlier dispatch provably never ran"
	KeyedRetryInWindow    = "a keyed command that may have run is sent again only in its own set, within its memory span"
	OneAttemptInFlight    = "no two dispatches of a command are out at once"
	NothingSentToDraining = "nothing new goes to a draining or gone member past the grace"
	ReadsOwnWrites        = "no read is older than its session's own writes"
	NoFormerPrimary       = "no read that must be current is sent to a former primary that has told the router so"
	MonotonicReads        = "no read of a session is older than one before it at the same router"
)

// Idempotency is the effect of a second run of a command. The values are in the order of router.Idempotency.
type Idempotency int

// Values of Idempotency.
const (
	Idempotent        Idempotency = iota // a second run does no harm
	IdempotentWithKey                    // a second run is recognized by its key, in one shard and for a time
	NonIdempotent                        // a second run may have its effect twice
)

// Command is what the checker knows of a command. Times and positions are in seconds.
type Command struct {
	Idempotency       Idempotency
	ClientDeadline    float64 // when its client stops waiting
	IdempotencyWindow float64 // how long a shard recognizes the key of an IdempotentWithKey command
	RequiredPosition  float64 // position that an answering backend must have applied, such as the session's last write
	SeenPosition      float64 // highest position that earlier reads of its session have shown at this router
	CurrentPosition   float64 // position that a former primary must have applied to get the command; 0 if any will do

	answers        int     // number of final answers
	abandoned      bool    // its client is gone, or the router that had it has stopped
	inFlight       int     // number of attempts in flight
	mayHaveRun     bool    // an attempt that has ended may have run
	firstRunSentAt float64 // when the first attempt that may have run was sent
	firstRunShard  int     // shard to which that attempt was sent
}

// Backend is the true state of a backend, which routers may not know yet. Times and positions are in seconds.
type Backend struct {
	Shard           int
	Draining        bool    // draining or gone
	DrainingSince   float64 // when the router learned that it is draining or gone
	AppliedPosition float64 // position that its data has applied
	FormerPrimary   bool    // it has stated that it is a replica, after it was the primary
}

// CommandChecker checks the attempts and answers of commands. Times are in seconds.
type CommandChecker struct {
	DrainGrace float64 // time after a draining notice in which attempts may still be sent
	violated   string
	detail     string
}

// Broken returns the first property that was violated and the details; both are empty if none was.
func (c *CommandChecker) Broken() (property, detail string) { return c.violated, c.detail }

func (c *CommandChecker) recordViolation(property, format string, args ...any) {
	if c.violated == "" {
		c.violated, c.detail = property, fmt.Sprintf(format, args...)
	}
}

// AttemptSent checks and records that an attempt of a command is sent to a backend. state is the backend's true state.
func (c *CommandChecker) AttemptSent(now float64, name string, cmd *Command, backend int, state *Backend) {
	switch {
	case cmd.answers > 0 || cmd.abandoned:
		c.recordViolation(NothingSentAfterEnd, "%s is sent to backend %d after its end", name, backend)
	case now > cmd.ClientDeadline:
		c.recordViolation(NothingSentAfterEnd, "%s is sent to backend %d at %.3f s, but its client waited only until %.3f s",
			name, backend, now, cmd.ClientDeadline)
	case cmd.inFlight > 0:
		c.recordViolation(OneAttemptInFlight, "%s is sent to backend %d while another attempt is in flight", name, backend)
	case cmd.mayHaveRun && !cmd.repeatable(now, state):
		c.recordUnsafeRetry(now, name, cmd, backend, state)
	case state.FormerPrimary && state.AppliedPosition < cmd.CurrentPosition:
		c.recordViolation(NoFormerPrimary, "%s is sent to backend %d, a former primary that has applied %.3f s, but needs %.3f s",
			name, backend, state.AppliedPosition, cmd.CurrentPosition)
	case state.Draining && now-state.DrainingSince > c.DrainGrace:
		c.recordViolation(NothingSentToDraining, "%s is sent to backend %d at %.3f s, but the router learned at %.3f s that it is draining or gone",
			name, backend, now, state.DrainingSince)
	}
	cmd.inFlight++
}

// repeatable reports whether a command that may have run may be sent to a backend again.
func (cmd *Command) repeatable(now float64, state *Backend) bool {
	sameScope := state.Shard == cmd.firstRunShard && now-cmd.firstRunSentAt <= cmd.IdempotencyWindow
	return cmd.Idempotency == Idempotent || cmd.Idempotency == IdempotentWithKey && sameScope
}

// recordUnsafeRetry records why a command that may have run must not be sent to a backend again.
func (c *CommandChecker) recordUnsafeRetry(now float64, name string, cmd *Command, backend int, state *Backend) {
	switch {
	case cmd.Idempotency == NonIdempotent:
		c.recordViolation(NoUnsafeRetry, "%s is sent again to backend %d although it may have run", name, backend)
	case state.Shard != cmd.firstRunShard:
		c.recordViolation(KeyedRetryInWindow, "%s may have run in shard %d and is sent again to shard %d",
			name, cmd.firstRunShard, state.Shard)
	default:
		c.recordViolation(KeyedRetryInWindow, "%s is sent again %.3f s after it may have run, but its key is recognized for only %.3f s",
			name, now-cmd.firstRunSentAt, cmd.IdempotencyWindow)
	}
}

// AttemptEnded records that an attempt, sent to a shard at sentAt, has ended, and whether the command may have run.
func (c *CommandChecker) AttemptEnded(cmd *Command, sentAt float64, shard int, mayHaveRun bool) {
	cmd.inFlight--
	if mayHaveRun && !cmd.mayHaveRun {
		cmd.mayHaveRun, cmd.firstRunSentAt, cmd.firstRunShard = true, sentAt, shard
	}
}

// ReadServed checks that a backend that answers a read has applied the positions that the command needs.
func (c *CommandChecker) ReadServed(name string, cmd *Command, backend int, state *Backend) {
	switch {
	case state.AppliedPosition < cmd.RequiredPosition:
		c.recordViolation(ReadsOwnWrites, "%s is answered by backend %d, which has applied %.3f s, but needs %.3f s",
			name, backend, state.AppliedPosition, cmd.RequiredPosition)
	case state.AppliedPosition < cmd.SeenPosition:
		c.recordViolation(MonotonicReads, "%s is answered by backend %d, which has applied %.3f s, but its session has seen %.3f s",
			name, backend, state.AppliedPosition, cmd.SeenPosition)
	}
}

// CommandAnswered checks and records a command's final answer.
func (c *CommandChecker) CommandAnswered(now float64, name string, cmd *Command) {
	cmd.answers++
	switch {
	case cmd.answers > 1:
		c.recordViolation(OneAnswer, "%s gets %d answers", name, cmd.answers)
	case now > cmd.ClientDeadline:
		c.recordViolation(AnsweredInTime, "%s is answered at %.3f s, but its client waited only until %.3f s", name, now, cmd.ClientDeadline)
	}
}

// CommandAbandoned records that a command needs no answer: its client is gone, or its router has stopped.
func (c *CommandChecker) CommandAbandoned(cmd *Command) { cmd.abandoned = true }

// CheckDeadline checks that a command whose client has stopped waiting has been answered.
func (c *CommandChecker) CheckDeadline(now float64, name string, cmd *Command) {
	if cmd.answers == 0 && !cmd.abandoned && now > cmd.ClientDeadline {
		c.recordViolation(OneAnswer, "%s has no answer at %.3f s, and its client waited until %.3f s",
			name, now, cmd.ClientDeadline)
	}
}

// Open reports whether the command still waits for its answer.
func (cmd *Command) Open() bool { return cmd.answers == 0 && !cmd.abandoned }
