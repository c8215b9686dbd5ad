package cli

import (
	"io"

	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/fleet/control"
	"stoatdale.example/stoatdale/internal/fleet/inventory"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// checkReport is the result of fleet check for valid files.
type checkReport struct {
	Agents         int    `json:"agents"`
	Fleet          string `json:"fleet"`
	Zones          int    `json:"halls"`
	Instances      int    `json:"instances"`
	RevisionDigest string `json:"revision,omitempty"` // of the checked revision; empty: none was given
}

func (r *checkReport) print(out io.Writer) {
	printf(out, "%s: %d halls, %d agents, %d instances\n", r.Fleet, r.Zones, r.Agents, r.Instances)
	if r.RevisionDigest != "" {
		printf(out, "revision %s is valid for all instances\n", r.RevisionDigest)
	}
}

func (a *app) fleetCheckCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "check FILE [REVISION.json]", Short: "Checks a fleet file, and optionally a revision against its instances",
		Example: "  stoatctl fleet check deploy/fleet.sexp winter.json", Args: cobra.RangeArgs(1, 2),
		RunE: func(_ *cobra.Command, args []string) error {
			fleet, err := inventory.Load(args[0])
			if err != nil {
				return exitError(ExitUsage, err)
			}
			client := &control.Client{Fleet: fleet} // not connected to agents: it only reads files and explains reasons
			report := checkReport{Fleet: fleet.Name, Zones: len(fleet.Zones), Agents: len(fleet.Agents), Instances: len(fleet.Instances)}
			if len(args) == 2 {
				content, err := client.ReadRevision(args[1])
				if err != nil {
					return exitError(ExitUsage, err)
				}
				report.RevisionDigest = revision.Digest(content)
			}
			if err := a.show(report, report.print); err != nil {
				return err
			}
			if reason := rollout.CheckFeasible(fleet.PlannerFleet(), nil); reason.Kind != rollout.ReasonNone {
				return exitErrorf(ExitRejected, "no rollout is possible with these floors: %s", client.Explain(reason))
			}
			return nil
		},
	}
	a.addJSONFlag(c)
	return c
}
