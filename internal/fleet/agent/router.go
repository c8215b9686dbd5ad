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

// router runs one instance of the agent: it passes events to the instance's supervisor and carries out the actions that
// the supervisor requests.
type router struct {
	agent          *Agent
	index          int // index in the agent's routers and supervisors
	instance       inventory.Instance
	folder         string         // absolute path
	process        *processHandle // nil if no process is known to run
	healthChecking bool           // a health check is under way
	retryAt        float64        // earliest time of the next tick, on the agent's clock; set when storing fails
}

// supervisorEvent calls the event method of a supervisor and returns the resulting transition.
type supervisorEvent func(s *supervisor.Supervisor) supervisor.Transition

// newRouter returns the router of an instance and creates its folder.
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

// incarnation returns the value of incarnationVariable for one start of the router. It is unique on the machine.
func (r *router) incarnation(number uint64) string { return fmt.Sprintf("%s/%d", r.folder, number) }

// nextTick returns the time of the next tick, on the agent's clock, in seconds.
func (r *router) nextTick() float64 { return max(r.supervisor().NextTick(), r.retryAt) }

func (r *router) tickIfDue(ctx context.Context) {
	a := r.agent
	if a.now() < r.nextTick() {
		return
	}
	// A tick whose state could not be stored needs no retry here: the supervisor still has it due.
	_ = r.apply(ctx, func(s *supervisor.Supervisor) supervisor.Transition { return s.Tick(a.now()) })
}

// handle applies an event. If the state cannot be stored, handle applies the event again after storeRetryDelay.
func (r *router) handle(ctx context.Context, e supervisorEvent) {
	if stored := r.apply(ctx, e); stored {
		return
	}
	a := r.agent
	time.AfterFunc(storeRetryDelay, func() {
		a.post(ctx, func(ctx context.Context) { r.handle(ctx, e) })
	})
}

// apply passes an event to the supervisor, stores the record if the transition requires it, and carries out the actions.
// If the state cannot be stored, apply restores the supervisor and returns false.
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

// logChanges logs the supervisor's step and the router's state if they differ from before.
func (r *router) logChanges(before *supervisor.Supervisor) {
	supervised := r.supervisor()
	if supervised.Result != before.Result || supervised.Step.Number != before.Step.Number {
		r.logStep()
	}
	from, to := before.Observe(0).State, supervised.Observe(0).State
	if from != to {
		r.agent.log.Info().Str("instance", r.instance.Name).Stringer("from", from).Stringer("state", to).
			Int("crashes", supervised.Crashes()).Msg("router changed state")
	}
}

// logStep logs the current step and its result.
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
		r.agent.log.Warn().Str("instance", r.instance.Name).Msg("router killed: it did not end within its drain time")
		r.signal(ctx, unix.SIGKILL)
	case supervisor.ActionReload:
		r.signal(ctx, unix.SIGHUP)
	}
}

// runAsync runs work, which may block, in a new goroutine, and posts the event that work returns to Run.
func (r *router) runAsync(ctx context.Context, work func() event) {
	a := r.agent
	a.goroutines.Go(func() { a.post(ctx, work()) })
}

func (r *router) findProcess(ctx context.Context, number uint64) {
	a := r.agent
	r.runAsync(ctx, func() event {
		var process *processHandle
		var err error
		if number != 0 { // 0 means that no process was ever started
			process, err = findAfterRestart(ctx, r.incarnation(number))
		}
		if process != nil {
			process.logStart = r.logSize() // the output up to here was for the earlier agent process to read
		}
		if err != nil {
			a.log.Error().Err(err).Str("instance", r.instance.Name).Msg("could not look for the router's process")
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

// checkHealth sends a health check to the router, unless one is under way already.
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

// signal sends a signal to the router's process. If no process is known to run, it reports to the supervisor that the
// process has exited.
func (r *router) signal(ctx context.Context, signal unix.Signal) {
	a := r.agent
	if r.process == nil {
		r.handle(ctx, func(s *supervisor.Supervisor) supervisor.Transition {
			return s.ProcessExited(a.now(), "there is no process")
		})
		return
	}
	err := r.process.signal(signal)
	if err != nil && !errors.Is(err, unix.ESRCH) { // if the process has ended, watch reports that
		a.log.Error().Err(err).Str("instance", r.instance.Name).Stringer("signal", signal).Msg("could not send a signal to the router")
	}
}
