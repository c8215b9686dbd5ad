package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/fleet/control"
)

func (a *app) fleetStatusCommand(flags *fleetFlags) *cobra.Command {
	var interval time.Duration // 0: show the status once
	c := &cobra.Command{
		Use: "status", Short: "Shows the agents, the instances, the rollout and the holder of the claim",
		Long: "Exit status 1 if an agent cannot be reached.", Example: "  stoatctl fleet status --watch 2s", Args: cobra.NoArgs,
		RunE: flags.withClient(func(ctx context.Context, client *control.Client, _ []string) error {
			if interval > 0 {
				return a.watchStatus(ctx, client, interval)
			}
			status, err := a.showStatus(ctx, client)
			if err != nil {
				return err
			}
			for _, agent := range status.Agents {
				if !agent.Reachable {
					return exitError(ExitFailed, errors.New(agent.Failure))
				}
			}
			return nil
		}),
	}
	c.Flags().DurationVar(&interval, "watch", 0, "interval at which the status is shown again, until interrupted")
	a.addJSONFlag(c)
	return c
}

func (a *app) showStatus(ctx context.Context, client *control.Client) (control.Status, error) {
	status := client.Status(ctx)
	return status, a.show(status, func(out io.Writer) { printStatus(out, &status) })
}

// watchStatus shows the status at the interval until ctx is canceled.
func (a *app) watchStatus(ctx context.Context, client *control.Client, interval time.Duration) error {
	for {
		if _, err := a.showStatus(ctx, client); err != nil {
			return err
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return nil
		}
	}
}

func printStatus(out io.Writer, status *control.Status) {
	printf(out, "%s: %d of %d serve\n\n", status.Fleet, status.Serving, status.Total)
	t := newTable(out, "instance", "hall", "agent", "life", "revision", "process", "crashes", "unanswered", "")
	for _, instance := range status.Instances {
		revision := instance.Revision
		if instance.TargetRevision != "" {
			revision += " -> " + instance.TargetRevision
		}
		unanswered := fmt.Sprintf("%d of %d", instance.UnansweredCommands, instance.CompletedCommands)
		t.AppendRow(table.Row{
			instance.Name, instance.Zone, instance.Agent, instance.State, revision, instance.ProcessID, instance.Crashes, unanswered,
			instance.Step,
		})
	}
	t.Render()
	for _, agent := range status.Agents {
		if !agent.Reachable {
			printf(out, "\n%s", agent.Failure)
		}
	}
	printf(out, "\n")
	if status.Rollout != nil {
		printRollout(out, status.Rollout)
	}
	printLease(out, status.Lease)
}

func printRollout(out io.Writer, rollout *control.RolloutStatus) {
	printf(out, "rollout %s of revision %s by %s, begun %s: %s", rollout.ID, rollout.Revision, rollout.StartedBy, rollout.StartedAt,
		rollout.State)
	if rollout.RollingBack {
		printf(out, ", going back (%s)", rollout.Cause)
	}
	if rollout.Reason != "" {
		printf(out, ": %s", rollout.Reason)
	}
	if rollout.Step != "" {
		printf(out, " (%s)", rollout.Step)
	}
	printf(out, "\n")
}

func printLease(out io.Writer, lease *control.LeaseStatus) {
	if !lease.Held {
		printf(out, "nobody holds the claim (epoch %d, %d of %d agents heard)\n", lease.Epoch, lease.ReachableAgents, lease.Agents)
		return
	}
	printf(out, "%s holds the claim under epoch %d since %.0f s, for %.0f s more unless renewed (%d of %d agents)\n",
		lease.Holder, lease.Epoch, lease.HeldSeconds, lease.RemainingSeconds, lease.Grants, lease.Agents)
}

func (a *app) fleetLeaseCommand(flags *fleetFlags) *cobra.Command {
	c := &cobra.Command{
		Use: "claim", Short: "Shows who holds the claim to change the fleet, since when and until when", Args: cobra.NoArgs,
		RunE: flags.withClient(func(ctx context.Context, client *control.Client, _ []string) error {
			lease := client.Status(ctx).Lease
			return a.show(lease, func(out io.Writer) { printLease(out, lease) })
		}),
	}
	a.addJSONFlag(c)
	return c
}
