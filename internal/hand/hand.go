// Package hand keeps the commands in hand and the times at which the module wants to be asked about
// them again. It drives the module's calls and decides nothing; what carries the decisions out, a
// simulator's wire or sockets, stands behind Out.
package hand

import (
	"container/heap"
	"math"
	"slices"

	"stoatdale.example/stoatdale/internal/router"
)

// Out carries out what the module decides. Its calls must not call the hand.
type Out interface {
	Dispatch(id uint32, leg, node int, until float64)
	Recall(id uint32, leg int)
	Throttle(id uint32, comeBack float64)
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

// Hand is one router's commands.
type Hand struct {
	router *router.Router   // takes what comes
	past   []*router.Router // under earlier settings, with commands in hand
	out    Out
	cmds   map[uint32]*command
	dues   dues
	seq    uint64
}

// New returns a hand without commands.
func New(r *router.Router, out Out) *Hand {
	return &Hand{router: r, out: out, cmds: map[uint32]*command{}}
}

// Len is the number of commands in hand.
func (h *Hand) Len() int { return len(h.cmds) }

// Take takes a command in. Ids never come twice.
func (h *Hand) Take(now float64, id uint32, cmd router.Command) {
	c := &command{id: id, Command: cmd, router: h.router}
	h.cmds[id] = c
	h.carry(c, c.router.Place(now, &c.Command))
}

// Move has a fresh router take what comes from here on, with what the present one has learnt that still means
// the same. What is in hand ends by the present one.
func (h *Hand) Move(now float64, fresh *router.Router) {
	fresh.Carry(now, h.router)
	h.past = append(h.past, h.router)
	h.router = fresh
}

// Listed takes in the list, for whichever router has commands in hand.
func (h *Hand) Listed(now float64, list []router.Listing, whole, cached bool) {
	h.router.Listed(now, list, whole, cached)
	for _, r := range h.past {
		r.Listed(now, list, whole, cached)
	}
}

// Left takes in that a command's client has gone.
func (h *Hand) Left(now float64, id uint32) {
	if c := h.cmds[id]; c != nil && !c.done {
		c.done = true
		h.carry(c, router.Answer{Verdict: router.Done, Recall: c.router.Left(now, &c.Command)})
		h.release(c)
	}
}

// Ended takes in how a dispatch ended; an outcome that nobody waits for is passed over.
func (h *Hand) Ended(now float64, id uint32, o router.Outcome) {
	c := h.cmds[id]
	if c == nil || o.Leg >= len(c.Legs) || !c.Legs[o.Leg].Out {
		return
	}
	o.Over = o.Over || c.done
	a := c.router.After(now, &c.Command, o)
	if c.router != h.router {
		h.router.Heed(&c.Command, c.router)
	}
	c.done = c.done || o.Over
	h.carry(c, a)
	h.release(c)
}

// Settle asks about all that is due and returns when to settle next, and the upkeep due now.
func (h *Hand) Settle(now float64) (float64, router.Upkeep) {
	for len(h.dues) > 0 && h.dues[0].at <= now {
		d := heap.Pop(&h.dues).(due)
		if !d.cmd.done && d.cmd.asked == d.at {
			h.carry(d.cmd, d.cmd.router.Place(now, &d.cmd.Command))
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
	pause, keep := h.router.Wait(now) // the fleet is the present one's to look after
	next := now + pause
	if len(h.dues) > 0 {
		next = math.Min(next, h.dues[0].at)
	}
	return next, keep
}

// release forgets a command with nothing more to come.
func (h *Hand) release(c *command) {
	if !c.done {
		return
	}
	for i := range c.Legs {
		if c.Legs[i].Out {
			return
		}
	}
	delete(h.cmds, c.id)
}

// carry has one answer carried out.
func (h *Hand) carry(c *command, a router.Answer) {
	if a.Recall >= 0 {
		h.out.Recall(c.id, a.Recall)
	}
	if c.done {
		return
	}
	switch a.Verdict {
	case router.Send:
		h.out.Dispatch(c.id, len(c.Legs)-1, a.Node, a.Until)
	case router.Throttle:
		c.done = true
		h.out.Throttle(c.id, a.ComeBack)
	case router.Fail:
		c.done = true
		h.out.Fail(c.id)
	}
	if c.done {
		h.release(c)
		return
	}
	if a.Again > 0 {
		c.asked = a.Again
		h.seq++
		heap.Push(&h.dues, due{at: a.Again, seq: h.seq, cmd: c})
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
