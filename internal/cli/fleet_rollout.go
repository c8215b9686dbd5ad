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
		Use: "roll REVISION", Short: "Rolls out a pushed revision to all instances, one at a time",
		Long: "Each instance is drained and changed, must become ready, and is observed for the soak time before the next one is\n" +
			"changed. If it does not become ready, or leaves a larger share of commands unanswered than before, all changed instances are\n" +
			"rolled back automatically.",
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
	c.Flags().BoolVar(&restart, "restart", false, "restart also where a reload would suffice, for example to run a new program")
	c.Flags().BoolVar(&dryRun, "dry-run", false, "only show what would change")
	a.addJSONFlag(c)
	return c
}

func (a *app) fleetResumeCommand(flags *fleetFlags) *cobra.Command {
	var drive driveFlags
	c := &cobra.Command{
		Use: "resume", Short: "Continues a rollout that has paused or whose tool is gone",
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
		Use: "rollback [REVISION]", Short: "Rolls back the newest rollout, or rolls out an earlier revision",
		Long:    "Without REVISION, each instance that the newest rollout changed returns to the revision that it ran before.",
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
				return a.askDriver(ctx, client, newest, rollout.RequestRollback)
			}
			return a.drive(ctx, client, coordinator.Task{Operation: coordinator.OperationRollback, Operator: client.Operator}, &drive)
		}),
	}
	drive.register(c)
	a.addJSONFlag(c)
	return c
}

// haltRequest describes a command that stops a rollout. If another tool drives the rollout, the command sends that tool a
// request; otherwise the command stops the rollout itself.
type haltRequest struct {
	verb      string
	summary   string
	request   rollout.OperatorRequest // sent if another tool drives the rollout
	operation coordinator.Operation   // carried out by this tool otherwise
}

func (a *app) fleetHaltCommand(flags *fleetFlags, halt haltRequest) *cobra.Command {
	var drive driveFlags
	c := &cobra.Command{
		Use: halt.verb, Short: halt.summary,
		Long: "If another tool drives the rollout, that tool is asked to do it, and does so once its current step has ended.\n" +
			"Otherwise this command does it.",
		Args: cobra.NoArgs,
		RunE: flags.withClient(func(ctx context.Context, client *control.Client, _ []string) error {
			newest, driven, found := client.NewestRollout(ctx)
			if found && driven && newest.State == rollout.Running && !drive.takeOver {
				return a.askDriver(ctx, client, newest, halt.request)
			}
			return a.drive(ctx, client, coordinator.Task{Operation: halt.operation, Operator: client.Operator}, &drive)
		}),
	}
	c.Flags().BoolVar(&drive.takeOver, "take-over", false, "take the claim from the tool that drives the rollout")
	a.addJSONFlag(c)
	return c
}

// askDriver stores a request at the agents for the tool that drives the rollout. It polls until the tool has carried
// out the request, or cannot do so any more.
func (a *app) askDriver(ctx context.Context, client *control.Client, rollout protocol.Rollout, request rollout.OperatorRequest) error {
	if agents := client.RequestAction(ctx, rollout, request); agents == 0 {
		return exitError(ExitFailed, errors.New("no agent stored the request"))
	}
	for {
		newest, driven, found := client.NewestRollout(ctx)
		switch {
		case !found || newest.ID != rollout.ID || newest.Run != rollout.Run:
			return exitError(ExitFailed, errors.New("another rollout, or another run of this one, has started meanwhile"))
		case requestDone(request, newest):
			return a.showRolloutState(newest)
		case newest.State.Terminal():
			return exitErrorf(ExitRejected, "rollout %s has ended meanwhile: %s", newest.ID, newest.State)
		case !driven:
			return exitError(ExitPaused, errors.New("the tool that drove the rollout is gone: repeat the command"))
		}
		select {
		case <-time.After(time.Duration(float64(client.Fleet.Times.PollInterval) * float64(time.Second))):
		case <-ctx.Done():
			return exitError(ExitPaused, errors.New("interrupted; the request remains stored"))
		}
	}
}

// requestDone reports whether the rollout is in the state that the operator requested.
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
