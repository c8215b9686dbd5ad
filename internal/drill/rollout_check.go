package drill

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"stoatdale.example/stoatdale/internal/fleet/agent"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/lab/testserver"
)

const (
	servingPollInterval = 25 * time.Millisecond
	queryTimeout        = time.Second
	configFile          = "config.json"

	minCommandsPerRouter = 10 // with fewer commands the load is too small to judge by
)

// watchServing polls which routers serve, and stores the least number that served at one moment, until ctx is canceled. Its
// goroutines run in the wait group watchers.
func (d *rolloutDrill) watchServing(ctx context.Context, watchers *sync.WaitGroup) {
	serving := make([]atomic.Bool, d.options.Instances)
	for i := range serving {
		serving[i].Store(true)
		watchers.Go(func() { watchRouter(ctx, d.load.Routers[i], &serving[i]) })
	}
	watchers.Go(func() {
		for ctx.Err() == nil {
			count := int64(0)
			for i := range serving {
				if serving[i].Load() {
					count++
				}
			}
			d.minServing.Store(min(d.minServing.Load(), count))
			time.Sleep(servingPollInterval)
		}
	})
}

// watchRouter polls a router with an empty query on its own connection, and stores whether the router answers.
func watchRouter(ctx context.Context, address string, serving *atomic.Bool) {
	var c *testserver.Client
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	for ctx.Err() == nil {
		var err error
		if c != nil {
			if _, _, err = c.Query("", queryTimeout); err != nil { // the router may have closed the idle connection, so dial again
				_ = c.Close()
				c = nil
			}
		}
		if c == nil {
			if c, err = testserver.Dial(address, dialTimeout); err == nil {
				_, _, err = c.Query("", queryTimeout)
			}
		}
		serving.Store(err == nil)
		time.Sleep(servingPollInterval)
	}
}

// recordCounts adds the load's counts, the response times of answered commands and the step durations to the report.
func (d *rolloutDrill) recordCounts(counts testserver.Counts, responseTimes []time.Duration) {
	r := d.report
	r.CommandsSent = counts.Sent
	r.Answered = counts.Answered
	r.Rejected = counts.Throttled
	r.Failed = counts.Failed
	r.Lost = counts.Lost
	r.Late = counts.Late
	r.ConnectionsClosed = counts.Refused
	r.RanTwice = counts.Duplicated
	r.MinServing = int(d.minServing.Load())
	slices.Sort(responseTimes)
	if n := len(responseTimes); n > 0 {
		r.MedianMs = responseTimes[n/2].Seconds() * 1000
		r.P999Ms = responseTimes[n*999/1000].Seconds() * 1000
	}
	slices.Sort(d.stepSeconds)
	if n := len(d.stepSeconds); n > 0 {
		r.StepMedianSeconds = d.stepSeconds[n/2]
		r.StepMaxSeconds = d.stepSeconds[n-1]
	}
}

// check checks the final processes, configuration files and answers of all instances, and the counts of the load. The baseline
// is not checked.
func (d *rolloutDrill) check(ctx context.Context) error {
	if d.options.Fault == faultStray {
		if err := os.WriteFile(filepath.Join(d.instanceFolder(0), configFile), []byte("{}"), 0o600); err != nil {
			return err
		}
	}
	if d.options.HardRestart {
		return nil
	}
	if err := d.checkInstances(ctx); err != nil {
		return err
	}
	d.checkCounts()
	return nil
}

// checkInstances checks that each instance runs the second revision in one process. An instance whose agent stays gone may have
// no process, since the agent may have stopped it.
func (d *rolloutDrill) checkInstances(ctx context.Context) error {
	running, err := agent.RunningRouters(d.folder)
	if err != nil {
		return err
	}
	content, err := d.client.RevisionContent(ctx, d.secondRevision)
	if err != nil {
		return err
	}
	d.report.Consistent = true
	for i, instance := range d.fleet.Instances {
		processes := len(running[d.instanceFolder(i)])
		agentIsGone := d.options.AgentStaysGone && i == d.killedInstance
		if processes > 1 || processes == 0 && !agentIsGone {
			d.report.Consistent = false
			d.report.Fail("instance %s has %d processes, not one", instance.Name, processes)
		}
		if agentIsGone {
			continue
		}
		if err := d.checkInstance(i, content); err != nil {
			d.report.Consistent = false
			d.report.Fail("instance %s: %v", instance.Name, err)
		}
	}
	return nil
}

// checkInstance checks that an instance's configuration file matches the revision, except for the seed, which is drawn at each
// start, and that its router answers.
func (d *rolloutDrill) checkInstance(i int, content []byte) error {
	have, err := os.ReadFile(filepath.Join(d.instanceFolder(i), configFile))
	if err != nil {
		return err
	}
	want, err := revision.Render(content, d.fleet.Instances[i].RevisionInstance(), 0)
	if err != nil {
		return err
	}
	changes, err := revision.Diff(want, have)
	if err != nil {
		return err
	}
	for _, change := range changes {
		if change.Key != "seed" {
			return fmt.Errorf("its configuration file differs from the revision at %s", change.Key)
		}
	}
	return checkAnswers(d.load.Routers[i])
}

// checkAnswers checks that a router answers an empty query with an empty result.
func checkAnswers(address string) error {
	c, err := testserver.Dial(address, dialTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	answer, _, err := c.Query("", queryTimeout)
	if err != nil {
		return err
	}
	if !answer.Empty {
		return errors.New("it does not answer an empty query")
	}
	return nil
}

// checkCounts checks the number of finished instances and what the clients, the backends and watchServing counted.
func (d *rolloutDrill) checkCounts() {
	r := d.report
	wanted := d.options.Instances
	if d.options.AgentStaysGone {
		wanted--
	}
	minAvailable := d.options.Instances - d.allowedUnavailable()
	switch {
	case r.Finished != wanted:
		r.Fail("%d instances are done instead of %d", r.Finished, wanted)
	case r.Lost > 0:
		r.Fail("%d commands were lost", r.Lost)
	case r.Late > 0:
		r.Fail("%d commands were answered after their client timeout", r.Late)
	case r.RanTwice > 0:
		r.Fail("%d mutating commands ran more than once", r.RanTwice)
	case r.MinServing < minAvailable:
		r.Fail("only %d routers served at one moment, below the floor of %d", r.MinServing, minAvailable)
	case r.CommandsSent < minCommandsPerRouter*d.options.Instances:
		r.Fail("the load was too small to judge by: %d commands", r.CommandsSent)
	}
}
