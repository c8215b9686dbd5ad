package invariant

import "fmt"

// Names of the properties of commands, in words.
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

// Effect of a command, as in the deployment's settings.
type Effect int

// Effects.
const (
	Replayable Effect = iota
	Keyed
	Mutating
)

// Command is what is known of one from outside.
type Command struct {
	Effect Effect
	GiveUp float64 // its client stops waiting, seconds
	Memory float64 // seconds that a repeat is known
	Needs  float64 // position that its data must cover
	Seen   float64 // position that its session has seen at this router

	answers  int
	ended    bool // its client left, or the router that held it is gone
	out      int
	mayRan   bool
	ranFirst float64 // when the first dispatch that may have run was sent
	ranSet   int
}

// Member is what is true of one, whatever anybody was told.
type Member struct {
	Set       int
	Away      bool    // draining or gone
	AwaySince float64 // when the router was told
	Covers    float64 // position up to which its data goes
}

// Commands watches commands, their dispatches and answers.
type Commands struct {
	Grace  float64 // seconds after a draining notice
	broken string
	how    string
}

// Broken names the first property that was broken, and how.
func (c *Commands) Broken() (property, how string) { return c.broken, c.how }

func (c *Commands) breaks(property, format string, args ...any) {
	if c.broken == "" {
		c.broken, c.how = property, fmt.Sprintf(format, args...)
	}
}

// Sent notes that a dispatch goes out.
func (c *Commands) Sent(now float64, name string, cmd *Command, member int, m *Member) {
	switch {
	case cmd.answers > 0 || cmd.ended:
		c.breaks(NotAfter, "%s is sent to member %d after its end", name, member)
	case now > cmd.GiveUp:
		c.breaks(NotAfter, "%s is sent to member %d at %.3f s, and its client waited until %.3f s", name, member, now, cmd.GiveUp)
	case cmd.out > 0:
		c.breaks(OneOut, "%s is sent to member %d while another dispatch is out", name, member)
	case cmd.Effect == Mutating && cmd.mayRan:
		c.breaks(NoRepeat, "%s is sent again to member %d, and may have run", name, member)
	case cmd.Effect == Keyed && cmd.mayRan && m.Set != cmd.ranSet:
		c.breaks(InMemory, "%s may have run in set %d and is sent again in set %d", name, cmd.ranSet, m.Set)
	case cmd.Effect == Keyed && cmd.mayRan && now-cmd.ranFirst > cmd.Memory:
		c.breaks(InMemory, "%s is sent again %.3f s after it may have run, and is known for %.3f s", name, now-cmd.ranFirst, cmd.Memory)
	case m.Away && now-m.AwaySince > c.Grace:
		c.breaks(NoDraining, "%s is sent to member %d at %.3f s, which was told to be away at %.3f s", name, member, now, m.AwaySince)
	}
	cmd.out++
}

// Back notes that a dispatch, sent at a time to a set, has ended, and whether it may have run.
func (c *Commands) Back(cmd *Command, sent float64, set int, mayRan bool) {
	cmd.out--
	if mayRan && !cmd.mayRan {
		cmd.mayRan, cmd.ranFirst, cmd.ranSet = true, sent, set
	}
}

// Served notes that a member answers a read from its data.
func (c *Commands) Served(name string, cmd *Command, member int, m *Member) {
	switch {
	case m.Covers < cmd.Needs:
		c.breaks(NotStale, "%s is answered by member %d, whose data goes to %.3f s, and needs %.3f s", name, member, m.Covers, cmd.Needs)
	case m.Covers < cmd.Seen:
		c.breaks(NotBack, "%s is answered by member %d, whose data goes to %.3f s, and its session has seen %.3f s", name, member, m.Covers,
			cmd.Seen)
	}
}

// Answered notes a final answer.
func (c *Commands) Answered(now float64, name string, cmd *Command) {
	cmd.answers++
	switch {
	case cmd.answers > 1:
		c.breaks(OneAnswer, "%s gets %d", name, cmd.answers)
	case now > cmd.GiveUp:
		c.breaks(InTime, "%s is answered at %.3f s, and its client waited until %.3f s", name, now, cmd.GiveUp)
	}
}

// Ended notes that a command's client has gone, or its router.
func (c *Commands) Ended(cmd *Command) { cmd.ended = true }

// Overdue notes the time: a command whose client stopped waiting must have had its answer.
func (c *Commands) Overdue(now float64, name string, cmd *Command) {
	if cmd.answers == 0 && !cmd.ended && now > cmd.GiveUp {
		c.breaks(OneAnswer, "%s has none at %.3f s, and its client waited until %.3f s", name, now, cmd.GiveUp)
	}
}

// Open tells whether a command still waits for its answer.
func (cmd *Command) Open() bool { return cmd.answers == 0 && !cmd.ended }
