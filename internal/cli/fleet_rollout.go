package cli

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/fleet/control"
	"stoatdale.example/stoatdale/internal/fleet/coordinator"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

func (a *app) fleetRollCommand(flags *fleetFlags) *cobra.Command {
	var drive driveFlags
	var restart, dryRun bool
	c := &cobra.Command{
		Use: "roll REVISION", Short: "Brings a pushed revision to all instances, one at a time",
		Long: "Each instance is drained, changed, seen ready and watched for the soak before the next is touched. If it does not come\n" +
			"up, or leaves a larger share of commands unanswered than before, all that were touched go back by themselves.",
		Example: "  stoatctl fleet roll winter\n  stoatctl fleet roll winter --dry-run", Args: cobra.ExactArgs(1),
		RunE: flags.withClient(func(ctx context.Context, client *control.Client, args []string) error {
			found, err := client.FindRevision(ctx, args[0])
			if err != nil {
				return exitError(ExitFailed, err)
			}
			if dryRun {
				return a.showPreview(ctx, client, found.Digest)
			}
			return a.drive(ctx, client, client.NewRollout(found, restart), &drive)
		}),
	}
	drive.register(c)
	c.Flags().BoolVar(&restart, "restart", false, "restart also where a reload would do, as after a new program was put in place")
	c.Flags().BoolVar(&dryRun, "dry-run", false, "only show what would change")
	a.addJSONFlag(c)
	return c
}

func (a *app) fleetResumeCommand(flags *fleetFlags) *cobra.Command {
	var drive driveFlags
	c := &cobra.Command{
		Use: "resume", Short: "Goes on with the rollout that paused, or whose tool is gone",
		Example: "  stoatctl fleet resume --leave-out n7", Args: cobra.NoArgs,
		RunE: flags.withClient(func(ctx context.Context, client *control.Client, _ []string) error {
			return a.drive(ctx, client, coordinator.Task{Operation: coordinator.OperationResume, Operator: client.Operator}, &drive)
		}),
	}
	drive.register(c)
	a.addJSONFlag(c)
	return c
}

func (a *app) fleetRollbackCommand(flags *fleetFlags) *cobra.Command {
	var drive driveFlags
	c := &cobra.Command{
		Use: "rollback [REVISION]", Short: "Takes the newest rollout back, or rolls an earlier revision out",
		Long:    "Without a name, each instance that the newest rollout touched goes back to what it ran before.",
		Example: "  stoatctl fleet rollback\n  stoatctl fleet rollback autumn", Args: cobra.MaximumNArgs(1),
		RunE: flags.withClient(func(ctx context.Context, client *control.Client, args []string) error {
			if len(args) == 1 {
				found, err := client.FindRevision(ctx, args[0])
				if err != nil {
					return exitError(ExitFailed, err)
				}
				return a.drive(ctx, client, client.NewRollout(found, false), &drive)
			}
			newest, driven, found := client.NewestRollout(ctx)
			if found && driven && !newest.State.Terminal() && !drive.takeOver {
				return a.requestOfDriver(ctx, client, newest, rollout.RequestRollback)
			}
			return a.drive(ctx, client, coordinator.Task{Operation: coordinator.OperationRollback, Operator: client.Operator}, &drive)
		}),
	}
	drive.register(c)
	a.addJSONFlag(c)
	return c
}

// haltRequest is a command that stops a rollout, which the tool that drives it is asked for, or this one does itself.
type haltRequest struct {
	verb      string
	summary   string
	request   rollout.OperatorRequest // if another tool drives
	operation coordinator.Operation   // if none does
}

func (a *app) fleetHaltCommand(flags *fleetFlags, halt haltRequest) *cobra.Command {
	var drive driveFlags
	c := &cobra.Command{
		Use: halt.verb, Short: halt.summary,
		Long: "If a tool drives the rollout it is asked, and does so once its step has ended. Else this tool does it.",
		Args: cobra.NoArgs,
		RunE: flags.withClient(func(ctx context.Context, client *control.Client, _ []string) error {
			newest, driven, found := client.NewestRollout(ctx)
			if found && driven && newest.State == rollout.Running && !drive.takeOver {
				return a.requestOfDriver(ctx, client, newest, halt.request)
			}
			return a.drive(ctx, client, coordinator.Task{Operation: halt.operation, Operator: client.Operator}, &drive)
		}),
	}
	c.Flags().BoolVar(&drive.takeOver, "take-over", false, "do not ask the tool that drives: take the claim from it")
	a.addJSONFlag(c)
	return c
}

// requestOfDriver stores a request for the tool that drives the rollout, and polls until it is done or cannot be.
func (a *app) requestOfDriver(ctx context.Context, client *control.Client, rollout protocol.Rollout, request rollout.OperatorRequest) error {
	if agents := client.RequestAction(ctx, rollout, request); agents == 0 {
		return exitError(ExitFailed, errors.New("no agent took the wish"))
	}
	for {
		newest, driven, found := client.NewestRollout(ctx)
		switch {
		case !found || newest.ID != rollout.ID || newest.Run != rollout.Run:
			return exitError(ExitFailed, errors.New("another rollout, or another run of it, has come meanwhile"))
		case requestDone(request, newest):
			return a.showRolloutState(newest)
		case newest.State.Terminal():
			return exitErrorf(ExitRejected, "rollout %s has ended meanwhile: %s", newest.ID, newest.State)
		case !driven:
			return exitError(ExitPaused, errors.New("the tool that drove the rollout is gone: say it again"))
		}
		select {
		case <-time.After(time.Duration(float64(client.Fleet.Times.PollInterval) * float64(time.Second))):
		case <-ctx.Done():
			return exitError(ExitPaused, errors.New("interrupted; the wish stands"))
		}
	}
}

// requestDone tells whether the rollout is as the operator has requested.
func requestDone(request rollout.OperatorRequest, current protocol.Rollout) bool {
	switch request {
	case rollout.RequestNone:
		return false
	case rollout.RequestPause:
		return current.State == rollout.Paused
	case rollout.RequestAbort:
		return current.State == rollout.Aborted
	case rollout.RequestRollback:
		return current.RollingBack
	}
	return false
}

func (a *app) showRolloutState(rollout protocol.Rollout) error {
	state := struct {
		ID    string `json:"rollout"`
		State string `json:"state"`
	}{ID: rollout.ID, State: rollout.State.String()}
	return a.show(state, func(out io.Writer) { printf(out, "rollout %s: %s\n", state.ID, state.State) })
}
