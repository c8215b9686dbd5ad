package invariant

import "fmt"

// Properties of commands and their attempts. Stored traces hold these texts.
const (
	OneAnswer  = "every command gets exactly one final answer"
	InTime     = "the final answer comes before the client timeout"
	NotAfter   = "nothing is sent for a command after its final answer or its client timeout"
	NoRepeat   = "a mutating command is sent again only if every earlier dispatch provably never ran"
	InMemory   = "a keyed command that may have run is sent again only in its own set, within its memory span"
	OneOut     = "no two dispatches of a command are out at once"
	NoDraining = "nothing new goes to a draining or gone member past the grace"
	NotStale   = "no read is older than its session's own writes"
	NotBack    = "no read of a session is older than one before it at the same router"
)

// Effect is what a second run of a command does; the values are in the order of router.Idempotency.
type Effect int

// Values of Effect.
const (
	Replayable Effect = iota // a second run does no harm
	Keyed                    // a second run is recognized by its key, in one shard and for a time
	Mutating                 // a second run may have its effect twice
)

// Command is what the checker knows of a command. Times and positions are in seconds.
type Command struct {
	Effect Effect
	GiveUp float64 // when its client stops waiting
	Memory float64 // how long a shard recognizes a Keyed command's key
	Needs  float64 // position that an answering backend must have applied: the session's last write
	Seen   float64 // highest position that earlier reads of its session have shown at this router

	answers        int
	abandoned      bool // its client is gone, or the router that had it has stopped
	inFlight       int
	mayHaveRun     bool
	firstRunSentAt float64 // of the first attempt that may have run
	firstRunShard  int
}

// Member is the true state of a backend, which routers may not know yet. Times and positions are in seconds.
type Member struct {
	Set       int
	Away      bool    // draining or gone
	AwaySince float64 // when the router learned that
	Covers    float64 // position that its data has applied
}

// Commands checks the attempts and answers of commands. Times are in seconds.
type Commands struct {
	Grace    float64 // time after a draining notice in which attempts may still be sent
	violated string
	detail   string
}

// Broken returns the first property that was violated and the details; both are empty if none was.
func (c *Commands) Broken() (property, detail string) { return c.violated, c.detail }

func (c *Commands) recordViolation(property, format string, args ...any) {
	if c.violated == "" {
		c.violated, c.detail = property, fmt.Sprintf(format, args...)
	}
}

// Sent checks and records that an attempt of a command is sent to a backend, which is in this state.
func (c *Commands) Sent(now float64, name string, cmd *Command, backend int, state *Member) {
	switch {
	case cmd.answers > 0 || cmd.abandoned:
		c.recordViolation(NotAfter, "%s is sent to backend %d after its end", name, backend)
	case now > cmd.GiveUp:
		c.recordViolation(NotAfter, "%s is sent to backend %d at %.3f s, but its client waited only until %.3f s", name, backend, now, cmd.GiveUp)
	case cmd.inFlight > 0:
		c.recordViolation(OneOut, "%s is sent to backend %d while another attempt is in flight", name, backend)
	case cmd.Effect == Mutating && cmd.mayHaveRun:
		c.recordViolation(NoRepeat, "%s is sent again to backend %d although it may have run", name, backend)
	case cmd.Effect == Keyed && cmd.mayHaveRun && state.Set != cmd.firstRunShard:
		c.recordViolation(InMemory, "%s may have run in shard %d and is sent again to shard %d", name, cmd.firstRunShard, state.Set)
	case cmd.Effect == Keyed && cmd.mayHaveRun && now-cmd.firstRunSentAt > cmd.Memory:
		c.recordViolation(InMemory, "%s is sent again %.3f s after it may have run, but its key is recognized for only %.3f s", name, now-cmd.firstRunSentAt, cmd.Memory)
	case state.Away && now-state.AwaySince > c.Grace:
		c.recordViolation(NoDraining, "%s is sent to backend %d at %.3f s, but the router learned at %.3f s that it is draining or gone", name, backend, now, state.AwaySince)
	}
	cmd.inFlight++
}

// Back records that an attempt, sent to a shard at sentAt, has ended, and whether the command may have run.
func (c *Commands) Back(cmd *Command, sentAt float64, shard int, mayHaveRun bool) {
	cmd.inFlight--
	if mayHaveRun && !cmd.mayHaveRun {
		cmd.mayHaveRun, cmd.firstRunSentAt, cmd.firstRunShard = true, sentAt, shard
	}
}

// Served checks that a backend that answers a read has applied the positions that the command needs.
func (c *Commands) Served(name string, cmd *Command, backend int, state *Member) {
	switch {
	case state.Covers < cmd.Needs:
		c.recordViolation(NotStale, "%s is answered by backend %d, which has applied %.3f s, but needs %.3f s", name, backend, state.Covers, cmd.Needs)
	case state.Covers < cmd.Seen:
		c.recordViolation(NotBack, "%s is answered by backend %d, which has applied %.3f s, but its session has seen %.3f s", name, backend, state.Covers,
			cmd.Seen)
	}
}

// Answered checks and records a command's final answer.
func (c *Commands) Answered(now float64, name string, cmd *Command) {
	cmd.answers++
	switch {
	case cmd.answers > 1:
		c.recordViolation(OneAnswer, "%s gets %d answers", name, cmd.answers)
	case now > cmd.GiveUp:
		c.recordViolation(InTime, "%s is answered at %.3f s, but its client waited only until %.3f s", name, now, cmd.GiveUp)
	}
}

// Ended records that a command needs no answer: its client is gone, or its router has stopped.
func (c *Commands) Ended(cmd *Command) { cmd.abandoned = true }

// Overdue checks that a command whose client has stopped waiting has been answered.
func (c *Commands) Overdue(now float64, name string, cmd *Command) {
	if cmd.answers == 0 && !cmd.abandoned && now > cmd.GiveUp {
		c.recordViolation(OneAnswer, "%s has no answer at %.3f s, and its client waited until %.3f s", name, now, cmd.GiveUp)
	}
}

// Open reports whether the command still waits for its answer.
func (cmd *Command) Open() bool { return cmd.answers == 0 && !cmd.abandoned }
