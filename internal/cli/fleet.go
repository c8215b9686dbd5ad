package cli

import (
	"os"

	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/fleet/layout"
	"stoatdale.example/stoatdale/internal/fleet/plan"
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
