// Package service is the router as a library: New, Run, Counters.
package service

import (
	"io"

	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/core"
	"stoatdale.example/stoatdale/internal/count"
	"stoatdale.example/stoatdale/internal/front"
	"stoatdale.example/stoatdale/internal/loop"
	"stoatdale.example/stoatdale/internal/site"
)

// Config is what a router is started with; Load reads it.
type Config = site.Config

// Load reads the environment and the file that it names. Its errors name the variable or key at fault.
func Load(env func(string) string) (Config, error) { return site.Load(env) }

// Counters is what a router has taken in, sent and answered.
type Counters = count.Counters

// Lines is a log's writer that drops lines rather than wait for a slow reader.
func Lines(fd uintptr) io.Writer { return loop.Lines(fd) }

// Router is one router on sockets.
type Router struct {
	start  Config
	loop   *loop.Loop
	blocks *buffer.Pool
	core   *core.Core
	front  *front.Front
	count  Counters
	log    zerolog.Logger
	ending bool
	over   chan struct{} // closed when Run has returned
}

// New opens a router's listener; Run serves.
func New(s Config, log zerolog.Logger) (*Router, error) {
	l, err := loop.New(s.Limits.Counts.EventsPerTurn)
	if err != nil {
		return nil, err
	}
	r := &Router{start: s, loop: l, blocks: buffer.NewPool(s.Limits.Sizes.BufferBlock, s.Limits.Counts.BufferBlocks), log: log,
		over: make(chan struct{})}
	r.count.GroupNames = r.start.Settings.GroupNames
	r.count.TakenByGroup = make([]uint64, len(r.count.GroupNames))
	r.core = core.New(&r.start, l, r.blocks, &r.count, log)
	r.front, err = front.Listen(s.Listen, l, &r.start.Limits, r.blocks, r.core, &r.start.Settings, &r.count, log)
	if err != nil {
		return nil, err
	}
	log.Info().Str("name", s.Name).Stringer("listen", r.front.At).Msg("serving")
	return r, nil
}

// Run serves until the router has drained, or fails. It is called once.
func (r *Router) Run() error {
	defer close(r.over)
	err := r.loop.Run(func(now float64) float64 {
		more := r.front.Refresh()
		next := r.core.Settle(now)
		if more {
			next = now
		}
		if r.ending && r.front.Closed() && r.front.Open() == 0 && r.core.InHand() == 0 {
			r.loop.Stop()
		}
		return next
	})
	r.core.Close()
	r.logCounters()
	return err
}

// Drain has the router end: it goes on accepting for a while, answers what is in hand, ends connections
// between commands, and then Run returns. It may be called from any goroutine, and more than once.
func (r *Router) Drain() {
	r.loop.Post(func() {
		if r.ending {
			return
		}
		r.ending = true
		r.log.Info().Int("in_hand", r.core.InHand()).Msg("draining")
		r.loop.Set(loop.NewTimer(r.front.End), r.loop.Now()+r.start.Limits.Durations.AcceptLinger)
	})
}

// Reload reads the configuration anew, by way of env as Load did, and moves the watch of the list to the
// address that it names. Where the file asks for it by its key move, changed settings hold for every command that
// comes after; those in hand end under the earlier ones. All else stays as it was: other changes are logged and
// wait for a restart. What cannot be read or is wrong is refused whole. It may be called from any goroutine.
func (r *Router) Reload(env func(string) string) {
	s, err := site.Reload(env)
	r.loop.Post(func() {
		if err != nil {
			r.count.ReloadsRefused++
			r.log.Error().Err(err).Msg("reload refused")
			return
		}
		r.count.Reloads++
		if r.start.MigratesTo(&s) {
			r.move(&s)
		}
		if keys := r.start.RestartKeys(&s); len(keys) > 0 {
			r.log.Warn().Strs("keys", keys).Msg("changed keys wait for a restart")
		}
		r.log.Info().Stringer("discovery", s.Discovery).Stringer("before", r.start.Discovery).Msg("reloaded")
		r.start.Discovery = s.Discovery
		r.core.Follow(s.Discovery)
	})
}

// move has other settings hold from here on.
func (r *Router) move(s *Config) {
	r.core.Settle(r.loop.Now()) // what was taken names its group by the earlier ones
	taken := map[string]uint64{}
	for i, name := range r.count.GroupNames {
		taken[name] = r.count.TakenByGroup[i]
	}
	r.start.AdoptSettings(s)
	r.count.GroupNames = r.start.Settings.GroupNames
	r.count.TakenByGroup = make([]uint64, len(r.count.GroupNames))
	for i, name := range r.count.GroupNames {
		r.count.TakenByGroup[i] = taken[name]
	}
	r.front.Regroup()
	r.core.Move()
	r.count.Moves++
	r.log.Info().Int("in_hand", r.core.InHand()).Strs("groups", r.start.Settings.GroupNames).Msg("moved to other settings")
}

// LogCounters has the counters logged. It may be called from any goroutine.
func (r *Router) LogCounters() { r.loop.Post(r.logCounters) }

// Counters returns the counters once Run serves, and the last ones after it. It may be called from any
// goroutine.
func (r *Router) Counters() Counters {
	got := make(chan Counters, 1)
	r.loop.Post(func() { got <- r.snapshot() })
	select {
	case c := <-got:
		return c
	case <-r.over:
		return r.snapshot()
	}
}

// logCounters belongs to the loop's goroutine.
func (r *Router) logCounters() {
	c := r.snapshot()
	r.log.Info().Object("counters", &c).Msg("counters")
}

func (r *Router) snapshot() Counters {
	c := r.count
	c.TakenByGroup = append([]uint64(nil), c.TakenByGroup...)
	c.ClientsOpen, c.InHand = uint64(r.front.Open()), uint64(r.core.InHand())
	c.MembersOpen, c.BlocksInUse = uint64(r.core.Members()), uint64(r.blocks.Out())
	known, rows := r.core.Known()
	c.MembersKnown, c.MemberRows = uint64(known), uint64(rows)
	c.LongestTurn = r.loop.Longest()
	return c
}
