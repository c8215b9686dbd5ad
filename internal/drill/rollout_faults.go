package drill

import (
	"context"
	"path/filepath"
	"sync"
	"time"

	"stoatdale.example/stoatdale/internal/fleet/agent"
	"stoatdale.example/stoatdale/internal/fleet/coordinator"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
	"stoatdale.example/stoatdale/internal/lab/testserver"
)

const (
	agentDowntime       = 2 * time.Second
	maxKillDelayMs      = 900                    // latest kill in a step; the seed decides if it is before, while or after the agent acts
	secondRouterDelay   = 600 * time.Millisecond // by then the step's own router has ended
	secondRouterStep    = 2                      // number of the step during which a second router is killed
	restartDetectTime   = 100 * time.Millisecond // time after a kill, before the drill waits for the restarted router
	restartPollInterval = 10 * time.Millisecond
	restartPause        = 300 * time.Millisecond // time from the restart of a router to the kill of the next one
	dialTimeout         = time.Second
)

// injectFaults kills agents and routers as the options require when a step begins.
func (d *rolloutDrill) injectFaults(ctx context.Context, view coordinator.View, step rollout.Step, faults *sync.WaitGroup) {
	instance := step.Instance
	killsAgent := d.options.KillAgent || d.options.AgentStaysGone
	if killsAgent && d.killedInstance == noInstance && view.Finished >= d.killAfterFinished {
		d.killedInstance = instance
		d.report.KilledAgent = d.fleet.Agents[instance].Name
		delay := time.Duration(d.rng.IntN(maxKillDelayMs)) * time.Millisecond
		faults.Go(func() { d.killAgent(ctx, instance, delay) })
	}
	if d.options.Fault == faultKillRouter {
		d.killRouter(instance)
	}
	if d.options.Fault == faultTwoAtOnce && step.Number == secondRouterStep {
		faults.Go(func() {
			time.Sleep(secondRouterDelay)
			d.killRouter((instance + 1) % d.options.Instances)
		})
	}
}

// killAgent kills an agent after a delay, and restarts it unless AgentStaysGone is set.
func (d *rolloutDrill) killAgent(ctx context.Context, i int, delay time.Duration) {
	time.Sleep(delay)
	d.mu.Lock()
	cmd := d.agents[i]
	d.mu.Unlock()
	name := d.fleet.Agents[i].Name
	d.logf("killing agent %s, %d ms into the step of %s", name, delay.Milliseconds(), d.fleet.Instances[i].Name)
	d.recordRunningRouters()
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	if d.options.AgentStaysGone {
		return
	}
	select {
	case <-time.After(agentDowntime):
	case <-ctx.Done():
		return
	}
	d.logf("restarting agent %s", name)
	if err := d.startAgent(i); err != nil {
		d.logf("%v", err)
	}
}

// recordRunningRouters adds the running routers to orphans, because tearDown must wait for those whose agent was killed.
func (d *rolloutDrill) recordRunningRouters() {
	running, err := agent.RunningRouters(d.folder)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pids := range running {
		d.orphans = append(d.orphans, pids...)
	}
}

// instanceFolder returns the folder of an instance's files, which is inside its agent's folder.
func (d *rolloutDrill) instanceFolder(i int) string {
	return filepath.Join(d.fleet.Agents[i].Folder, d.fleet.Instances[i].Name)
}

func (d *rolloutDrill) killRouter(i int) {
	if _, err := agent.KillRouters(d.fleet.Agents[i].Folder); err != nil {
		d.logf("%v", err)
	}
}

// restartHard runs the baseline, which does what a shell loop would do: it kills each router and waits until its agent has
// restarted it. It changes no revision; it measures what such restarts cost the clients.
func (d *rolloutDrill) restartHard(ctx context.Context) error {
	for i := range d.fleet.Instances {
		began := time.Now()
		d.killRouter(i)
		time.Sleep(restartDetectTime)
		if err := awaitRouter(ctx, d.load.Routers[i]); err != nil {
			return err
		}
		d.stepSeconds = append(d.stepSeconds, time.Since(began).Seconds())
		time.Sleep(restartPause)
	}
	d.report.State = baseline
	return nil
}

// awaitRouter waits until a router accepts a client connection, or ctx is canceled.
func awaitRouter(ctx context.Context, address string) error {
	for {
		if c, err := testserver.Dial(address, dialTimeout); err == nil {
			_ = c.Close()
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(restartPollInterval)
	}
}
