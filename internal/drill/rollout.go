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

	"stoatdale.example/stoatdale/internal/fleet/control"
	"stoatdale.example/stoatdale/internal/fleet/coordinator"
	"stoatdale.example/stoatdale/internal/fleet/inventory"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
	"stoatdale.example/stoatdale/internal/lab/testserver"
)

// RolloutOptions are the parameters of the rollout drill. It runs real routers and agents on loopback under a steady load, with
// one agent for each instance.
type RolloutOptions struct {
	Instances      int
	KillAgent      bool // kill an agent midway, during a step of its instance, and restart it
	AgentStaysGone bool // kill an agent midway, during a step of its instance, and leave it down
	HardRestart    bool // run the baseline: kill each router without a drain, and change no revision
	Seed           uint64
	Folder         string // for logs, stores and traces; empty: a temporary folder, removed at the end
	RouterProgram  string
	ToolProgram    string    // stoatctl, which also runs as the agent
	Fault          string    // key of RolloutFaults; an injected fault that the checks must detect; empty: none
	Progress       io.Writer // receives progress lines for people; nil: none
}

// Faults of the rollout drill.
const (
	faultKillRouter = "kill-router"
	faultTwoAtOnce  = "two-at-once"
	faultStray      = "stray"
)

// RolloutFaults maps the name of each fault that can be injected into the rollout drill to its description.
var RolloutFaults = map[string]string{
	faultKillRouter: "kills each router without a drain when its step begins",
	faultTwoAtOnce:  "kills another router during the step of an instance",
	faultStray:      "replaces the configuration file of one instance with a different one after the rollout",
}

// RolloutReport is the result of the rollout drill.
type RolloutReport struct {
	Report
	Instances         int     `json:"instances"`
	Finished          int     `json:"done"` // instances that the rollout changed
	State             string  `json:"state"`
	Reason            string  `json:"why,omitempty"`
	PausedOn          string  `json:"paused_on,omitempty"` // reason why the rollout paused, before the drill excluded the instance
	Paused            bool    `json:"paused"`
	Consistent        bool    `json:"consistent"`    // each finished instance runs the revision, in one process
	MinServing        int     `json:"least_serving"` // least number of routers that served at one moment
	CommandsSent      int     `json:"asked"`
	Answered          int     `json:"answered"`
	Rejected          int     `json:"throttled"`
	Failed            int     `json:"failed"`
	Lost              int     `json:"lost"`
	Late              int     `json:"late"`        // answered after the client timeout
	ConnectionsClosed int     `json:"turned_away"` // connections closed before a command was accepted; the command was sent again
	RanTwice          int     `json:"doubled"`     // commands that are not idempotent and ran more than once
	MedianMs          float64 `json:"median_ms"`
	P999Ms            float64 `json:"p999_ms"`
	StepMedianSeconds float64 `json:"step_median_seconds"`
	StepMaxSeconds    float64 `json:"step_most_seconds"`
	RolloutSeconds    float64 `json:"roll_seconds"`
	KilledAgent       string  `json:"killed_agent,omitempty"`
}

const (
	drillTimeout = 3 * time.Minute

	clientTimeout    = 2 * time.Second
	clientsPerRouter = 2
	clientThinkTime  = 20 * time.Millisecond
	writeShare       = 0.2
	serviceTime      = 12 * time.Millisecond // time that a simulated database server takes for a command

	baselineTime = 500 * time.Millisecond // time under load before the rollout, with which the soak compares

	operatorName = "drill"
	baseline     = "baseline" // state reported with HardRestart

	firstSockets  = 256 // limits.sockets of the first revision
	secondSockets = 300

	noInstance = -1
)

// rolloutDrill is a running rollout drill.
type rolloutDrill struct {
	options           RolloutOptions
	report            *RolloutReport
	rng               *rand.Rand
	folder            string // absolute path of the drill's files
	fleet             *inventory.Fleet
	client            *control.Client
	backends          [3]*testserver.Backend // the primary and two replicas
	discovery         *testserver.Discovery
	load              *testserver.Load
	firstRevision     string               // digest of the revision before the drilled rollout
	secondRevision    string               // digest of the revision that the drilled rollout installs
	minServing        atomic.Int64         // least number of routers that served at one moment
	stepSeconds       []float64            // durations of the steps that have ended
	stepBegan         map[uint64]time.Time // when each unfinished step began, by its number
	killAfterFinished int                  // least number of finished instances at which the agent of a new step is killed
	killedInstance    int                  // index of the instance whose agent was killed, or noInstance

	mu      sync.Mutex // guards agents and orphans
	agents  []*exec.Cmd
	orphans []int // process IDs of routers whose agent may be gone
}

// RunRollout runs the rollout drill. It returns an error if the drill could not run to its end, for example because ctx was
// canceled. Failed checks are in the report.
func RunRollout(ctx context.Context, options RolloutOptions) (RolloutReport, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, drillTimeout)
	defer cancel()
	report := RolloutReport{Report: Report{Drill: "rollout", Seed: options.Seed, OK: true}, Instances: options.Instances}
	d := &rolloutDrill{
		options: options, report: &report,
		rng:            rand.New(rand.NewPCG(options.Seed, 0)),
		stepBegan:      map[uint64]time.Time{},
		killedInstance: noInstance,
	}
	d.killAfterFinished = options.Instances/2 + d.rng.IntN(max(1, options.Instances/4))
	err := d.setUp(ctx)
	if err == nil {
		err = d.run(ctx)
	}
	d.tearDown()
	report.Seconds = time.Since(began).Seconds()
	if err != nil {
		return report, err
	}
	return report, ctx.Err()
}

// logf writes a progress line for people.
func (d *rolloutDrill) logf(format string, args ...any) {
	if d.options.Progress != nil {
		_, _ = fmt.Fprintf(d.options.Progress, format+"\n", args...)
	}
}

// run rolls out the first revision and then, under load, the second one. With HardRestart it runs the baseline instead of the
// second rollout.
func (d *rolloutDrill) run(ctx context.Context) error {
	if err := d.rollOutFirst(ctx); err != nil {
		return err
	}
	d.logf("the routers serve; starting the load")
	d.load.Start(d.options.Seed)
	d.minServing.Store(int64(d.options.Instances))
	watchContext, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var watchers sync.WaitGroup
	d.watchServing(watchContext, &watchers)
	time.Sleep(baselineTime)
	began := time.Now()
	var err error
	if d.options.HardRestart {
		err = d.restartHard(ctx)
	} else {
		err = d.rollOutSecond(ctx)
	}
	d.report.RolloutSeconds = time.Since(began).Seconds()
	stopWatching()
	watchers.Wait()
	d.recordCounts(d.load.Stop())
	if err != nil {
		return err
	}
	return d.check(ctx)
}

// rollOutFirst pushes both revisions and rolls out the first one to all instances.
func (d *rolloutDrill) rollOutFirst(ctx context.Context) error {
	var err error
	if d.firstRevision, err = d.pushRevision(ctx, "first", firstSockets); err != nil {
		return err
	}
	if d.secondRevision, err = d.pushRevision(ctx, "second", secondSockets); err != nil {
		return err
	}
	d.logf("the agents are up; rolling out the first revision")
	outcome := d.client.Drive(ctx, d.client.NewRollout(protocol.Revision{Digest: d.firstRevision, Name: "first"}, false), nil)
	if outcome.Kind != coordinator.OutcomeEnded || outcome.Rollout.State != rollout.Complete {
		return fmt.Errorf("the first rollout did not complete: outcome %d, state %s, reason %s, faults %v",
			outcome.Kind, outcome.Rollout.State, d.client.Explain(outcome.Reason), outcome.Failures)
	}
	return nil
}

// rollOutSecond drives the drilled rollout, that of the second revision, and checks its outcome.
func (d *rolloutDrill) rollOutSecond(ctx context.Context) error {
	d.logf("rolling out the second revision")
	var trace *control.Trace
	if d.options.Folder != "" {
		var err error
		if trace, err = d.client.NewTrace(filepath.Join(d.folder, "spans.json")); err != nil {
			return err
		}
	}
	var faults sync.WaitGroup
	defer faults.Wait()
	watch := func(view coordinator.View, events []coordinator.Event) {
		if trace != nil {
			trace.Record(view, events)
		}
		for _, e := range events {
			d.handleEvent(ctx, view, e, &faults)
		}
		d.report.Finished = view.Finished
	}
	outcome := d.driveSecond(ctx, watch)
	if trace != nil {
		if err := trace.Close(outcome); err != nil {
			return err
		}
	}
	d.recordOutcome(outcome)
	return nil
}

// driveSecond drives the rollout of the second revision. If the rollout pauses because an agent stays gone, the drill resumes it
// without that agent's instance, as an operator would.
func (d *rolloutDrill) driveSecond(ctx context.Context, watch func(coordinator.View, []coordinator.Event)) coordinator.Outcome {
	outcome := d.client.Drive(ctx, d.client.NewRollout(protocol.Revision{Digest: d.secondRevision, Name: "second"}, false), watch)
	paused := outcome.Kind == coordinator.OutcomeEnded && outcome.Rollout.State == rollout.Paused
	agentIsGone := d.options.AgentStaysGone && d.killedInstance != noInstance
	if !paused || !agentIsGone {
		return outcome
	}
	d.report.PausedOn = d.client.Explain(outcome.Reason)
	d.logf("paused: %s; resuming without that instance", d.report.PausedOn)
	task := coordinator.Task{Operation: coordinator.OperationResume, Operator: operatorName, ExcludedInstances: []int{d.killedInstance}}
	return d.client.Drive(ctx, task, watch)
}

// recordOutcome adds the rollout's outcome to the report and checks that the rollout ended as the options require.
func (d *rolloutDrill) recordOutcome(outcome coordinator.Outcome) {
	r := d.report
	state := outcome.Rollout.State
	r.State = state.String()
	r.Reason = d.client.Explain(outcome.Reason)
	r.Paused = state == rollout.Paused
	switch {
	case outcome.Kind != coordinator.OutcomeEnded:
		r.Fail("the rollout did not end: outcome %d, claim held by %q, faults %v", outcome.Kind, outcome.Holder.Holder, outcome.Failures)
	case d.options.AgentStaysGone && (!r.Paused || outcome.Reason.Kind != rollout.ReasonInstancesExcluded):
		r.Fail("with an agent gone the rollout ended as %s: %s", r.State, r.Reason)
	case !d.options.AgentStaysGone && state != rollout.Complete:
		r.Fail("the rollout ended as %s: %s", r.State, r.Reason)
	}
}

// handleEvent measures the duration of steps, and injects faults when a step begins. Faults that take a while run in the wait
// group faults.
func (d *rolloutDrill) handleEvent(ctx context.Context, view coordinator.View, e coordinator.Event, faults *sync.WaitGroup) {
	switch e.Action {
	case rollout.ActionBeginStep:
		d.stepBegan[e.Step.Number] = time.Now()
		d.injectFaults(ctx, view, e.Step, faults)
	case rollout.ActionCompleteStep, rollout.ActionStartRollback, rollout.ActionFinish:
		if began, known := d.stepBegan[e.Step.Number]; known && e.Step.Number != 0 {
			d.stepSeconds = append(d.stepSeconds, time.Since(began).Seconds())
			delete(d.stepBegan, e.Step.Number)
		}
	case rollout.ActionWait, rollout.ActionResendStep:
	}
}
