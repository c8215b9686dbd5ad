// Package cli implements the command line of stoatctl. Its commands parse flags, read files, call packages that do not
// depend on cli, and print the results as text or JSON.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
)

const suggestionDistance = 2 // maximum edit distance between an unknown command and a suggested one

// app holds the output streams, global flags and logger that all commands share.
type app struct {
	stdout, stderr io.Writer
	asJSON         bool
	logLevel       string
	log            zerolog.Logger // set once the flags are parsed
}

// Main runs stoatctl and returns its exit status. args are the arguments after the program's name. SIGINT and SIGTERM cancel
// the command's context.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := &app{stdout: stdout, stderr: stderr}
	root := a.rootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return int(ExitOK)
	}
	printf(stderr, "stoatctl: %v\n", err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return int(exit.Code)
	}
	return int(ExitUsage) // cobra's own errors are about arguments
}

func (a *app) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "stoatctl",
		Short: "Manages fleets of stoatdale routers",
		Long: "stoatctl manages fleets of stoatdale routers. Operators change fleets with it, and each machine runs it as an agent.\n\n" +
			exitCodesHelp,
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			level, err := zerolog.ParseLevel(a.logLevel)
			if err != nil {
				return exitErrorf(ExitUsage, "--log: %w", err)
			}
			a.log = zerolog.New(a.stderr).Level(level).With().Timestamp().Logger()
			return nil
		},
	}
	root.PersistentFlags().StringVar(&a.logLevel, "log", "warn", "lowest level logged on standard error: debug, info, warn or error")
	root.AddCommand(a.fleetCommand(), a.agentCommand(), a.keysCommand(), a.drillCommand(), a.exploreCommand(), a.labCommand(),
		a.versionCommand())
	return commandGroup(root)
}

// commandGroup configures c as a command that only groups subcommands. Without a subcommand c prints its help. For an unknown
// subcommand c returns an error that suggests a similar name.
func commandGroup(c *cobra.Command) *cobra.Command {
	c.RunE = func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return c.Help()
		}
		hint := ""
		if near := c.SuggestionsFor(args[0]); len(near) > 0 {
			hint = "; did you mean " + near[0] + "?"
		}
		return exitError(ExitUsage, fmt.Errorf("unknown command %q for %s%s", args[0], c.CommandPath(), hint))
	}
	c.SuggestionsMinimumDistance = suggestionDistance
	return c
}
