package cli

import (
	"context"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/fleet/control"
	"stoatdale.example/stoatdale/internal/fleet/revision"
)

type pushedRevision struct {
	Digest   string `json:"revision"`
	Name     string `json:"name,omitempty"`
	PushedBy string `json:"by"`
	PushedAt string `json:"at"` // RFC 3339, UTC
}

// historyReport is the output of fleet history: revisions and rollouts, newest first.
type historyReport struct {
	Revisions []pushedRevision        `json:"revisions"`
	Rollouts  []control.RolloutStatus `json:"rollouts"`
}

func newHistoryReport(client *control.Client, history control.History) *historyReport {
	var report historyReport
	for _, stored := range history.Revisions {
		report.Revisions = append(report.Revisions, pushedRevision{
			Digest: stored.Digest, Name: stored.Name, PushedBy: stored.PushedBy,
			PushedAt: time.Unix(stored.PushedAt, 0).UTC().Format(time.RFC3339),
		})
	}
	for _, stored := range history.Rollouts {
		report.Rollouts = append(report.Rollouts, *client.DescribeRollout(stored))
	}
	return &report
}

func (r *historyReport) print(out io.Writer) {
	revisions := newTable(out, "revision", "name", "by", "at")
	for _, pushed := range r.Revisions {
		revisions.AppendRow(table.Row{revision.ShortDigest(pushed.Digest), pushed.Name, pushed.PushedBy, pushed.PushedAt})
	}
	revisions.Render()
	printf(out, "\n")
	rollouts := newTable(out, "rollout", "revision", "by", "began", "state", "")
	for _, status := range r.Rollouts {
		rollouts.AppendRow(table.Row{
			status.ID, status.Revision + " " + status.RevisionName, status.StartedBy, status.StartedAt, status.State, status.Reason,
		})
	}
	rollouts.Render()
}

func (a *app) fleetHistoryCommand(flags *fleetFlags) *cobra.Command {
	c := &cobra.Command{
		Use: "history", Short: "Lists revisions and rollouts, newest first", Args: cobra.NoArgs,
		RunE: flags.withClient(func(ctx context.Context, client *control.Client, _ []string) error {
			history, err := client.History(ctx)
			if err != nil {
				return exitError(ExitFailed, err)
			}
			report := newHistoryReport(client, history)
			return a.show(report, report.print)
		}),
	}
	a.addJSONFlag(c)
	return c
}
