package drill

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"stoatdale.example/stoatdale/internal/fleet/agent"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/layout"
	"stoatdale.example/stoatdale/internal/fleet/plan"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/roll"
	"stoatdale.example/stoatdale/internal/fleet/tool"
	"stoatdale.example/stoatdale/internal/keys"
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
	Break     string // a fault of RolloutFaults
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

// setUp makes keys, fleet file, members and agents.
func (s *stage) setUp(ctx context.Context) error {
	// Routers whose agent is killed come to this process, which waits for them at the end.
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("subreaper: %w", err)
	}
	if s.dir = s.Keep; s.dir == "" {
		dir, err := os.MkdirTemp("", "drill")
		if err != nil {
			return err
		}
		s.dir = dir
	}
	var err error
	if s.dir, err = filepath.Abs(s.dir); err != nil {
		return err
	}
	if err := os.MkdirAll(s.dir, 0o700); err != nil {
		return err
	}
	s.load = &stand.Load{Clients: clientsEach * s.Instances, Think: 20 * time.Millisecond, Timeout: clientTimeout, Writes: 0.2}
	for i := range s.member {
		role := "on"
		if i == 0 {
			role = "off"
		}
		if s.member[i], err = stand.NewMember(func(q string) []byte {
			s.load.Seen(q)
			time.Sleep(memberTime)
			return stand.Row("v", role)
		}); err != nil {
			return err
		}
	}
	if s.list, err = stand.NewDiscovery(s.member[0].Entry("a", "ready", "off"), s.member[1].Entry("b", "ready", "on"),
		s.member[2].Entry("c", "ready", "on")); err != nil {
		return err
	}
	if err := s.layOut(); err != nil {
		return err
	}
	folder := keys.Folder(filepath.Join(s.dir, "keys"))
	if err := folder.MakeAuthority("drill", 24*time.Hour, time.Now()); err != nil {
		return err
	}
	if err := folder.Issue(keys.Operator, operatorName, time.Hour, time.Now()); err != nil {
		return err
	}
	s.agents = make([]*exec.Cmd, len(s.fleet.Agents))
	for i, a := range s.fleet.Agents {
		if err := folder.Issue(keys.Agent, a.Name, time.Hour, time.Now()); err != nil {
			return err
		}
		if err := s.startAgent(i); err != nil {
			return err
		}
	}
	if s.tool, err = tool.New(s.fleet, folder, operatorName); err != nil {
		return err
	}
	return s.heard(ctx)
}

// away is how many instances the floors allow not to serve: one in its step, and one whose agent is gone, for
// what is not known does not serve.
func (s *stage) away() int {
	if s.Gone {
		return 2
	}
	return 1
}

// layOut writes the fleet file: three halls, one agent an instance.
func (s *stage) layOut() error {
	away := s.away()
	f := layout.Fleet{Name: "drill", MinAvailable: s.Instances - away, Times: layout.Times{
		Soak: 0.3, FreshFor: 1, ContactTimeout: 6, StepTimeout: 60,
		LeaseTerm: 4, PollInterval: 0.1, ReadyTimeout: 10, DrainGrace: 1,
	}}
	halls := min(3, s.Instances/2)
	counts := make([]int, halls)
	for i := range s.Instances {
		hall, agent := i*halls/s.Instances, fmt.Sprint("a", i+1)
		counts[hall]++
		host := stand.Host()
		f.Agents = append(f.Agents, layout.Agent{
			Name: agent, Zone: fmt.Sprint("hall", hall+1),
			Listen: netip.MustParseAddrPort(host + ":7400"), Folder: filepath.Join(s.dir, agent), Program: s.Router,
		})
		f.Instances = append(f.Instances, layout.Instance{
			Name: fmt.Sprint("n", i+1), Agent: agent,
			Listen: netip.MustParseAddrPort(host + ":5432"),
		})
		s.load.Routers = append(s.load.Routers, host+":5432")
	}
	for i, n := range counts {
		f.Zones = append(f.Zones, layout.Zone{Name: fmt.Sprint("hall", i+1), MinAvailable: max(0, n-away)})
	}
	path := filepath.Join(s.dir, "fleet.sexp")
	if err := os.WriteFile(path, f.Text(), 0o600); err != nil {
		return err
	}
	var err error
	s.fleet, err = layout.Load(path)
	return err
}

func (s *stage) startAgent(i int) error {
	name := s.fleet.Agents[i].Name
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(s.Tool, "agent", "--fleet", filepath.Join(s.dir, "fleet.sexp"), "--name", name,
		"--keys", filepath.Join(s.dir, "keys"))
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt of the drill is the drill's to hand on
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("agent %s: %w", name, err)
	}
	s.mu.Lock()
	s.agents[i] = cmd
	s.mu.Unlock()
	return nil
}

// heard waits until all agents answer and know their routers.
func (s *stage) heard(ctx context.Context) error {
	for {
		st := s.tool.Status(ctx)
		ok := true
		for _, a := range st.Agents {
			ok = ok && a.Reachable
		}
		for _, x := range st.Instances {
			ok = ok && x.State != plan.ProcessUnknown.String()
		}
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("agents do not come up: %+v", st.Agents)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (s *stage) push(ctx context.Context, sockets int, name string) (string, error) {
	doc := stand.Deployment(s.list.At, clientTimeout.Seconds(), map[string]any{
		"limits": map[string]any{"memory_mb": 48, "sockets": sockets},
	})
	content, err := revision.Canonical(name, stand.JSON(doc))
	if err != nil {
		return "", err
	}
	if p := s.tool.PushRevision(ctx, content, name); len(p.Missing) > 0 {
		return "", fmt.Errorf("pushing %s: %+v", name, p.Missing)
	}
	return revision.Digest(content), nil
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
		s.report.Break("the rollout ended as no rollout ends: %d, held by %s, %v", o.Kind, o.Holder.Holder, o.Faults)
	case s.Gone && (!s.report.Paused || o.Reason.Kind != plan.ReasonInstancesExcluded):
		s.report.Break("with an agent gone the rollout ended %s: %s", s.report.State, s.report.Why)
	case !s.Gone && o.Rollout.State != plan.Complete:
		s.report.Break("the rollout ended %s: %s", s.report.State, s.report.Why)
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
		if s.Break == "kill-router" {
			s.killRouter(e.Step.Instance)
		}
		if s.Break == "two-at-once" && e.Step.Number == 2 {
			time.AfterFunc(600*time.Millisecond, func() { s.killRouter((e.Step.Instance + 1) % s.Instances) }) // as the step's has ended
		}
	case plan.ActionCompleteStep, plan.ActionStartRollback, plan.ActionFinish:
		if b, ok := s.began[e.Step.Number]; ok && e.Step.Number != 0 {
			s.steps = append(s.steps, time.Since(b).Seconds())
			delete(s.began, e.Step.Number)
		}
	}
}

func (s *stage) killAgent(ctx context.Context, i int, after time.Duration) {
	time.Sleep(after)
	s.mu.Lock()
	cmd := s.agents[i]
	s.mu.Unlock()
	s.say("agent %s is killed %d ms into the step of %s", s.fleet.Agents[i].Name, after.Milliseconds(), s.fleet.Instances[i].Name)
	s.note()
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	if s.Gone {
		return
	}
	select {
	case <-time.After(awayFor):
	case <-ctx.Done():
		return
	}
	s.say("agent %s comes back", s.fleet.Agents[i].Name)
	if err := s.startAgent(i); err != nil {
		s.say("%v", err)
	}
}

// note remembers the routers that run: those whose agent is killed are this process's to wait for.
func (s *stage) note() {
	running, err := agent.RunningRouters(s.dir)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pids := range running {
		s.orphans = append(s.orphans, pids...)
	}
}

func (s *stage) folder(i int) string {
	return filepath.Join(s.fleet.Agents[i].Folder, s.fleet.Instances[i].Name)
}

// killRouter ends one router outright.
func (s *stage) killRouter(i int) {
	if _, err := agent.KillRouters(s.fleet.Agents[i].Folder); err != nil {
		s.say("%v", err)
	}
}

// hard is what a loop in a shell would do: kill, and wait until the agent has started it again. It changes no
// revision; what counts is what it costs.
func (s *stage) hard(ctx context.Context) error {
	for i := range s.fleet.Instances {
		began := time.Now()
		s.killRouter(i)
		time.Sleep(100 * time.Millisecond)
		for {
			c, err := stand.Dial(s.load.Routers[i], time.Second)
			if err == nil {
				_ = c.Close()
				break
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(10 * time.Millisecond)
		}
		s.steps = append(s.steps, time.Since(began).Seconds())
		time.Sleep(300 * time.Millisecond)
	}
	s.report.State = "baseline"
	return nil
}

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
	if s.Break == "stray" {
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
		r.Break(format, args...)
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
		r.Break("%d instances are done, and should be %d", r.Finished, wanted)
	case r.Lost > 0:
		r.Break("%d commands were lost", r.Lost)
	case r.Late > 0:
		r.Break("%d commands were answered after their client timeout", r.Late)
	case r.Doubled > 0:
		r.Break("%d mutating commands ran more than once", r.Doubled)
	case r.Least < s.Instances-s.away():
		r.Break("only %d routers served at one moment, and the floor is %d", r.Least, s.Instances-s.away())
	case r.Asked < 10*s.Instances:
		r.Break("the load was no load: %d commands", r.Asked)
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

// strike takes everything down again.
func (s *stage) strike() {
	if s.tool != nil {
		s.tool.Close()
	}
	s.note()
	s.mu.Lock()
	for _, cmd := range s.agents {
		if cmd != nil && cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	}
	s.mu.Unlock()
	for range 100 { // until none is left
		if n, err := agent.KillRouters(s.dir); err != nil || n == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, pid := range s.orphans {
		_, _ = unix.Wait4(pid, nil, unix.WNOHANG, nil)
	}
	if s.list != nil {
		s.list.Close()
	}
	for _, m := range s.member {
		if m != nil {
			m.Close()
		}
	}
	if s.Keep == "" && s.dir != "" {
		_ = os.RemoveAll(s.dir)
	}
}
