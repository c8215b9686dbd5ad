// Package hand keeps the commands in hand and the times at which the module wants to be asked about
// them again. It drives the module's calls and decides nothing; what carries the decisions out, a
// simulator's wire or sockets, stands behind Executor.
package hand

import (
	"container/heap"
	"math"
	"slices"

	"stoatdale.example/stoatdale/internal/router"
)

// Executor carries out what the module decides. Its calls must not call the hand.
type Executor interface {
	Forward(id uint32, leg, node int, until float64)
	Cancel(id uint32, leg int)
	Reject(id uint32, comeBack float64)
	Fail(id uint32)
}

// command is one that still has an answer or a dispatch to come.
type command struct {
	router.Command
	router *router.Router // that took it, and decides to its end
	id     uint32
	asked  float64 // the next time to ask about it
	done   bool
}

// Tracker is one router's commands.
type Tracker struct {
	router *router.Router   // takes what comes
	past   []*router.Router // under earlier settings, with commands in hand
	out    Executor
	cmds   map[uint32]*command
	dues   dues
	seq    uint64
}

// New returns a hand without commands.
func New(r *router.Router, out Executor) *Tracker {
	return &Tracker{router: r, out: out, cmds: map[uint32]*command{}}
}

// Len is the number of commands in hand.
func (h *Tracker) Len() int { return len(h.cmds) }

// Add takes a command in. Ids never come twice.
func (h *Tracker) Add(now float64, id uint32, cmd router.Command) {
	c := &command{id: id, Command: cmd, router: h.router}
	h.cmds[id] = c
	h.carry(c, c.router.Route(now, &c.Command))
}

// SwitchRouter has a fresh router take what comes from here on, with what the present one has learnt that still means
// the same. What is in hand ends by the present one.
func (h *Tracker) SwitchRouter(now float64, fresh *router.Router) {
	fresh.MigrateFrom(now, h.router)
	h.past = append(h.past, h.router)
	h.router = fresh
}

// UpdateEndpoints takes in the list, for whichever router has commands in hand.
func (h *Tracker) UpdateEndpoints(now float64, list []router.EndpointInfo, whole, cached bool) {
	h.router.UpdateEndpoints(now, list, whole, cached)
	for _, r := range h.past {
		r.UpdateEndpoints(now, list, whole, cached)
	}
}

// ClientGone takes in that a command's client has gone.
func (h *Tracker) ClientGone(now float64, id uint32) {
	if c := h.cmds[id]; c != nil && !c.done {
		c.done = true
		h.carry(c, router.Decision{Action: router.None, CancelAttempt: c.router.ClientGone(now, &c.Command)})
		h.release(c)
	}
}

// AttemptEnded takes in how a dispatch ended; an outcome that nobody waits for is passed over.
func (h *Tracker) AttemptEnded(now float64, id uint32, o router.AttemptResult) {
	c := h.cmds[id]
	if c == nil || o.Attempt >= len(c.Attempts) || !c.Attempts[o.Attempt].InFlight {
		return
	}
	o.Final = o.Final || c.done
	a := c.router.AttemptEnded(now, &c.Command, o)
	if c.router != h.router {
		h.router.LearnFrom(&c.Command, c.router)
	}
	c.done = c.done || o.Final
	h.carry(c, a)
	h.release(c)
}

// ReviewDue asks about all that is due and returns when to settle next, and the upkeep due now.
func (h *Tracker) ReviewDue(now float64) (float64, router.Maintenance) {
	for len(h.dues) > 0 && h.dues[0].at <= now {
		d := heap.Pop(&h.dues).(due)
		if !d.cmd.done && d.cmd.asked == d.at {
			h.carry(d.cmd, d.cmd.router.Route(now, &d.cmd.Command))
		}
	}
	h.past = slices.DeleteFunc(h.past, func(r *router.Router) bool {
		for _, c := range h.cmds {
			if c.router == r {
				return false
			}
		}
		return true
	})
	pause, keep := h.router.Maintain(now) // the fleet is the present one's to look after
	next := now + pause
	if len(h.dues) > 0 {
		next = math.Min(next, h.dues[0].at)
	}
	return next, keep
}

// release forgets a command with nothing more to come.
func (h *Tracker) release(c *command) {
	if !c.done {
		return
	}
	for i := range c.Attempts {
		if c.Attempts[i].InFlight {
			return
		}
	}
	delete(h.cmds, c.id)
}

// carry has one answer carried out.
func (h *Tracker) carry(c *command, a router.Decision) {
	if a.CancelAttempt >= 0 {
		h.out.Cancel(c.id, a.CancelAttempt)
	}
	if c.done {
		return
	}
	switch a.Action {
	case router.Forward:
		h.out.Forward(c.id, len(c.Attempts)-1, a.Endpoint, a.AttemptDeadline)
	case router.Reject:
		c.done = true
		h.out.Reject(c.id, a.RetryAfter)
	case router.Fail:
		c.done = true
		h.out.Fail(c.id)
	}
	if c.done {
		h.release(c)
		return
	}
	if a.ReviewAt > 0 {
		c.asked = a.ReviewAt
		h.seq++
		heap.Push(&h.dues, due{at: a.ReviewAt, seq: h.seq, cmd: c})
	}
}

// due is a time to ask about a command again.
type due struct {
	at  float64
	seq uint64
	cmd *command
}

type dues []due

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)   { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}
