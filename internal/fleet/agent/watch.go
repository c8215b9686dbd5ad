package agent

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"time"

	"stoatdale.example/stoatdale/internal/fleet/supervisor"
)

// watchInterval is how often a process's end and its log are looked at.
const watchInterval = 100 * time.Millisecond

// findRestarted finds the process of an incarnation, or returns nil. It looks twice: a process whose agent died as it
// started it may just be coming up.
func findRestarted(ctx context.Context, incarnation string) (*processHandle, error) {
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

// logSize returns the present size of the router's log; 0 if there is none.
func (r *router) logSize() int64 {
	info, err := os.Stat(filepath.Join(r.folder, logName))
	if err != nil {
		return 0
	}
	return info.Size()
}

// adopt takes a process over and watches it; nil stands for none.
func (r *router) adopt(ctx context.Context, process *processHandle) {
	r.process = process
	if process == nil {
		return
	}
	a := r.agent
	a.log.Info().Str("instance", r.instance.Name).Int("process", process.pid).Msg("process adopted")
	log := newLogTail(filepath.Join(r.folder, logName), process.logStart)
	a.work.Go(func() { r.watch(ctx, process, log) })
}

// watch reports what a router logs and its end, until then or until ctx ends. It closes the process's handle.
func (r *router) watch(ctx context.Context, process *processHandle, log *logTail) {
	defer process.close()
	a := r.agent
	for ctx.Err() == nil {
		exited, how := process.exited()
		err := log.read(func(e logEvent) {
			a.post(ctx, func(ctx context.Context) { r.handleLog(ctx, process, e) })
		})
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			a.log.Error().Err(err).Str("instance", r.instance.Name).Msg("router's log not read")
		}
		if exited {
			if log.lastError != "" {
				how += ": " + log.lastError
			}
			a.post(ctx, func(ctx context.Context) { r.handleExit(ctx, process, how) })
			return
		}
		select {
		case <-time.After(watchInterval):
		case <-ctx.Done():
		}
	}
}

// handleLog takes in what a process has logged, unless it is no longer the router's.
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

// handleExit takes in the end of a process, unless it is no longer the router's.
func (r *router) handleExit(ctx context.Context, process *processHandle, how string) {
	if r.process != process {
		return
	}
	r.process = nil
	a := r.agent
	a.log.Warn().Str("instance", r.instance.Name).Str("how", how).Msg("router exited")
	r.handle(ctx, func(s *supervisor.Supervisor) supervisor.Transition { return s.ProcessExited(a.now(), how) })
}
