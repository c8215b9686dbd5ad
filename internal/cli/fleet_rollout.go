package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/plan"
	"stoatdale.example/stoatdale/internal/fleet/roll"
	"stoatdale.example/stoatdale/internal/fleet/tool"
)

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
