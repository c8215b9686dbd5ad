package drill

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"stoatdale.example/stoatdale/internal/fleet/agent"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/lab/stand"
)

// watchServing counts, again and again, the routers that answer an empty query, by connections of its own.
func (s *stage) watchServing(ctx context.Context, done *sync.WaitGroup) {
	up := make([]atomic.Bool, s.Instances)
	for i := range s.Instances {
		up[i].Store(true)
		done.Add(1)
		go func() {
			defer done.Done()
			var c *stand.Client
			for ctx.Err() == nil {
				var err error
				if c != nil {
					if _, _, err = c.Ask("", time.Second); err != nil { // routers end what stands between commands for long
						_ = c.Close()
						c = nil
					}
				}
				if c == nil {
					if c, err = stand.Dial(s.load.Routers[i], time.Second); err == nil {
						_, _, err = c.Ask("", time.Second)
					}
				}
				up[i].Store(err == nil)
				time.Sleep(serveLookEvery)
			}
			if c != nil {
				_ = c.Close()
			}
		}()
	}
	done.Add(1)
	go func() {
		defer done.Done()
		for ctx.Err() == nil {
			n := int64(0)
			for i := range up {
				if up[i].Load() {
					n++
				}
			}
			s.least.Store(min(s.least.Load(), n))
			time.Sleep(serveLookEvery)
		}
	}()
}

func (s *stage) count(c stand.Counts, slow []time.Duration) {
	r := s.report
	r.Asked, r.Answered, r.Throttled, r.Failed = c.Asked, c.Answered, c.Throttled, c.Failed
	r.Lost, r.Late, r.Turned, r.Doubled, r.Least = c.Lost, c.Late, c.Turned, c.Doubled, int(s.least.Load())
	sort.Slice(slow, func(i, j int) bool { return slow[i] < slow[j] })
	if n := len(slow); n > 0 {
		r.MedianMs = slow[n/2].Seconds() * 1000
		r.P999Ms = slow[n*999/1000].Seconds() * 1000
	}
	sort.Float64s(s.steps)
	if n := len(s.steps); n > 0 {
		r.StepMedian, r.StepMost = s.steps[n/2], s.steps[n-1]
	}
}

// judge looks at the processes, files and answers that are there at the end, and at what the wire showed.
func (s *stage) judge(ctx context.Context) error {
	r := s.report
	if s.Fault == "stray" {
		if err := os.WriteFile(filepath.Join(s.folder(0), "config.json"), []byte("{}"), 0o600); err != nil {
			return err
		}
	}
	if s.Hard {
		return nil
	}
	running, err := agent.RunningRouters(s.dir)
	if err != nil {
		return err
	}
	r.Consistent = true
	wrong := func(format string, args ...any) {
		r.Consistent = false
		r.Fail(format, args...)
	}
	content, err := s.tool.RevisionContent(ctx, s.second)
	if err != nil {
		return err
	}
	for i, x := range s.fleet.Instances {
		n, alone := len(running[s.folder(i)]), s.Gone && i == s.killed
		if n > 1 || n == 0 && !alone { // one whose agent is gone may have been told to end by it
			wrong("instance %s has %d processes", x.Name, n)
		}
		if alone {
			continue
		}
		if err := s.runs(i, content); err != nil {
			wrong("instance %s: %v", x.Name, err)
		}
	}
	wanted := s.Instances
	if s.Gone {
		wanted--
	}
	switch {
	case r.Finished != wanted:
		r.Fail("%d instances are done, and should be %d", r.Finished, wanted)
	case r.Lost > 0:
		r.Fail("%d commands were lost", r.Lost)
	case r.Late > 0:
		r.Fail("%d commands were answered after their client timeout", r.Late)
	case r.Doubled > 0:
		r.Fail("%d mutating commands ran more than once", r.Doubled)
	case r.Least < s.Instances-s.away():
		r.Fail("only %d routers served at one moment, and the floor is %d", r.Least, s.Instances-s.away())
	case r.Asked < 10*s.Instances:
		r.Fail("the load was no load: %d commands", r.Asked)
	}
	return nil
}

// runs sees that an instance's file is the revision's, and its process younger than the file.
func (s *stage) runs(i int, content []byte) error {
	raw, err := os.ReadFile(filepath.Join(s.folder(i), "config.json"))
	if err != nil {
		return err
	}
	want, err := revision.Render(content, s.fleet.Instances[i].RevisionInstance(), 0)
	if err != nil {
		return err
	}
	changes, err := revision.Diff(want, raw)
	if err != nil {
		return err
	}
	for _, c := range changes {
		if c.Key != "seed" {
			return fmt.Errorf("its file differs from the revision at %s", c.Key)
		}
	}
	c, err := stand.Dial(s.load.Routers[i], time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	said, _, err := c.Ask("", time.Second)
	if err == nil && !said.Empty {
		err = errors.New("it does not answer an empty query")
	}
	return err
}
