// Package front serves clients over PostgreSQL's wire protocol. It takes commands in for the core and
// gives their answers back in the order of the commands; it decides nothing.
package front

import (
	"container/list"
	"net/netip"

	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/core"
	"stoatdale.example/stoatdale/internal/count"
	"stoatdale.example/stoatdale/internal/loop"
	"stoatdale.example/stoatdale/internal/site"
)

// Core is what a front needs of the core.
type Core interface {
	Set(cluster int) (int, bool)
	Open(name string) bool
	Take(c *core.Command)
	Left(cs []*core.Command) // the client of these has gone
	MakeRoom() bool
	Age(unix float64) float64
}

// Front is a listener and its clients.
type Front struct {
	At     netip.AddrPort // where it listens
	loop   loop.ListenWire
	limits *site.Limits
	blocks *buffer.Pool
	core   Core
	count  *count.Counters
	log    zerolog.Logger
	groups map[string]int
	told   *site.Settings

	listener int // -1: closed
	resume   *loop.Timer
	conns    map[*conn]bool
	// Conns that may make room, in the order in which they do, and in each list the one that is there for the
	// longest first: ended ones, those that never asked, those between commands.
	parting, mute, idle list.List
	waiting             []*conn // not read for want of buffers
	more                []*conn // with messages left for the next turn
	// The end: it stops listening, and when the last call is over nothing more is read.
	ending, over bool
	lastCall     float64 // when that is; 0: not told to end
	end          *loop.Timer
}

// Listen opens a front on one address.
func Listen(at netip.AddrPort, l loop.ListenWire, limits *site.Limits, blocks *buffer.Pool, o Core,
	told *site.Settings, c *count.Counters, log zerolog.Logger) (*Front, error) {
	f := &Front{loop: l, limits: limits, blocks: blocks, core: o, count: c, log: log, groups: map[string]int{},
		told: told, conns: map[*conn]bool{}}
	f.Regroup()
	f.resume = loop.NewTimer(func() { f.listen(true) })
	f.end = loop.NewTimer(f.endOn)
	var err error
	if f.listener, err = l.Listen(at, limits.Counts.ListenBacklog); err != nil {
		return nil, err
	}
	if f.At, err = l.Bound(f.listener); err != nil {
		return nil, err
	}
	return f, l.Add(f.listener, f, true, false)
}

// Regroup takes the command groups' names from the settings as they are now.
func (f *Front) Regroup() {
	clear(f.groups)
	for i, name := range f.told.GroupNames {
		f.groups[name] = i
	}
}

// Open is the number of client connections.
func (f *Front) Open() int { return len(f.conns) }

// Closed says that the front has ended: it takes no new clients in.
func (f *Front) Closed() bool { return f.ending }

// Refresh goes on with messages that were left over, and reads on where buffers were scarce. It says whether
// messages are left again, so that the loop should not wait.
func (f *Front) Refresh() bool {
	again := f.more
	f.more = nil
	for _, c := range again {
		c.left = false
		if c.state != closed {
			c.step()
		}
	}
	if len(f.waiting) > 0 && !f.blocks.Scarce() {
		again, f.waiting = f.waiting, nil
		for _, c := range again {
			c.paused = false
			if c.state != closed {
				c.step()
			}
		}
	}
	return len(f.more) > 0
}
