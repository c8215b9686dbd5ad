package drill

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/layout"
	"stoatdale.example/stoatdale/internal/fleet/plan"
	"stoatdale.example/stoatdale/internal/fleet/roll"
	"stoatdale.example/stoatdale/internal/fleet/tool"
	"stoatdale.example/stoatdale/internal/lab/stand"
)

// Rollout is what the drill of a rollout is played with: real routers and agents on loopback, one agent an
// instance, under a steady load.
type Rollout struct {
	Instances int
	Kill      bool // an agent midway, and bring it back
	Gone      bool // it stays gone
	Seed      uint64
	Keep      string // folder for logs and traces; empty: a temporary one, removed
	Router    string // program of the router
	Tool      string // this program, which is the agent too
	Fault     string // a fault of RolloutFaults
	Hard      bool   // the baseline: a loop that kills and starts, without a drain
	Say       io.Writer
}

// RolloutFaults are the faults that can be put in, each with what it does.
var RolloutFaults = map[string]string{
	"kill-router": "each router is killed as its step begins, instead of being drained",
	"two-at-once": "while one instance is in its step another router is killed",
	"stray":       "one instance is given another revision behind the fleet's back",
}

// RolloutReport is how it went.
type RolloutReport struct {
	Report
	Instances  int     `json:"instances"`
	Finished   int     `json:"done"`
	State      string  `json:"state"`
	Why        string  `json:"why,omitempty"`
	PausedOn   string  `json:"paused_on,omitempty"` // before an operator left an instance out
	Paused     bool    `json:"paused"`
	Consistent bool    `json:"consistent"` // all that are done run the revision, one process each
	Least      int     `json:"least_serving"`
	Asked      int     `json:"asked"`
	Answered   int     `json:"answered"`
	Throttled  int     `json:"throttled"`
	Failed     int     `json:"failed"`
	Lost       int     `json:"lost"`
	Late       int     `json:"late"`
	Turned     int     `json:"turned_away"` // connections ended before the command was taken; asked again
	Doubled    int     `json:"doubled"`
	MedianMs   float64 `json:"median_ms"`
	P999Ms     float64 `json:"p999_ms"`
	StepMedian float64 `json:"step_median_seconds"`
	StepMost   float64 `json:"step_most_seconds"`
	RollTook   float64 `json:"roll_seconds"`
	Killed     string  `json:"killed_agent,omitempty"`
}

const (
	clientTimeout  = 2 * time.Second
	memberTime     = 12 * time.Millisecond // that a member takes to answer
	awayFor        = 2 * time.Second       // a killed agent
	operatorName   = "drill"
	clientsEach    = 2
	serveLookEvery = 25 * time.Millisecond
	drillWithin    = 3 * time.Minute
)

// stage is a drill that is being played.
type stage struct {
	Rollout
	dir      string
	fleet    *layout.Fleet
	tool     *tool.Client
	member   [3]*stand.Member
	list     *stand.Discovery
	load     *stand.Load
	agents   []*exec.Cmd
	orphans  []int      // processes
	mu       sync.Mutex // over agents and orphans
	rng      *rand.Rand
	report   *RolloutReport
	first    string // revision
	second   string
	least    atomic.Int64
	steps    []float64
	began    map[uint64]time.Time
	midway   int
	killed   int
	stepping atomic.Int64 // instance in its step, or -1
}

// RunRollout plays the drill. Its error is one of the surroundings: the drill could not be played.
func RunRollout(ctx context.Context, o Rollout) (RolloutReport, error) {
	began := time.Now()
	r := RolloutReport{Report: Report{Drill: "rollout", Seed: o.Seed, OK: true}, Instances: o.Instances}
	ctx, cancel := context.WithTimeout(ctx, drillWithin)
	defer cancel()
	s := &stage{Rollout: o, rng: rand.New(rand.NewPCG(o.Seed, 0)), report: &r, began: map[uint64]time.Time{}, killed: -1}
	s.midway = o.Instances/2 + s.rng.IntN(max(1, o.Instances/4))
	err := s.setUp(ctx)
	if err == nil {
		err = s.play(ctx)
	}
	s.strike()
	r.Seconds = time.Since(began).Seconds()
	if err != nil {
		return r, err
	}
	return r, ctx.Err()
}

func (s *stage) say(format string, args ...any) {
	if s.Say != nil {
		fmt.Fprintf(s.Say, format+"\n", args...)
	}
}

// away is how many instances the floors allow not to serve: one in its step, and one whose agent is gone, for
// what is not known does not serve.
func (s *stage) away() int {
	if s.Gone {
		return 2
	}
	return 1
}

func (s *stage) play(ctx context.Context) error {
	var err error
	if s.first, err = s.push(ctx, 256, "first"); err != nil {
		return err
	}
	if s.second, err = s.push(ctx, 300, "second"); err != nil {
		return err
	}
	s.say("agents are up; the first revision goes out")
	o := s.tool.Drive(ctx, s.tool.NewRollout(form.Revision{Digest: s.first, Name: "first"}, false), nil)
	if o.Kind != roll.OutcomeEnded || o.Rollout.State != plan.Complete {
		return fmt.Errorf("the first rollout: %d %s %s %v", o.Kind, o.Rollout.State, s.tool.Explain(o.Reason), o.Faults)
	}
	s.say("routers serve; the load begins")
	s.load.Start(s.Seed)
	s.least.Store(int64(s.Instances))
	watching, stopWatching := context.WithCancel(ctx)
	var watch sync.WaitGroup
	s.watchServing(watching, &watch)
	time.Sleep(500 * time.Millisecond) // a base for the soak to compare with
	rolled := time.Now()
	if s.Hard {
		err = s.hard(ctx)
	} else {
		err = s.roll(ctx)
	}
	s.report.RollTook = time.Since(rolled).Seconds()
	stopWatching()
	watch.Wait()
	counts, slow := s.load.Stop()
	s.count(counts, slow)
	if err != nil {
		return err
	}
	return s.judge(ctx)
}

// roll is the rollout itself.
func (s *stage) roll(ctx context.Context) error {
	s.say("the second revision goes out")
	s.stepping.Store(-1)
	var spans *tool.Trace
	if s.Keep != "" {
		var err error
		if spans, err = s.tool.NewTrace(filepath.Join(s.dir, "spans.json")); err != nil {
			return err
		}
	}
	var work sync.WaitGroup
	defer work.Wait()
	watch := func(v roll.View, events []roll.Event) {
		if spans != nil {
			spans.Record(v, events)
		}
		for _, e := range events {
			s.follow(ctx, v, e, &work)
		}
		s.report.Finished = v.Finished
	}
	o := s.tool.Drive(ctx, s.tool.NewRollout(form.Revision{Digest: s.second, Name: "second"}, false), watch)
	if s.Gone && o.Kind == roll.OutcomeEnded && o.Rollout.State == plan.Paused && s.killed >= 0 {
		s.report.PausedOn = s.tool.Explain(o.Reason)
		s.say("paused: %s; it is left out by word", s.report.PausedOn)
		o = s.tool.Drive(ctx, roll.Task{Operation: roll.OperationResume, Operator: operatorName, ExcludedInstances: []int{s.killed}}, watch)
	}
	if spans != nil {
		if err := spans.Close(o); err != nil {
			return err
		}
	}
	s.report.State, s.report.Why = o.Rollout.State.String(), s.tool.Explain(o.Reason)
	s.report.Paused = o.Rollout.State == plan.Paused
	switch {
	case o.Kind != roll.OutcomeEnded:
		s.report.Fail("the rollout ended as no rollout ends: %d, held by %s, %v", o.Kind, o.Holder.Holder, o.Faults)
	case s.Gone && (!s.report.Paused || o.Reason.Kind != plan.ReasonInstancesExcluded):
		s.report.Fail("with an agent gone the rollout ended %s: %s", s.report.State, s.report.Why)
	case !s.Gone && o.Rollout.State != plan.Complete:
		s.report.Fail("the rollout ended %s: %s", s.report.State, s.report.Why)
	}
	return nil
}

// follow does what the drill is for as steps go by.
func (s *stage) follow(ctx context.Context, v roll.View, e roll.Event, work *sync.WaitGroup) {
	switch e.Action {
	case plan.ActionBeginStep:
		s.began[e.Step.Number] = time.Now()
		s.stepping.Store(int64(e.Step.Instance))
		if (s.Kill || s.Gone) && s.killed < 0 && v.Finished >= s.midway {
			s.killed = e.Step.Instance
			s.report.Killed = s.fleet.Agents[s.killed].Name
			// Before, while or after the agent acts: the seed tells.
			after := time.Duration(s.rng.IntN(900)) * time.Millisecond
			work.Add(1)
			go func() { defer work.Done(); s.killAgent(ctx, s.killed, after) }()
		}
		if s.Fault == "kill-router" {
			s.killRouter(e.Step.Instance)
		}
		if s.Fault == "two-at-once" && e.Step.Number == 2 {
			time.AfterFunc(600*time.Millisecond, func() { s.killRouter((e.Step.Instance + 1) % s.Instances) }) // as the step's has ended
		}
	case plan.ActionCompleteStep, plan.ActionStartRollback, plan.ActionFinish:
		if b, ok := s.began[e.Step.Number]; ok && e.Step.Number != 0 {
			s.steps = append(s.steps, time.Since(b).Seconds())
			delete(s.began, e.Step.Number)
		}
	}
}
