package cli

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/fleet/control"
	"stoatdale.example/stoatdale/internal/fleet/coordinator"
	"stoatdale.example/stoatdale/internal/fleet/inventory"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
	"stoatdale.example/stoatdale/internal/pki"
)

// fleetFlags are common to the commands that call agents.
type fleetFlags struct {
	file       string
	keysFolder string
	operator   string
}

// openClient reads the fleet file and returns a client for its agents.
func (f *fleetFlags) openClient() (*control.Client, error) {
	fleet, err := inventory.Load(f.file)
	if err != nil {
		return nil, exitError(ExitUsage, err)
	}
	client, err := control.New(fleet, pki.Folder(f.keysFolder), f.operator)
	if err != nil {
		return nil, exitError(ExitUsage, err)
	}
	return client, nil
}

// withClient makes a command's function of one that needs a client, which is closed when it returns.
func (f *fleetFlags) withClient(
	run func(ctx context.Context, client *control.Client, args []string) error,
) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		client, err := f.openClient()
		if err != nil {
			return err
		}
		defer client.Close()
		return run(cmd.Context(), client, args)
	}
}

func (a *app) fleetCommand() *cobra.Command {
	var flags fleetFlags
	c := &cobra.Command{
		Use: "fleet", Short: "Shows a fleet and changes it, one instance at a time",
		Long: "A rollout takes one instance at a time, never goes below the floors of the fleet file, and holds a claim that a majority\n" +
			"of agents grants, so that no two operators change the fleet at once. It survives this tool: resume goes on from\n" +
			"any machine.\n\n" + exitCodesHelp,
	}
	c.PersistentFlags().StringVar(&flags.file, "fleet", "deploy/fleet.sexp", "fleet file")
	c.PersistentFlags().StringVar(&flags.keysFolder, "keys", "keys", "folder of the keys")
	c.PersistentFlags().StringVar(&flags.operator, "as", os.Getenv("USER"), "operator whose certificate is shown")
	pause := haltRequest{
		verb: "pause", summary: "Pauses the rollout before its next step",
		request: rollout.RequestPause, operation: coordinator.OperationPause,
	}
	abort := haltRequest{
		verb: "abort", summary: "Gives the rollout up: instances stay as they are",
		request: rollout.RequestAbort, operation: coordinator.OperationAbort,
	}
	c.AddCommand(a.fleetCheckCommand(), a.fleetStatusCommand(&flags), a.fleetDiffCommand(&flags), a.fleetPushCommand(&flags),
		a.fleetRollCommand(&flags), a.fleetResumeCommand(&flags), a.fleetRollbackCommand(&flags),
		a.fleetHaltCommand(&flags, pause), a.fleetHaltCommand(&flags, abort),
		a.fleetHistoryCommand(&flags), a.fleetLeaseCommand(&flags))
	return commandGroup(c)
}
