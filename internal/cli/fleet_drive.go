package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jedib0t/go-pretty/v6/progress"
	"golang.org/x/term"

	"stoatdale.example/stoatdale/internal/fleet/plan"
	"stoatdale.example/stoatdale/internal/fleet/roll"
	"stoatdale.example/stoatdale/internal/fleet/tool"
)

// drive carries a task out, shows how it goes, and tells its end by the exit status.
func (a *app) drive(ctx context.Context, t *tool.Client, task roll.Task, d *driving) error {
	task.Takeover = d.takeOver
	names := t.Fleet.InstanceNames()
	for _, n := range d.leaveOut {
		i := -1
		for j := range names {
			if names[j] == n {
				i = j
			}
		}
		if i < 0 {
			return status(Misused, fmt.Errorf("--leave-out: there is no instance %s", n))
		}
		task.ExcludedInstances = append(task.ExcludedInstances, i)
	}
	var spans *tool.Trace
	if d.trace != "" {
		var err error
		if spans, err = t.NewTrace(d.trace); err != nil {
			return status(Misused, err)
		}
	}
	live := a.live(len(names))
	o := t.Drive(ctx, task, func(v roll.View, events []roll.Event) {
		if spans != nil {
			spans.Record(v, events)
		}
		for _, e := range events {
			a.event(t, e)
		}
		live.show(v)
	})
	live.end()
	if spans != nil {
		if err := spans.Close(o); err != nil {
			a.log.Error().Err(err).Msg("trace")
		}
	}
	return a.outcome(t, o)
}

func (a *app) event(t *tool.Client, e roll.Event) {
	name := ""
	if i := e.Step.Instance; e.Step.Number != 0 && i < len(t.Fleet.Instances) {
		name = t.Fleet.Instances[i].Name
	}
	switch {
	case e.AcquiredEpoch != 0:
		a.log.Info().Uint64("epoch", e.AcquiredEpoch).Msg("claimed")
	case e.StepRefusal != "":
		a.log.Warn().Str("instance", name).Str("says", e.StepRefusal).Msg("its agent refuses the step")
	case e.Action == plan.ActionBeginStep:
		a.log.Info().Str("instance", name).Uint64("step", e.Step.Number).Bool("back", e.Step.Rollback).Msg("step")
	case e.Action == plan.ActionCompleteStep:
		a.log.Info().Str("instance", name).Uint64("step", e.Step.Number).Msg("step ended")
	case e.Action == plan.ActionStartRollback:
		a.log.Warn().Str("why", t.Explain(e.Reason)).Msg("the rollout goes back")
	}
}

// outcome tells a driver's end.
func (a *app) outcome(t *tool.Client, o roll.Outcome) error {
	r := t.DescribeRollout(o.Rollout)
	said := struct {
		Outcome string              `json:"outcome"`
		Why     string              `json:"why,omitempty"`
		Rollout *tool.RolloutStatus `json:"rollout,omitempty"`
		Faults  []string            `json:"faults,omitempty"`
	}{Outcome: r.State, Why: r.Why, Rollout: r, Faults: o.Faults}
	code := Done
	var err error
	switch o.Kind {
	case roll.OutcomeEnded:
		switch o.Rollout.State {
		case plan.Paused:
			code = Paused
			if o.Reason.Kind == plan.ReasonOperator {
				code = Done
			}
			err = fmt.Errorf("the rollout is paused: %s", r.Why)
			if r.RollingBack {
				err = fmt.Errorf("%w; it was going back: %s", err, r.Cause)
			}
		case plan.RolledBack:
			if o.Reason.Kind != plan.ReasonOperator {
				code = Failed
			}
			err = fmt.Errorf("the rollout went back: %s", r.Why)
		}
	case roll.OutcomeLeaseHeld:
		said.Outcome, said.Why = "refused", fmt.Sprintf("%s holds the claim since %.0f s, for %.0f s more unless renewed; --take-over fences it off",
			o.Holder.Holder, o.Holder.HeldSeconds, o.Holder.RemainingSeconds)
		code = Refused
	case roll.OutcomeFenced:
		said.Outcome, said.Why = "fenced", fmt.Sprintf("the claim was taken over by %s", o.Holder.Holder)
		code = Refused
	case roll.OutcomeNoMajority:
		said.Outcome, said.Why = "paused", "no majority of agents can be heard: nothing more was begun"
		code = Paused
	case roll.OutcomeUnfinishedRollout:
		said.Outcome, said.Why = "refused", fmt.Sprintf("rollout %s by %s is %s: resume, abort or roll it back first", r.ID, r.StartedBy, r.State)
		code = Refused
	case roll.OutcomeInfeasible:
		said.Outcome, said.Why = "refused", "no step is possible: "+t.Explain(o.Reason)
		code = Refused
	case roll.OutcomeNoRollout:
		said.Outcome, said.Why = "refused", "there is no rollout to go on with"
		code = Refused
	case roll.OutcomeOtherFleet:
		said.Outcome, said.Why = "refused", "the rollout goes over another list of instances than this fleet file's"
		code = Refused
	case roll.OutcomeInterrupted:
		said.Outcome, said.Why = "paused", "interrupted; the claim was given back, and fleet resume goes on"
		code = Paused
	}
	if err == nil && said.Why != "" && code != Done {
		err = errors.New(said.Why)
	}
	if e := a.show(said, func(w io.Writer) {
		fmt.Fprintf(w, "rollout %s: %s\n", r.ID, said.Outcome)
		for _, f := range o.Faults {
			fmt.Fprintln(w, f)
		}
	}); e != nil {
		return e
	}
	if code == Done {
		return nil
	}
	return status(code, err)
}

// live is a view of a rollout on a terminal.
type live struct {
	w progress.Writer
	t *progress.Tracker
}

func (a *app) live(of int) *live {
	f, ok := a.err.(*os.File)
	if !ok || !term.IsTerminal(int(f.Fd())) {
		return &live{}
	}
	l := &live{w: progress.NewWriter(), t: &progress.Tracker{Total: int64(of), Message: "waiting for the claim"}}
	l.w.SetOutputWriter(a.err)
	l.w.SetAutoStop(false)
	l.w.AppendTracker(l.t)
	go l.w.Render()
	return l
}

func (l *live) show(v roll.View) {
	if l.w == nil || v.Epoch == 0 {
		return
	}
	l.t.SetValue(int64(v.Finished))
	what := fmt.Sprintf("%d serve", v.Serving)
	if s := v.Rollout.CurrentStep; s.Number != 0 && s.Instance < len(v.Instances) {
		what = fmt.Sprintf("%s: %s, %s", v.Instances[s.Instance].Name, v.Instances[s.Instance].State, what)
	}
	l.t.UpdateMessage(what)
}

func (l *live) end() {
	if l.w != nil {
		l.w.Stop()
	}
}
