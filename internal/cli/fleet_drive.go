package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/fleet/control"
	"stoatdale.example/stoatdale/internal/fleet/coordinator"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// driveFlags are the flags of the commands that drive a rollout.
type driveFlags struct {
	takeOver  bool
	leaveOut  []string // names of instances
	traceFile string   // empty: no trace is written
}

func (f *driveFlags) register(c *cobra.Command) {
	c.Flags().BoolVar(&f.takeOver, "take-over", false, "take the claim even if another tool holds it, and fence that tool off")
	c.Flags().StringSliceVar(&f.leaveOut, "leave-out", nil, "instances to leave out of this run, even if their state is unknown")
	c.Flags().StringVar(&f.traceFile, "trace", "", "file in which to save OpenTelemetry spans of the rollout and its steps")
}

// excludedInstances returns the indexes in names of the instances that --leave-out lists.
func (f *driveFlags) excludedInstances(names []string) ([]int, error) {
	var excluded []int
	for _, name := range f.leaveOut {
		instance := slices.Index(names, name)
		if instance < 0 {
			return nil, exitErrorf(ExitUsage, "--leave-out: there is no instance %s", name)
		}
		excluded = append(excluded, instance)
	}
	return excluded, nil
}

// drive carries out a task and shows its progress. It returns an exit error unless the task ended as the operator asked.
func (a *app) drive(ctx context.Context, client *control.Client, task coordinator.Task, flags *driveFlags) error {
	names := client.Fleet.InstanceNames()
	excluded, err := flags.excludedInstances(names)
	if err != nil {
		return err
	}
	task.Takeover = flags.takeOver
	task.ExcludedInstances = append(task.ExcludedInstances, excluded...)
	var trace *control.Trace
	if flags.traceFile != "" {
		if trace, err = client.NewTrace(flags.traceFile); err != nil {
			return exitError(ExitUsage, err)
		}
	}
	bar := a.newProgressBar(len(names))
	outcome := client.Drive(ctx, task, func(view coordinator.View, events []coordinator.Event) {
		if trace != nil {
			trace.Record(view, events)
		}
		for _, event := range events {
			a.logEvent(client, event)
		}
		bar.update(view)
	})
	bar.stop()
	if trace != nil {
		if err := trace.Close(outcome); err != nil {
			a.log.Error().Err(err).Str("file", flags.traceFile).Msg("trace not written")
		}
	}
	return a.reportOutcome(client, outcome)
}

func (a *app) logEvent(client *control.Client, event coordinator.Event) {
	name := ""
	if i := event.Step.Instance; event.Step.Number != 0 && i < len(client.Fleet.Instances) {
		name = client.Fleet.Instances[i].Name
	}
	switch {
	case event.AcquiredEpoch != 0:
		a.log.Info().Uint64("epoch", event.AcquiredEpoch).Msg("lease acquired")
	case event.StepRefusal != "":
		a.log.Warn().Str("instance", name).Str("reason", event.StepRefusal).Msg("step rejected by the agent")
	case event.Action == rollout.ActionBeginStep:
		a.log.Info().Str("instance", name).Uint64("step", event.Step.Number).Bool("rollback", event.Step.Rollback).Msg("step begun")
	case event.Action == rollout.ActionCompleteStep:
		a.log.Info().Str("instance", name).Uint64("step", event.Step.Number).Msg("step ended")
	case event.Action == rollout.ActionStartRollback:
		a.log.Warn().Str("reason", client.Explain(event.Reason)).Msg("rollback started")
	}
}

// driveReport is the output of a command that drove a rollout.
type driveReport struct {
	Outcome string                 `json:"outcome"`
	Reason  string                 `json:"why,omitempty"`
	Rollout *control.RolloutStatus `json:"rollout,omitempty"`
	Faults  []string               `json:"faults,omitempty"`
}

// reportOutcome prints how driving a rollout ended, and returns the exit error for that outcome.
func (a *app) reportOutcome(client *control.Client, outcome coordinator.Outcome) error {
	rollout := client.DescribeRollout(outcome.Rollout)
	report := driveReport{Outcome: rollout.State, Reason: rollout.Reason, Rollout: rollout, Faults: outcome.Failures}
	var exit error
	if outcome.Kind == coordinator.OutcomeEnded {
		exit = endedRolloutError(outcome, rollout)
	} else if unfinished := describeUnfinished(client, outcome, rollout); unfinished.outcome != "" {
		report.Outcome, report.Reason = unfinished.outcome, unfinished.reason
		exit = exitError(unfinished.code, errors.New(unfinished.reason))
	}
	if err := a.show(report, func(out io.Writer) {
		printf(out, "rollout %s: %s\n", rollout.ID, report.Outcome)
		for _, fault := range outcome.Failures {
			printf(out, "%s\n", fault)
		}
	}); err != nil {
		return err
	}
	return exit
}

// endedRolloutError returns the exit error of a rollout that ended or paused, or nil if it completed or ended as the operator
// asked.
func endedRolloutError(outcome coordinator.Outcome, state *control.RolloutStatus) error {
	if outcome.Reason.Kind == rollout.ReasonOperator {
		return nil
	}
	switch outcome.Rollout.State {
	case rollout.Paused:
		err := fmt.Errorf("the rollout is paused: %s", state.Reason)
		if state.RollingBack {
			err = fmt.Errorf("%w; it was being rolled back: %s", err, state.Cause)
		}
		return exitError(ExitPaused, err)
	case rollout.RolledBack:
		return exitErrorf(ExitFailed, "the rollout was rolled back: %s", state.Reason)
	case rollout.None, rollout.Running, rollout.Complete, rollout.Aborted:
	}
	return nil
}

// unfinishedDrive is the outcome of driving a rollout that stopped before the rollout ended.
type unfinishedDrive struct {
	outcome string
	reason  string
	code    ExitCode
}

func rejectedDrive(format string, args ...any) unfinishedDrive {
	return unfinishedDrive{outcome: "refused", reason: fmt.Sprintf(format, args...), code: ExitRejected}
}

func describeUnfinished(client *control.Client, outcome coordinator.Outcome, rollout *control.RolloutStatus) unfinishedDrive {
	holder := outcome.Holder
	switch outcome.Kind {
	case coordinator.OutcomeEnded: // reportOutcome reports the rollout's state instead
	case coordinator.OutcomeLeaseHeld:
		return rejectedDrive("%s holds the claim: held for %.0f s, expires in %.0f s unless renewed; --take-over fences that tool off",
			holder.Holder, holder.HeldSeconds, holder.RemainingSeconds)
	case coordinator.OutcomeFenced:
		return unfinishedDrive{"fenced", "the claim was taken over by " + holder.Holder, ExitRejected}
	case coordinator.OutcomeNoMajority:
		return unfinishedDrive{"paused", "no majority of agents can be reached, so no further step was begun", ExitPaused}
	case coordinator.OutcomeUnfinishedRollout:
		return rejectedDrive("rollout %s by %s is %s: resume, abort or roll it back first", rollout.ID, rollout.StartedBy, rollout.State)
	case coordinator.OutcomeInfeasible:
		return rejectedDrive("no step is possible: %s", client.Explain(outcome.Reason))
	case coordinator.OutcomeNoRollout:
		return rejectedDrive("there is no rollout that this command could act on")
	case coordinator.OutcomeOtherFleet:
		return rejectedDrive("the rollout covers a different list of instances than this fleet file")
	case coordinator.OutcomeInterrupted:
		return unfinishedDrive{"paused", "interrupted; the claim was released, and fleet resume continues the rollout", ExitPaused}
	}
	return unfinishedDrive{}
}
