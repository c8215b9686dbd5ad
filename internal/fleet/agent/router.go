package agent

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"

	"stoatdale.example/stoatdale/internal/fleet/inventory"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
	"stoatdale.example/stoatdale/internal/fleet/store"
	"stoatdale.example/stoatdale/internal/fleet/supervisor"
)

// router is one instance of the agent's: it connects the instance's supervisor, which decides, to the process.
type router struct {
	agent          *Agent
	index          int // among the agent's routers
	instance       inventory.Instance
	folder         string // absolute
	process        *processHandle
	healthChecking bool    // a health check is under way
	retryAt        float64 // no tick before it, after one that could not be stored
}

// supervisorEvent hands something that has happened to a supervisor.
type supervisorEvent func(s *supervisor.Supervisor) supervisor.Transition

func newRouter(a *Agent, index int, instance inventory.Instance) (router, error) {
	folder, err := filepath.Abs(filepath.Join(a.self.Folder, instance.Name))
	if err != nil {
		return router{}, fmt.Errorf("instance %s: %w", instance.Name, err)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return router{}, fmt.Errorf("instance %s: %w", instance.Name, err)
	}
	return router{agent: a, index: index, instance: instance, folder: folder}, nil
}

func (r *router) supervisor() *supervisor.Supervisor { return &r.agent.handler.Supervisors[r.index] }

// incarnation identifies one start of the router among all processes of the machine.
func (r *router) incarnation(number uint64) string { return fmt.Sprintf("%s/%d", r.folder, number) }

func (r *router) nextTick() float64 { return max(r.supervisor().NextTick(), r.retryAt) }

func (r *router) tickIfDue(ctx context.Context) {
	a := r.agent
	if a.now() < r.nextTick() {
		return
	}
	// A tick that could not be stored comes again by itself.
	_ = r.apply(ctx, func(s *supervisor.Supervisor) supervisor.Transition { return s.Tick(a.now()) })
}

// handle applies an event. One that could not be stored has not happened, and is handed in again later.
func (r *router) handle(ctx context.Context, e supervisorEvent) {
	if stored := r.apply(ctx, e); stored {
		return
	}
	a := r.agent
	time.AfterFunc(storeRetryDelay, func() {
		a.post(ctx, func(ctx context.Context) { r.handle(ctx, e) })
	})
}

// apply hands an event to the supervisor, stores what must be and carries out the actions that follow. It returns false,
// with the supervisor as it was, if the state could not be stored.
func (r *router) apply(ctx context.Context, e supervisorEvent) (stored bool) {
	a := r.agent
	supervised := r.supervisor()
	before := *supervised
	transition := e(supervised)
	if transition.Store {
		records := map[string]supervisor.Record{r.instance.Name: supervised.Record}
		if err := a.store.Save(store.Change{Instances: records}); err != nil {
			*supervised = before
			r.retryAt = a.now() + storeRetryDelay.Seconds()
			a.log.Error().Err(err).Str("instance", r.instance.Name).Msg("state not stored: event postponed")
			return false
		}
	}
	r.logChanges(&before)
	r.carryOut(ctx, transition)
	return true
}

// logChanges logs how the supervisor's step and state differ from before.
func (r *router) logChanges(before *supervisor.Supervisor) {
	supervisor := r.supervisor()
	if supervisor.Result != before.Result || supervisor.Step.Number != before.Step.Number {
		r.logStep()
	}
	from, to := before.Observe(0).State, supervisor.Observe(0).State
	if from != to {
		r.agent.log.Info().Str("instance", r.instance.Name).Stringer("from", from).Stringer("state", to).
			Int("crashes", supervisor.Crashes()).Msg("router changed state")
	}
}

func (r *router) logStep() {
	record := &r.supervisor().Record
	entry := r.agent.log.Info()
	if record.Result == rollout.StepFailed {
		entry = r.agent.log.Error()
	}
	entry.Str("instance", r.instance.Name).Str("rollout", record.Step.RolloutID).Uint64("step", record.Step.Number).
		Str("revision", revision.ShortDigest(record.Step.Revision)).Int("result", int(record.Result)).
		Str("why", record.Failure).Msg("step")
}

func (r *router) carryOut(ctx context.Context, t supervisor.Transition) {
	for _, action := range t.Actions {
		r.carryOutAction(ctx, action)
	}
}

func (r *router) carryOutAction(ctx context.Context, action supervisor.Action) {
	switch action.Kind {
	case supervisor.ActionFindProcess:
		r.findProcess(ctx, action.Incarnation)
	case supervisor.ActionPrepareRevision:
		r.prepareRevision(ctx, action.Revision)
	case supervisor.ActionInstallRevision:
		r.installRevision(ctx, action.Revision)
	case supervisor.ActionStart:
		r.start(ctx, action.Incarnation)
	case supervisor.ActionHealthCheck:
		r.checkHealth(ctx)
	case supervisor.ActionReadCounters:
		r.signal(ctx, unix.SIGUSR1)
	case supervisor.ActionTerminate:
		r.signal(ctx, unix.SIGTERM)
	case supervisor.ActionKill:
		r.agent.log.Warn().Str("instance", r.instance.Name).Msg("killed: it did not end within its time")
		r.signal(ctx, unix.SIGKILL)
	case supervisor.ActionReload:
		r.signal(ctx, unix.SIGHUP)
	}
}

// runAsync does work that may block in a goroutine of its own, and has Run handle the event that it returns.
func (r *router) runAsync(ctx context.Context, work func() event) {
	a := r.agent
	a.work.Go(func() { a.post(ctx, work()) })
}

func (r *router) findProcess(ctx context.Context, number uint64) {
	a := r.agent
	r.runAsync(ctx, func() event {
		var process *processHandle
		var err error
		if number != 0 { // else none was ever started
			process, err = findRestarted(ctx, r.incarnation(number))
		}
		if process != nil {
			process.logStart = r.logSize() // what it wrote before was an earlier agent's to read
		}
		if err != nil {
			a.log.Error().Err(err).Str("instance", r.instance.Name).Msg("process not looked for")
		}
		return func(ctx context.Context) {
			r.adopt(ctx, process)
			r.handle(ctx, func(s *supervisor.Supervisor) supervisor.Transition { return s.ProcessFound(a.now(), process != nil) })
		}
	})
}

func (r *router) prepareRevision(ctx context.Context, digest string) {
	a := r.agent
	running := r.supervisor().Revision
	r.runAsync(ctx, func() event {
		p, err := r.prepare(running, digest)
		return func(ctx context.Context) {
			r.handle(ctx, func(s *supervisor.Supervisor) supervisor.Transition {
				return s.RevisionPrepared(a.now(), p, err)
			})
		}
	})
}

func (r *router) installRevision(ctx context.Context, digest string) {
	a := r.agent
	r.runAsync(ctx, func() event {
		err := r.writeConfig(digest, configName)
		return func(ctx context.Context) {
			r.handle(ctx, func(s *supervisor.Supervisor) supervisor.Transition { return s.RevisionInstalled(a.now(), err) })
		}
	})
}

func (r *router) start(ctx context.Context, number uint64) {
	a := r.agent
	r.runAsync(ctx, func() event {
		process, err := launch(a.self.Program, r.folder, r.incarnation(number))
		return func(ctx context.Context) {
			r.adopt(ctx, process)
			r.handle(ctx, func(s *supervisor.Supervisor) supervisor.Transition {
				return s.ProcessStarted(a.now(), number, err)
			})
		}
	})
}

// checkHealth asks the router an empty query, unless it is being asked already.
func (r *router) checkHealth(ctx context.Context) {
	if r.healthChecking {
		return
	}
	r.healthChecking = true
	a := r.agent
	r.runAsync(ctx, func() event {
		err := healthCheck(ctx, r.instance.Listen.String())
		return func(ctx context.Context) {
			r.healthChecking = false
			r.handle(ctx, func(s *supervisor.Supervisor) supervisor.Transition { return s.HealthChecked(a.now(), err == nil) })
		}
	})
}

func (r *router) signal(ctx context.Context, signal unix.Signal) {
	a := r.agent
	if r.process == nil {
		r.handle(ctx, func(s *supervisor.Supervisor) supervisor.Transition {
			return s.ProcessExited(a.now(), "there is no process")
		})
		return
	}
	err := r.process.signal(signal)
	if err != nil && !errors.Is(err, unix.ESRCH) { // the end of one that has gone is reported by watch
		a.log.Error().Err(err).Str("instance", r.instance.Name).Stringer("signal", signal).Msg("signal not sent")
	}
}
