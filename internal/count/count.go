// Package count holds the router's counters.
package count

import "github.com/rs/zerolog"

// Counters is what a router has taken in, sent and answered since its start.
type Counters struct {
	Accepted, ClientsOpen, Shed       uint64 // client connections; shed: ended for want of descriptors
	BadInput                          uint64 // messages that were no command, and answered so
	CutShort                          uint64 // clients that did not finish a message in time
	NeverAsked, LongIdle, Stalled     uint64 // clients ended: silent since they came, silent for long, left an answer untaken
	Taken                             uint64
	TakenByGroup                      []uint64
	GroupNames                        []string
	Answered, Throttled, Failed, Left uint64
	LeftUnsent                        uint64 // clients that were noticed gone with a command that was at no member
	InHand                            uint64
	Dispatches, Recalls               uint64
	Outcomes                          [9]uint64 // by router.Ending
	Dialled, DialsFailed, MembersOpen uint64
	IdleClosed                        uint64
	Unasked                           uint64 // idle connections that ended, or brought what belongs to no command
	Spoilt                            uint64 // answers of members that could not be read
	PositionsRefused                  uint64 // positions and reports that cannot be
	MembersKnown, MemberRows          uint64 // now: members of the list, and rows for members
	Probes, ProbesFailed              uint64
	Lists, ListsFailed                uint64
	Reloads, ReloadsRefused           uint64 // of the configuration
	Moves                             uint64 // to other settings
	BlocksInUse                       uint64
	LongestTurn                       float64 // seconds
}

var outcomes = [...]string{"answered", "errored", "full", "timed_out", "unreached", "broken", "recalled",
	"moot", "missed"}

// MarshalZerologObject puts the counters on a log line.
func (c *Counters) MarshalZerologObject(e *zerolog.Event) {
	groups, ends := zerolog.Dict(), zerolog.Dict()
	for i, n := range c.TakenByGroup {
		groups.Uint64(c.GroupNames[i], n)
	}
	for i, n := range c.Outcomes {
		ends.Uint64(outcomes[i], n)
	}
	e.Uint64("clients_accepted", c.Accepted).Uint64("clients_open", c.ClientsOpen).
		Uint64("clients_shed", c.Shed).Uint64("bad_input", c.BadInput).
		Uint64("cut_short", c.CutShort).Uint64("never_asked", c.NeverAsked).Uint64("long_idle", c.LongIdle).
		Uint64("stalled", c.Stalled).
		Uint64("taken", c.Taken).Dict("taken_by_group", groups).
		Uint64("answered", c.Answered).Uint64("throttled", c.Throttled).Uint64("failed", c.Failed).
		Uint64("left", c.Left).Uint64("left_unsent", c.LeftUnsent).Uint64("in_hand", c.InHand).
		Uint64("dispatches", c.Dispatches).Uint64("recalls", c.Recalls).Dict("outcomes", ends).
		Uint64("dialled", c.Dialled).Uint64("dials_failed", c.DialsFailed).
		Uint64("members_open", c.MembersOpen).Uint64("idle_closed", c.IdleClosed).
		Uint64("unasked", c.Unasked).Uint64("spoilt", c.Spoilt).Uint64("positions_refused", c.PositionsRefused).
		Uint64("members_known", c.MembersKnown).Uint64("member_rows", c.MemberRows).
		Uint64("probes", c.Probes).Uint64("probes_failed", c.ProbesFailed).
		Uint64("reloads", c.Reloads).Uint64("reloads_refused", c.ReloadsRefused).Uint64("moves", c.Moves).
		Uint64("lists", c.Lists).Uint64("lists_failed", c.ListsFailed).
		Uint64("blocks_in_use", c.BlocksInUse).Float64("longest_turn_ms", c.LongestTurn*1000)
}
