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
	"stoatdale.example/stoatdale/internal/fleet/layout"
	"stoatdale.example/stoatdale/internal/keys"
)

func (a *app) agent() *cobra.Command {
	var file, folder, name string
	c := &cobra.Command{
		Use: "agent", Short: "Runs this machine's agent",
		Long: "The agent starts, watches and changes the routers that the fleet file gives to it, as the fleet tool asks. Its routers\n" +
			"outlive it: ending it or losing it takes none out of service, and the next one finds them. It ends on SIGTERM.",
		Example: "  stoatctl agent --fleet deploy/fleet.sexp --name a1 --keys /etc/stoatdale/keys --log info",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			f, err := layout.Load(file)
			if err != nil {
				return status(Misused, err)
			}
			me := f.Agent(name)
			if me == nil {
				return status(Misused, fmt.Errorf("%s has no agent %q", file, name))
			}
			if !cmd.Flags().Changed("log") {
				a.log = a.log.Level(zerolog.InfoLevel)
			}
			return status(Failed, a.serve(cmd.Context(), f, me, keys.Folder(folder)))
		},
	}
	c.Flags().StringVar(&file, "fleet", "deploy/fleet.sexp", "fleet file")
	c.Flags().StringVar(&name, "name", "", "this agent's name in the fleet file")
	c.Flags().StringVar(&folder, "keys", "keys", "folder of the keys")
	_ = c.MarkFlagRequired("name")
	return c
}

func (a *app) serve(ctx context.Context, f *layout.Fleet, me *layout.Agent, folder keys.Folder) error {
	source := folder.Source(keys.Agent, me.Name)
	if err := source.Check(); err != nil {
		return fmt.Errorf("agent %s: %w", me.Name, err)
	}
	s, err := agent.OpenStore(me)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	x, err := agent.New(f, me.Name, program(), s, a.log)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", me.Listen.String())
	if err != nil {
		return fmt.Errorf("agent %s: %w", me.Name, err)
	}
	server := api.NewServer(l, x, source, api.SupportedVersions, a.log)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	served := make(chan error, 1)
	go func() {
		served <- server.Serve()
		cancel() // an agent that cannot be spoken to is of no use
	}()
	a.log.Info().Str("agent", me.Name).Stringer("listen", me.Listen).Str("program", program()).Int("instances", len(f.InstancesOf(me.Name))).Msg("serving")
	x.Run(ctx)
	server.Close()
	err = <-served
	if err == nil || errors.Is(err, net.ErrClosed) {
		a.log.Info().Msg("ended; the routers go on")
		return nil
	}
	return err
}
