package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/progress"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/layout"
	"stoatdale.example/stoatdale/internal/fleet/plan"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/roll"
	"stoatdale.example/stoatdale/internal/fleet/tool"
	"stoatdale.example/stoatdale/internal/keys"
)

// fleetFlags are common to the commands that speak to agents.
type fleetFlags struct {
	file, folder, operator string
}

func (f *fleetFlags) open() (*tool.Client, error) {
	l, err := layout.Load(f.file)
	if err != nil {
		return nil, status(Misused, err)
	}
	t, err := tool.New(l, keys.Folder(f.folder), f.operator)
	if err != nil {
		return nil, status(Misused, err)
	}
	return t, nil
}

func (a *app) fleet() *cobra.Command {
	var f fleetFlags
	c := &cobra.Command{
		Use: "fleet", Short: "Shows a fleet and changes it, one instance at a time",
		Long: "A rollout takes one instance at a time, never goes below the floors of the fleet file, and holds a claim that a majority\n" +
			"of agents grants, so that no two operators change the fleet at once. It survives this tool: resume goes on from\n" +
			"any machine.\n\n" + statuses,
	}
	c.PersistentFlags().StringVar(&f.file, "fleet", "deploy/fleet.sexp", "fleet file")
	c.PersistentFlags().StringVar(&f.folder, "keys", "keys", "folder of the keys")
	c.PersistentFlags().StringVar(&f.operator, "as", os.Getenv("USER"), "operator whose certificate is shown")
	c.AddCommand(a.check(), a.status(&f), a.diff(&f), a.push(&f), a.roll(&f), a.resume(&f), a.rollback(&f),
		a.halt(&f, "pause", "Pauses the rollout before its next step", plan.RequestPause, roll.OperationPause),
		a.halt(&f, "abort", "Gives the rollout up: instances stay as they are", plan.RequestAbort, roll.OperationAbort),
		a.history(&f), a.claimed(&f))
	return group(c)
}

func (a *app) check() *cobra.Command {
	c := &cobra.Command{
		Use: "check FILE [REVISION.json]", Short: "Checks a fleet file, and a revision for its instances",
		Example: "  stoatctl fleet check deploy/fleet.sexp winter.json", Args: cobra.RangeArgs(1, 2),
		RunE: func(_ *cobra.Command, args []string) error {
			f, err := layout.Load(args[0])
			if err != nil {
				return status(Misused, err)
			}
			t := &tool.Client{Fleet: f}
			said := map[string]any{"fleet": f.Name, "halls": len(f.Zones), "agents": len(f.Agents), "instances": len(f.Instances)}
			if len(args) == 2 {
				content, err := t.ReadRevision(args[1])
				if err != nil {
					return status(Misused, err)
				}
				said["revision"] = revision.Digest(content)
			}
			if err := a.show(said, func(w io.Writer) {
				fmt.Fprintf(w, "%s: %d halls, %d agents, %d instances\n", f.Name, len(f.Zones), len(f.Agents), len(f.Instances))
				if d, ok := said["revision"]; ok {
					fmt.Fprintf(w, "revision %s is right for all of them\n", d)
				}
			}); err != nil {
				return err
			}
			if why := plan.CheckFeasible(f.PlannerFleet(), nil); why.Kind != plan.ReasonNone {
				return refuse("no rollout is possible with these floors: %s", t.Explain(why))
			}
			return nil
		},
	}
	a.asJSON(c)
	return c
}

func (a *app) status(f *fleetFlags) *cobra.Command {
	var watch time.Duration
	c := &cobra.Command{
		Use: "status", Short: "Shows agents, instances, the rollout and who holds the claim",
		Long: "Exit status 1 if an agent cannot be heard.", Example: "  stoatctl fleet status --watch 2s", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t, err := f.open()
			if err != nil {
				return err
			}
			defer t.Close()
			for {
				s := t.Status(cmd.Context())
				if err := a.show(s, func(w io.Writer) { printStatus(w, s) }); err != nil {
					return err
				}
				if watch > 0 {
					select {
					case <-time.After(watch):
						continue
					case <-cmd.Context().Done():
						return nil
					}
				}
				for _, x := range s.Agents {
					if !x.Reachable {
						return status(Failed, errors.New(x.Failure))
					}
				}
				return nil
			}
		},
	}
	c.Flags().DurationVar(&watch, "watch", 0, "show it again each so often, until interrupted")
	a.asJSON(c)
	return c
}

func printStatus(w io.Writer, s tool.Status) {
	fmt.Fprintf(w, "%s: %d of %d serve\n\n", s.Fleet, s.Serving, s.Total)
	t := grid(w, "instance", "hall", "agent", "life", "revision", "process", "crashes", "unanswered", "")
	for _, x := range s.Instances {
		rev := x.Revision
		if x.TargetRevision != "" {
			rev += " -> " + x.TargetRevision
		}
		t.AppendRow(table.Row{x.Name, x.Zone, x.Agent, x.State, rev, x.ProcessID, x.Crashes, fmt.Sprintf("%d of %d", x.UnansweredCommands, x.EndedCommands), x.Step})
	}
	t.Render()
	for _, x := range s.Agents {
		if !x.Reachable {
			fmt.Fprintf(w, "\n%s", x.Failure)
		}
	}
	fmt.Fprintln(w)
	if r := s.Rollout; r != nil {
		fmt.Fprintf(w, "rollout %s of revision %s by %s, begun %s: %s", r.ID, r.Revision, r.StartedBy, r.StartedAt, r.State)
		if r.RollingBack {
			fmt.Fprintf(w, ", going back (%s)", r.Cause)
		}
		if r.Why != "" {
			fmt.Fprint(w, ": ", r.Why)
		}
		if r.Step != "" {
			fmt.Fprint(w, " (", r.Step, ")")
		}
		fmt.Fprintln(w)
	}
	printClaim(w, s.Lease)
}

func printClaim(w io.Writer, c *tool.LeaseStatus) {
	if !c.Held {
		fmt.Fprintf(w, "nobody holds the claim (epoch %d, %d of %d agents heard)\n", c.Epoch, c.ReachableAgents, c.Agents)
		return
	}
	fmt.Fprintf(w, "%s holds the claim under epoch %d since %.0f s, for %.0f s more unless renewed (%d of %d agents)\n", c.Holder, c.Epoch,
		c.SinceSeconds, c.LeftSeconds, c.Grants, c.Agents)
}

func (a *app) diff(f *fleetFlags) *cobra.Command {
	c := &cobra.Command{
		Use: "diff REVISION [REVISION]", Short: "Shows what a revision changes, and how each instance would take it",
		Long:    "REVISION is a file, the name of a pushed revision or the beginning of its digest. With one, it is held against what runs.",
		Example: "  stoatctl fleet diff winter.json\n  stoatctl fleet diff autumn winter", Args: cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := f.open()
			if err != nil {
				return err
			}
			defer t.Close()
			return a.differ(cmd.Context(), t, args)
		},
	}
	a.asJSON(c)
	return c
}

// content takes a revision from a file or from the agents.
func (a *app) content(ctx context.Context, t *tool.Client, called string) ([]byte, error) {
	if _, err := os.Stat(called); err == nil {
		c, err := t.ReadRevision(called)
		return c, status(Misused, err)
	}
	r, err := t.FindRevision(ctx, called)
	if err != nil {
		return nil, status(Failed, err)
	}
	c, err := t.RevisionContent(ctx, r.Digest)
	return c, status(Failed, err)
}

func (a *app) differ(ctx context.Context, t *tool.Client, args []string) error {
	type said struct {
		Changes []revision.Change     `json:"changes"`
		Effects []tool.RevisionEffect `json:"instances,omitempty"`
	}
	var s said
	to, err := a.content(ctx, t, args[len(args)-1])
	if err != nil {
		return err
	}
	var from []byte
	if len(args) == 2 {
		if from, err = a.content(ctx, t, args[0]); err != nil {
			return err
		}
	} else {
		if s.Effects, err = t.PreviewEffects(ctx, to); err != nil {
			return status(Failed, err)
		}
		for _, x := range t.Status(ctx).Instances { // what most of them run is what one would compare with
			if x.Revision != "" {
				if from, err = a.content(ctx, t, x.Revision); err != nil {
					return err
				}
				break
			}
		}
	}
	if from != nil {
		if s.Changes, err = revision.Diff(from, to); err != nil {
			return status(Failed, err)
		}
	}
	return a.show(s, func(w io.Writer) {
		for _, x := range s.Changes {
			switch {
			case x.From == "":
				fmt.Fprintf(w, "+ %s: %s\n", x.Key, x.To)
			case x.To == "":
				fmt.Fprintf(w, "- %s: %s\n", x.Key, x.From)
			default:
				fmt.Fprintf(w, "  %s: %s -> %s\n", x.Key, x.From, x.To)
			}
		}
		for _, x := range s.Effects {
			fmt.Fprintf(w, "%s: %s %s\n", x.Instance, x.Change, strings.Join(x.Keys, ", "))
		}
	})
}

func (a *app) push(f *fleetFlags) *cobra.Command {
	var name string
	c := &cobra.Command{
		Use: "push FILE", Short: "Has every agent keep a revision; nothing runs it yet",
		Long: "The file is what all routers share: the document of GW_CONFIG without name, listen and seed. It is checked by the\n" +
			"router's own reader for every instance before any agent is asked, and again at the agents. Exit status 4 if some\n" +
			"agents could not take it: push again once they can be heard.",
		Example: "  stoatctl fleet push winter.json --name winter", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := f.open()
			if err != nil {
				return err
			}
			defer t.Close()
			content, err := t.ReadRevision(args[0])
			if err != nil {
				return status(Misused, err)
			}
			p := t.PushRevision(cmd.Context(), content, name)
			if err := a.show(p, func(w io.Writer) {
				fmt.Fprintf(w, "revision %s is kept by %d of %d agents\n", p.Digest, p.Stored, p.Agents)
				for _, m := range p.Missing {
					fmt.Fprintln(w, m.Failure)
				}
			}); err != nil {
				return err
			}
			if p.Stored == 0 {
				return status(Failed, errors.New(p.Missing[0].Failure))
			}
			if len(p.Missing) > 0 {
				return status(Paused, fmt.Errorf("%d agents do not keep the revision", len(p.Missing)))
			}
			return nil
		},
	}
	c.Flags().StringVar(&name, "name", "", "name to find the revision by")
	a.asJSON(c)
	return c
}

// driving are the flags of commands that drive a rollout.
type driving struct {
	takeOver bool
	leaveOut []string
	trace    string
}

func (d *driving) flags(c *cobra.Command) {
	c.Flags().BoolVar(&d.takeOver, "take-over", false, "take the claim also from a tool that holds it; that one is fenced off")
	c.Flags().StringSliceVar(&d.leaveOut, "leave-out", nil, "instances that this run goes on without, known or not")
	c.Flags().StringVar(&d.trace, "trace", "", "file for OpenTelemetry spans of the rollout and its steps")
}

func (a *app) roll(f *fleetFlags) *cobra.Command {
	var d driving
	var restart, dry bool
	c := &cobra.Command{
		Use: "roll REVISION", Short: "Brings a pushed revision to all instances, one at a time",
		Long: "Each instance is drained, changed, seen ready and watched for the soak before the next is touched. If it does not come\n" +
			"up, or leaves a larger share of commands unanswered than before, all that were touched go back by themselves.",
		Example: "  stoatctl fleet roll winter\n  stoatctl fleet roll winter --dry-run", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := f.open()
			if err != nil {
				return err
			}
			defer t.Close()
			r, err := t.FindRevision(cmd.Context(), args[0])
			if err != nil {
				return status(Failed, err)
			}
			if dry {
				return a.differ(cmd.Context(), t, []string{r.Digest})
			}
			return a.drive(cmd.Context(), t, t.NewRollout(r, restart), &d)
		},
	}
	d.flags(c)
	c.Flags().BoolVar(&restart, "restart", false, "restart also where a reload would do, as after a new program was put in place")
	c.Flags().BoolVar(&dry, "dry-run", false, "only show what would change")
	a.asJSON(c)
	return c
}

func (a *app) resume(f *fleetFlags) *cobra.Command {
	var d driving
	c := &cobra.Command{
		Use: "resume", Short: "Goes on with the rollout that paused, or whose tool is gone",
		Example: "  stoatctl fleet resume --leave-out n7", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t, err := f.open()
			if err != nil {
				return err
			}
			defer t.Close()
			return a.drive(cmd.Context(), t, roll.Task{Operation: roll.OperationResume, Operator: t.Operator}, &d)
		},
	}
	d.flags(c)
	a.asJSON(c)
	return c
}

func (a *app) rollback(f *fleetFlags) *cobra.Command {
	var d driving
	c := &cobra.Command{
		Use: "rollback [REVISION]", Short: "Takes the newest rollout back, or rolls an earlier revision out",
		Long:    "Without a name, each instance that the newest rollout touched goes back to what it ran before.",
		Example: "  stoatctl fleet rollback\n  stoatctl fleet rollback autumn", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := f.open()
			if err != nil {
				return err
			}
			defer t.Close()
			ctx := cmd.Context()
			if len(args) == 1 {
				r, err := t.FindRevision(ctx, args[0])
				if err != nil {
					return status(Failed, err)
				}
				return a.drive(ctx, t, t.NewRollout(r, false), &d)
			}
			if r, driven, found := t.NewestRollout(ctx); found && driven && !r.State.Terminal() && !d.takeOver {
				return a.wish(ctx, t, r, plan.RequestRollback)
			}
			return a.drive(ctx, t, roll.Task{Operation: roll.OperationRollback, Operator: t.Operator}, &d)
		},
	}
	d.flags(c)
	a.asJSON(c)
	return c
}

func (a *app) halt(f *fleetFlags, use, short string, w plan.OperatorRequest, verb roll.Operation) *cobra.Command {
	var d driving
	c := &cobra.Command{
		Use: use, Short: short,
		Long: "If a tool drives the rollout it is asked, and does so once its step has ended. Else this tool does it.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t, err := f.open()
			if err != nil {
				return err
			}
			defer t.Close()
			r, driven, found := t.NewestRollout(cmd.Context())
			if found && driven && r.State == plan.Running && !d.takeOver {
				return a.wish(cmd.Context(), t, r, w)
			}
			return a.drive(cmd.Context(), t, roll.Task{Operation: verb, Operator: t.Operator}, &d)
		},
	}
	c.Flags().BoolVar(&d.takeOver, "take-over", false, "do not ask the tool that drives: take the claim from it")
	a.asJSON(c)
	return c
}

// wish asks the tool that drives, and waits until it has followed or is gone.
func (a *app) wish(ctx context.Context, t *tool.Client, r form.Rollout, w plan.OperatorRequest) error {
	if n := t.RequestAction(ctx, r, w); n == 0 {
		return status(Failed, errors.New("no agent took the wish"))
	}
	for {
		now, driven, found := t.NewestRollout(ctx)
		switch {
		case !found || now.ID != r.ID || now.Run != r.Run:
			return status(Failed, errors.New("another rollout, or another run of it, has come meanwhile"))
		case now.State == plan.Paused && w == plan.RequestPause, now.State == plan.Aborted && w == plan.RequestAbort, now.RollingBack && w == plan.RequestRollback:
			return a.show(map[string]string{"rollout": now.ID, "state": now.State.String()}, func(out io.Writer) {
				fmt.Fprintf(out, "rollout %s: %s\n", now.ID, now.State)
			})
		case now.State.Terminal():
			return refuse("rollout %s has ended meanwhile: %s", now.ID, now.State)
		case !driven:
			return status(Paused, errors.New("the tool that drove the rollout is gone: say it again"))
		}
		select {
		case <-time.After(time.Duration(float64(t.Fleet.Times.PollInterval) * float64(time.Second))):
		case <-ctx.Done():
			return status(Paused, errors.New("interrupted; the wish stands"))
		}
	}
}

func (a *app) history(f *fleetFlags) *cobra.Command {
	c := &cobra.Command{
		Use: "history", Short: "Lists revisions and rollouts, newest first", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t, err := f.open()
			if err != nil {
				return err
			}
			defer t.Close()
			h, err := t.History(cmd.Context())
			if err != nil {
				return status(Failed, err)
			}
			type rev struct {
				Digest string `json:"revision"`
				Name   string `json:"name,omitempty"`
				By     string `json:"by"`
				At     string `json:"at"`
			}
			var s struct {
				Revisions []rev                `json:"revisions"`
				Rollouts  []tool.RolloutStatus `json:"rollouts"`
			}
			for _, r := range h.Revisions {
				s.Revisions = append(s.Revisions, rev{r.Digest, r.Name, r.PushedBy, time.Unix(r.PushedAt, 0).UTC().Format(time.RFC3339)})
			}
			for _, r := range h.Rollouts {
				s.Rollouts = append(s.Rollouts, *t.DescribeRollout(r))
			}
			return a.show(s, func(w io.Writer) {
				g := grid(w, "revision", "name", "by", "at")
				for _, r := range s.Revisions {
					g.AppendRow(table.Row{revision.ShortDigest(r.Digest), r.Name, r.By, r.At})
				}
				g.Render()
				fmt.Fprintln(w)
				g = grid(w, "rollout", "revision", "by", "began", "state", "")
				for _, r := range s.Rollouts {
					g.AppendRow(table.Row{r.ID, r.Revision + " " + r.RevisionName, r.StartedBy, r.StartedAt, r.State, r.Why})
				}
				g.Render()
			})
		},
	}
	a.asJSON(c)
	return c
}

func (a *app) claimed(f *fleetFlags) *cobra.Command {
	c := &cobra.Command{
		Use: "claim", Short: "Tells who may change the fleet, since when and until when", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t, err := f.open()
			if err != nil {
				return err
			}
			defer t.Close()
			s := t.Status(cmd.Context())
			return a.show(s.Lease, func(w io.Writer) { printClaim(w, s.Lease) })
		},
	}
	a.asJSON(c)
	return c
}

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
