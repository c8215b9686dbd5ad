// Package agent runs a machine's routers for the fleet tool: it starts and watches their processes, carries
// out what package tend decides, and keeps its state in a store that it writes before it acknowledges.
// Routers outlive their agent; one that starts again finds them.
package agent

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/layout"
	"stoatdale.example/stoatdale/internal/fleet/plan"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/store"
	"stoatdale.example/stoatdale/internal/fleet/tend"
	"stoatdale.example/stoatdale/internal/site"
)

const (
	configName       = "config.json"
	nextName         = "next.json"
	logName          = "router.log"
	storeName        = "agent.db"
	storeRetryDelay  = time.Second // before what could not be stored is tried anew
	eventQueueLength = 256
)

// Keeper is the store, as the agent needs it.
type Store interface {
	Load() (store.State, error)
	Save(store.Change) error
	Revision(digest string) (form.Revision, bool, error)
	Revisions() ([]form.Revision, error)
	Rollouts() ([]form.Rollout, error)
}

// Agent is one machine's.
type Agent struct {
	fleet     *layout.Fleet
	self      *layout.Agent
	instances []layout.Instance
	store     Store
	log       zerolog.Logger
	handler   tend.RequestHandler
	limits    tend.Limits
	routers   []router
	events    chan func()
	startedAt time.Time // its monotonic reading is the agent's clock
	ctx       context.Context
}

// router is what is open of one.
type router struct {
	folder         string
	process        *processHandle
	healthChecking bool
	retryAt        float64 // until then nothing is tried that was not stored
}

// OpenStore opens the store in an agent's folder.
func OpenStore(me *layout.Agent) (*store.Store, error) {
	return store.Open(filepath.Join(me.Folder, storeName))
}

// New is an agent that has read its store. program names this program and its version.
func New(f *layout.Fleet, name, program string, keeper Store, log zerolog.Logger) (*Agent, error) {
	me := f.Agent(name)
	if me == nil {
		return nil, fmt.Errorf("the fleet file has no agent %s", name)
	}
	st, err := keeper.Load()
	if err != nil {
		return nil, err
	}
	a := &Agent{
		fleet: f, self: me, instances: f.InstancesOf(name), store: keeper, log: log, limits: tend.DefaultLimits(),
		events: make(chan func(), eventQueueLength), startedAt: time.Now(),
	}
	a.limits.ReadyTimeoutSeconds, a.limits.RecentSeconds = float64(f.Times.ReadyTimeout), max(float64(f.Times.Soak), 5)
	a.handler = tend.RequestHandler{
		Agent: name, Program: program, AgentsDigest: f.AgentsDigest(), OperatorRequest: st.OperatorRequest,
		Lease: claim.Restore(st.Lease, float64(f.Times.LeaseTerm), 0),
	}
	for _, x := range a.instances {
		folder, err := filepath.Abs(filepath.Join(me.Folder, x.Name))
		if err != nil {
			return nil, fmt.Errorf("instance %s: %w", x.Name, err)
		}
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return nil, fmt.Errorf("instance %s: %w", x.Name, err)
		}
		a.routers = append(a.routers, router{folder: folder})
		a.handler.InstanceNames = append(a.handler.InstanceNames, x.Name)
		a.handler.ListenAddresses = append(a.handler.ListenAddresses, x.Listen.String())
		inst, _ := tend.NewSupervisor(st.Instances[x.Name], &a.limits) // its first effects come with Run
		a.handler.Supervisors = append(a.handler.Supervisors, inst)
	}
	return a, nil
}

func (a *Agent) now() float64 { return time.Since(a.startedAt).Seconds() }

// Run serves until ctx ends. The routers stay as they are.
func (a *Agent) Run(ctx context.Context) {
	a.ctx = ctx
	for i := range a.instances {
		x := &a.handler.Supervisors[i]
		inst, out := tend.NewSupervisor(x.Record, &a.limits)
		*x = inst
		a.carryOut(i, out)
	}
	for ctx.Err() == nil {
		timer := time.NewTimer(time.Duration(min(a.nextWake()-a.now(), 60) * float64(time.Second)))
		select {
		case f := <-a.events:
			f()
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		for i := range a.instances {
			now := a.now()
			if x := &a.handler.Supervisors[i]; now >= x.NextTick() && now >= a.routers[i].retryAt {
				a.handleEvent(i, func(x *tend.Supervisor) tend.Transition { return x.Tick(a.now()) }, false)
			}
		}
	}
}

func (a *Agent) nextWake() float64 {
	wake := math.Inf(1)
	for i := range a.instances {
		wake = min(wake, max(a.handler.Supervisors[i].NextTick(), a.routers[i].retryAt))
	}
	return wake
}

// post has something done in turn.
func (a *Agent) post(f func()) {
	select {
	case a.events <- f:
	case <-a.ctx.Done():
	}
}

// event hands an event to an instance. If what follows cannot be stored it has not happened; it comes again
// unless a tick brought it, which comes by itself.
func (a *Agent) handleEvent(i int, do func(x *tend.Supervisor) tend.Transition, repeat bool) {
	before := a.handler.Supervisors[i]
	x := &a.handler.Supervisors[i]
	out := do(x)
	if out.Store {
		if err := a.store.Save(store.Change{Instances: map[string]tend.Record{a.instances[i].Name: x.Record}}); err != nil {
			*x = before
			a.routers[i].retryAt = a.now() + storeRetryDelay.Seconds()
			a.log.Error().Err(err).Str("instance", a.instances[i].Name).Msg("not stored, and so not done")
			if repeat {
				time.AfterFunc(storeRetryDelay, func() { a.post(func() { a.handleEvent(i, do, true) }) })
			}
			return
		}
	}
	if x.Result != before.Result || x.Step.Number != before.Step.Number {
		a.logStep(i, x)
	}
	if was, is := before.Observe(0).State, x.Observe(0).State; was != is {
		a.log.Info().Str("instance", a.instances[i].Name).Stringer("from", was).Stringer("life", is).Int("crashes", x.Crashes()).Msg("router")
	}
	a.carryOut(i, out)
}

func (a *Agent) logStep(i int, x *tend.Supervisor) {
	e := a.log.Info()
	if x.Result == plan.StepFailed {
		e = a.log.Error()
	}
	e.Str("instance", a.instances[i].Name).Str("rollout", x.Step.RolloutID).Uint64("step", x.Step.Number).
		Str("revision", revision.ShortDigest(x.Step.Revision)).Int("end", int(x.Result)).Str("why", x.Failure).Msg("step")
}

func (a *Agent) carryOut(i int, out tend.Transition) {
	for _, e := range out.Actions {
		a.carryOutAction(i, e)
	}
}

// later runs something that may take its time, and hands in what comes of it.
func (a *Agent) runAsync(i int, work func() func(x *tend.Supervisor) tend.Transition) {
	go func() {
		event := work()
		a.post(func() { a.handleEvent(i, event, true) })
	}()
}

func (a *Agent) incarnation(i int, n uint64) string {
	return fmt.Sprintf("%s/%d", a.routers[i].folder, n)
}

func (a *Agent) carryOutAction(i int, e tend.Action) {
	r, name := &a.routers[i], a.instances[i].Name
	switch e.Kind {
	case tend.ActionFindProcess:
		go func() {
			var p *processHandle
			var err error
			if e.Incarnation != 0 { // else none was ever started
				p, err = a.findProcess(a.incarnation(i, e.Incarnation))
			}
			if err != nil {
				a.log.Error().Err(err).Str("instance", name).Msg("looking for its process")
			}
			a.post(func() {
				a.adoptProcess(i, p)
				a.handleEvent(i, func(x *tend.Supervisor) tend.Transition { return x.ProcessFound(a.now(), p != nil) }, true)
			})
		}()
	case tend.ActionPrepareRevision:
		from, to := a.handler.Supervisors[i].Revision, e.Revision
		a.runAsync(i, func() func(x *tend.Supervisor) tend.Transition {
			reload, drain, err := a.prepare(i, from, to)
			return func(x *tend.Supervisor) tend.Transition {
				return x.RevisionPrepared(a.now(), tend.Preparation{ReloadSuffices: reload, DrainSeconds: drain}, err)
			}
		})
	case tend.ActionInstallRevision:
		a.runAsync(i, func() func(x *tend.Supervisor) tend.Transition {
			err := a.placeConfig(i, e.Revision, configName)
			return func(x *tend.Supervisor) tend.Transition { return x.RevisionInstalled(a.now(), err) }
		})
	case tend.ActionStart:
		go func() {
			p, err := launch(a.self.Program, r.folder, a.incarnation(i, e.Incarnation))
			a.post(func() {
				a.adoptProcess(i, p)
				a.handleEvent(i, func(x *tend.Supervisor) tend.Transition {
					return x.ProcessStarted(a.now(), e.Incarnation, err)
				}, true)
			})
		}()
	case tend.ActionHealthCheck:
		if r.healthChecking {
			return // its answer is on the way
		}
		r.healthChecking = true
		at := a.instances[i].Listen.String()
		go func() {
			err := healthCheck(a.ctx, at)
			a.post(func() {
				a.routers[i].healthChecking = false
				a.handleEvent(i, func(x *tend.Supervisor) tend.Transition { return x.HealthChecked(a.now(), err == nil) }, true)
			})
		}()
	case tend.ActionReadCounters:
		a.signal(i, unix.SIGUSR1)
	case tend.ActionTerminate:
		a.signal(i, unix.SIGTERM)
	case tend.ActionKill:
		a.log.Warn().Str("instance", name).Msg("killed: it did not end within its time")
		a.signal(i, unix.SIGKILL)
	case tend.ActionReload:
		a.signal(i, unix.SIGHUP)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// find looks twice: a process whose agent died as it started it may just be coming up.
func (a *Agent) findProcess(mark string) (*processHandle, error) {
	p, err := findRunning(mark)
	if p != nil || err != nil {
		return p, err
	}
	select {
	case <-time.After(2 * watchInterval):
	case <-a.ctx.Done():
	}
	return findRunning(mark)
}

func (a *Agent) signal(i int, s unix.Signal) {
	p := a.routers[i].process
	if p == nil {
		a.handleEvent(i, func(x *tend.Supervisor) tend.Transition { return x.ProcessExited(a.now(), "there is no process") }, true)
		return
	}
	if err := p.signal(s); err != nil && !errors.Is(err, unix.ESRCH) { // one that has gone is told of by watch
		a.log.Error().Err(err).Str("instance", a.instances[i].Name).Stringer("signal", s).Msg("signal")
	}
}

// hold takes a process over and watches it.
func (a *Agent) adoptProcess(i int, p *processHandle) {
	r := &a.routers[i]
	if r.process = p; p == nil {
		return
	}
	a.log.Info().Str("instance", a.instances[i].Name).Int("process", p.pid).Msg("holding")
	go a.watch(i, p, newLogTail(filepath.Join(r.folder, logName)))
}

// watch hands in what a router logs, and its end.
func (a *Agent) watch(i int, p *processHandle, t *logTail) {
	defer p.close()
	for a.ctx.Err() == nil {
		gone, how := p.exited()
		err := t.read(func(s logEvent) {
			a.post(func() {
				if a.routers[i].process != p {
					return
				}
				a.handleEvent(i, func(x *tend.Supervisor) tend.Transition {
					if s.counts != nil {
						x.CountersRead(a.now(), *s.counts)
						return tend.Transition{}
					}
					return x.ReloadReported(a.now(), *s.reloadResult)
				}, true)
			})
		})
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			a.log.Error().Err(err).Str("instance", a.instances[i].Name).Msg("reading its log")
		}
		if gone {
			if t.lastError != "" {
				how += ": " + t.lastError
			}
			a.post(func() {
				if a.routers[i].process == p {
					a.routers[i].process = nil
					a.log.Warn().Str("instance", a.instances[i].Name).Str("how", how).Msg("router ended")
					a.handleEvent(i, func(x *tend.Supervisor) tend.Transition { return x.ProcessExited(a.now(), how) }, true)
				}
			})
			return
		}
		select {
		case <-time.After(watchInterval):
		case <-a.ctx.Done():
		}
	}
}

// prepare sees that a revision can be put in place: it is here, right for this instance, and there is room
// for its file. It tells whether a reload is enough for it, and how long the running router may take to end.
func (a *Agent) prepare(i int, from, to string) (reload bool, drain float64, err error) {
	next, err := a.checkRevision(i, to)
	if err != nil {
		return false, 0, err
	}
	if err := a.placeConfig(i, to, nextName); err != nil {
		return false, 0, err
	}
	if from == "" {
		return false, revision.DrainSeconds(&next, float64(a.fleet.Times.DrainGrace)), nil
	}
	before, err := a.checkRevision(i, from)
	if err != nil { // what runs is no longer known: take the new one's times, and restart
		return false, revision.DrainSeconds(&next, float64(a.fleet.Times.DrainGrace)), nil
	}
	return len(revision.RestartKeys(&before, &next)) == 0, revision.DrainSeconds(&before, float64(a.fleet.Times.DrainGrace)), nil
}

func (a *Agent) content(digest string) ([]byte, error) {
	rev, found, err := a.store.Revision(digest)
	if err == nil && !found {
		err = fmt.Errorf("revision %s is not at agent %s: push it", revision.ShortDigest(digest), a.self.Name)
	}
	return rev.Content, err
}

func (a *Agent) checkRevision(i int, digest string) (site.Config, error) {
	content, err := a.content(digest)
	if err != nil {
		return site.Config{}, err
	}
	return revision.Check(content, a.instances[i].RevisionInstance())
}

// place writes an instance's file whole.
func (a *Agent) placeConfig(i int, digest, name string) error {
	content, err := a.content(digest)
	if err != nil {
		return err
	}
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	raw, err := revision.Render(content, a.instances[i].RevisionInstance(), binary.LittleEndian.Uint64(seed[:]))
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(filepath.Join(a.routers[i].folder, name), raw, 0o600); err != nil {
		return fmt.Errorf("instance %s: %w", a.instances[i].Name, err)
	}
	return nil
}

// Handle answers a call of an operator. It may be called from any goroutine while Run runs.
func (a *Agent) Handle(ctx context.Context, operator string, c form.Request) (form.Reply, error) {
	done := make(chan form.Reply, 1)
	f := func() { done <- a.handle(operator, c) }
	select {
	case a.events <- f:
	case <-ctx.Done():
		return form.Reply{}, ctx.Err()
	}
	select {
	case r := <-done:
		return r, nil
	case <-ctx.Done():
		return form.Reply{}, ctx.Err()
	}
}

func (a *Agent) handle(operator string, c form.Request) form.Reply {
	r := form.Reply{Agent: a.handler.Agent, Program: a.handler.Program}
	switch c.Verb {
	case form.PutRevisionVerb:
		r.Failure = errorText(a.putRevision(operator, c.Revision))
		return r
	case form.GetRevisionVerb:
		rev, found, err := a.store.Revision(c.Revision.Digest)
		if err == nil && found {
			r.Revisions = []form.Revision{rev}
		}
		r.Failure = errorText(err)
		return r
	case form.HistoryVerb:
		var err, more error
		r.Revisions, err = a.store.Revisions()
		r.Rollouts, more = a.store.Rollouts()
		r.Failure = errorText(errors.Join(err, more))
		return r
	}
	c.OperatorRequest.Operator = operator
	before := a.handler
	before.Supervisors = append([]tend.Supervisor(nil), a.handler.Supervisors...)
	r, s := a.handler.Handle(a.now(), c)
	change, dirty := a.change(c, s)
	if dirty {
		if err := a.store.Save(change); err != nil {
			a.handler = before
			a.log.Error().Err(err).Str("verb", string(c.Verb)).Msg("not stored, and so refused")
			return form.Reply{
				Agent: r.Agent, Program: r.Program, Denial: claim.NotHolder, Failure: err.Error(),
				LeaseState: a.handler.Lease.State(a.now()),
			}
		}
	}
	a.logRequest(operator, c, r)
	for i := range r.Instances {
		if p := a.routers[i].process; p != nil {
			r.Instances[i].ProcessID = p.pid
		}
	}
	if s.ChangedInstance >= 0 {
		a.logStep(s.ChangedInstance, &a.handler.Supervisors[s.ChangedInstance])
		a.carryOut(s.ChangedInstance, tend.Transition{Actions: s.Actions})
	}
	return r
}

// change is what a call has changed that must be stored.
func (a *Agent) change(c form.Request, s tend.Changes) (store.Change, bool) {
	var ch store.Change
	if s.Lease {
		d := a.handler.Lease.PersistentState
		ch.Lease = &d
	}
	if s.Lease && c.Verb == form.StoreRecordVerb {
		var r form.Rollout
		if err := form.Decode("record", c.Record.Body, &r); err == nil && r.ID != "" {
			ch.Rollout = &r
		}
	}
	if s.OperatorRequest {
		ch.OperatorRequest = &a.handler.OperatorRequest
	}
	if s.ChangedInstance >= 0 {
		ch.Instances = map[string]tend.Record{a.instances[s.ChangedInstance].Name: a.handler.Supervisors[s.ChangedInstance].Record}
	}
	return ch, s.Lease || s.OperatorRequest || s.ChangedInstance >= 0
}

func (a *Agent) logRequest(operator string, c form.Request, r form.Reply) {
	if c.Verb == form.StatusVerb || c.Verb == form.StoreRecordVerb && r.Denial == claim.Granted {
		return
	}
	a.log.Info().Str("operator", operator).Str("verb", string(c.Verb)).Uint64("epoch", max(c.Epoch, c.LeaseRequest.Epoch)).
		Stringer("says", r.Denial).Str("fault", r.Failure).Msg("call")
}

// put keeps a revision that is right for every instance here.
func (a *Agent) putRevision(operator string, rev form.Revision) error {
	canonical, err := revision.Canonical("revision", rev.Content)
	if err != nil {
		return err
	}
	if is := revision.Digest(canonical); is != rev.Digest {
		return fmt.Errorf("the revision's content is %s, and it is called %s", revision.ShortDigest(is), revision.ShortDigest(rev.Digest))
	}
	for i := range a.instances {
		if _, err := revision.Check(canonical, a.instances[i].RevisionInstance()); err != nil {
			return err
		}
	}
	rev.Content, rev.PushedBy = canonical, operator
	if err := a.store.Save(store.Change{Revision: &rev}); err != nil {
		return err
	}
	a.log.Info().Str("operator", operator).Str("revision", revision.ShortDigest(rev.Digest)).Str("name", rev.Name).Msg("revision kept")
	return nil
}
