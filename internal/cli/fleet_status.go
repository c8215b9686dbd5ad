package cli

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/fleet/tool"
)

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
