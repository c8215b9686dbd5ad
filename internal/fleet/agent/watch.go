package agent

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"time"

	"stoatdale.example/stoatdale/internal/fleet/supervisor"
)

// watchInterval is the interval at which the agent reads a router's log and checks whether its process has ended.
const watchInterval = 100 * time.Millisecond

// findAfterRestart returns the process of an incarnation, or nil if none runs. It looks twice, because the previous agent
// process may have ended while it was starting the router, so that the router's process appears a moment later.
func findAfterRestart(ctx context.Context, incarnation string) (*processHandle, error) {
	process, err := findRunning(incarnation)
	if process != nil || err != nil {
		return process, err
	}
	select {
	case <-time.After(2 * watchInterval):
	case <-ctx.Done():
	}
	return findRunning(incarnation)
}

// logSize returns the size of the router's log in bytes, or 0 if the file cannot be examined.
func (r *router) logSize() int64 {
	info, err := os.Stat(filepath.Join(r.folder, logName))
	if err != nil {
		return 0
	}
	return info.Size()
}

// adopt makes process the router's process and starts a goroutine that watches it. process may be nil.
func (r *router) adopt(ctx context.Context, process *processHandle) {
	r.process = process
	if process == nil {
		return
	}
	a := r.agent
	a.log.Info().Str("instance", r.instance.Name).Int("process", process.pid).Msg("process adopted")
	log := newLogTail(filepath.Join(r.folder, logName), process.logStart)
	a.goroutines.Go(func() { r.watch(ctx, process, log) })
}

// watch posts the events in a process's log and then the end of the process. It returns after that or when ctx ends, and
// closes the process's handle.
func (r *router) watch(ctx context.Context, process *processHandle, log *logTail) {
	defer process.close()
	a := r.agent
	for ctx.Err() == nil {
		exited, reason := process.exited()
		err := log.read(func(e logEvent) {
			a.post(ctx, func(ctx context.Context) { r.handleLog(ctx, process, e) })
		})
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			a.log.Error().Err(err).Str("instance", r.instance.Name).Msg("could not read the router's log")
		}
		if exited {
			if log.lastError != "" {
				reason += ": " + log.lastError
			}
			a.post(ctx, func(ctx context.Context) { r.handleExit(ctx, process, reason) })
			return
		}
		select {
		case <-time.After(watchInterval):
		case <-ctx.Done():
		}
	}
}

// handleLog passes an event from a process's log to the supervisor. It ignores the event if the router has another
// process by now.
func (r *router) handleLog(ctx context.Context, process *processHandle, e logEvent) {
	if r.process != process {
		return
	}
	a := r.agent
	r.handle(ctx, func(s *supervisor.Supervisor) supervisor.Transition {
		if e.counts != nil {
			s.CountersRead(a.now(), *e.counts)
			return supervisor.Transition{}
		}
		return s.ReloadReported(a.now(), *e.reloadFailure)
	})
}

// handleExit reports the end of a process to the supervisor. It ignores the end if the router has another process by now.
func (r *router) handleExit(ctx context.Context, process *processHandle, reason string) {
	if r.process != process {
		return
	}
	r.process = nil
	a := r.agent
	a.log.Warn().Str("instance", r.instance.Name).Str("how", reason).Msg("router exited")
	r.handle(ctx, func(s *supervisor.Supervisor) supervisor.Transition { return s.ProcessExited(a.now(), reason) })
}
