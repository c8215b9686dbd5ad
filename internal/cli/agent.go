package cli

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/fleet/agent"
	"stoatdale.example/stoatdale/internal/fleet/api"
	"stoatdale.example/stoatdale/internal/fleet/inventory"
	"stoatdale.example/stoatdale/internal/pki"
)

func (a *app) agentCommand() *cobra.Command {
	var fleetFile, keysFolder, name string
	c := &cobra.Command{
		Use: "agent", Short: "Runs this machine's agent",
		Long: "The agent starts, monitors and changes the routers that the fleet file assigns to it, as the fleet commands request.\n" +
			"The routers keep running when the agent stops or crashes, and the next agent process finds them. SIGTERM stops the agent.",
		Example: "  stoatctl agent --fleet deploy/fleet.sexp --name a1 --keys /etc/stoatdale/keys --log info",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fleet, err := inventory.Load(fleetFile)
			if err != nil {
				return exitError(ExitUsage, err)
			}
			self := fleet.Agent(name)
			if self == nil {
				return exitErrorf(ExitUsage, "%s has no agent %q", fleetFile, name)
			}
			if !cmd.Flags().Changed("log") {
				a.log = a.log.Level(zerolog.InfoLevel)
			}
			return exitError(ExitFailed, a.runAgent(cmd.Context(), fleet, self, pki.Folder(keysFolder)))
		},
	}
	c.Flags().StringVar(&fleetFile, "fleet", "deploy/fleet.sexp", "fleet file")
	c.Flags().StringVar(&name, "name", "", "name of this agent in the fleet file")
	c.Flags().StringVar(&keysFolder, "keys", "keys", "folder with keys and certificates")
	_ = c.MarkFlagRequired("name")
	return c
}

// runAgent serves the agent's API and runs its supervisors until ctx is canceled or the API fails. Its routers keep
// running.
func (a *app) runAgent(ctx context.Context, fleet *inventory.Fleet, self *inventory.Agent, folder pki.Folder) error {
	source := folder.Credentials(pki.Agent, self.Name)
	if err := source.Check(); err != nil {
		return fmt.Errorf("agent %s: %w", self.Name, err)
	}
	store, err := agent.OpenStore(self)
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }()
	runner, err := agent.New(fleet, self.Name, programVersion(), store, a.log)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", self.Listen.String())
	if err != nil {
		return fmt.Errorf("agent %s: %w", self.Name, err)
	}
	server := api.NewServer(listener, runner, source, api.SupportedVersions, a.log)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	serverEnded := make(chan error, 1)
	go func() {
		serverEnded <- server.Serve()
		cancel() // operators cannot reach an agent without its API, so the agent stops
	}()
	a.log.Info().Str("agent", self.Name).Stringer("listen", self.Listen).Str("program", programVersion()).
		Int("instances", len(fleet.InstancesOf(self.Name))).Msg("serving")
	runner.Run(ctx)
	server.Close()
	err = <-serverEnded
	if err == nil || errors.Is(err, net.ErrClosed) {
		a.log.Info().Msg("agent stopped; its routers keep running")
		return nil
	}
	return err
}
