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

// fleetFlags are the flags that the commands that call agents share.
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

// withClient returns a command's function that opens a client, calls run with it, and closes the client when run returns.
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
		Long: "A rollout changes one instance at a time and keeps the number of serving instances at or above the floors of the fleet\n" +
			"file. It holds a claim that a majority of agents grants, so that no two operators change the fleet at the same time.\n" +
			"If this tool is lost, fleet resume continues the rollout from any machine.\n\n" + exitCodesHelp,
	}
	c.PersistentFlags().StringVar(&flags.file, "fleet", "deploy/fleet.sexp", "fleet file")
	c.PersistentFlags().StringVar(&flags.keysFolder, "keys", "keys", "folder with keys and certificates")
	c.PersistentFlags().StringVar(&flags.operator, "as", os.Getenv("USER"), "operator whose certificate is presented to the agents")
	pause := haltRequest{
		verb: "pause", summary: "Pauses the rollout before its next step",
		request: rollout.RequestPause, operation: coordinator.OperationPause,
	}
	abort := haltRequest{
		verb: "abort", summary: "Aborts the rollout and leaves the instances as they are",
		request: rollout.RequestAbort, operation: coordinator.OperationAbort,
	}
	c.AddCommand(a.fleetCheckCommand(), a.fleetStatusCommand(&flags), a.fleetDiffCommand(&flags), a.fleetPushCommand(&flags),
		a.fleetRollCommand(&flags), a.fleetResumeCommand(&flags), a.fleetRollbackCommand(&flags),
		a.fleetHaltCommand(&flags, pause), a.fleetHaltCommand(&flags, abort),
		a.fleetHistoryCommand(&flags), a.fleetLeaseCommand(&flags))
	return commandGroup(c)
}
