// Package cli is stoatctl's command line: sub-commands that call packages which can be used without it.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
)

// Exit statuses that a script can tell apart.
const (
	Done    = 0
	Failed  = 1
	Misused = 2 // wrong use, or a file that is wrong
	Refused = 3 // by a rule of the fleet
	Paused  = 4 // ended unresolved: the rollout waits to be taken up
)

const statuses = `Exit status: 0 done, 1 failed, 2 wrong use or file, 3 refused by a rule of the fleet, 4 paused (ended unresolved).`

// Status is an error with the exit status that it stands for.
type Status struct {
	Code int
	Err  error
}

func (s *Status) Error() string { return s.Err.Error() }

// Unwrap returns the error itself.
func (s *Status) Unwrap() error { return s.Err }

func status(code int, err error) error {
	if err == nil {
		return nil
	}
	return &Status{code, err}
}

func refuse(format string, args ...any) error { return status(Refused, fmt.Errorf(format, args...)) }

// app is what the sub-commands share.
type app struct {
	out, err io.Writer
	json     bool
	level    string
	log      zerolog.Logger
}

// Main runs the command line and returns the exit status.
func Main(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := &app{out: out, err: errs}
	root := a.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return Done
	}
	fmt.Fprintln(errs, "stoatctl:", err)
	var s *Status
	if errors.As(err, &s) {
		return s.Code
	}
	return Misused // cobra's own errors are of use
}

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:           "stoatctl",
		Short:         "Manages fleets of stoatdale routers",
		Long:          "stoatctl manages fleets of stoatdale routers: the operators' tool, and the agent that runs on each machine.\n\n" + statuses,
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			level, err := zerolog.ParseLevel(a.level)
			if err != nil {
				return status(Misused, fmt.Errorf("--log: %w", err))
			}
			a.log = zerolog.New(a.err).Level(level).With().Timestamp().Logger()
			return nil
		},
	}
	root.PersistentFlags().StringVar(&a.level, "log", "warn", "least level that is logged on standard error: debug, info, warn, error")
	root.AddCommand(a.fleet(), a.agent(), a.keys(), a.drill(), a.explore(), a.lab(), a.version())
	return group(root)
}

// group is a command that only holds others: an unknown one is an error, not a page of help.
func group(c *cobra.Command) *cobra.Command {
	c.RunE = func(c *cobra.Command, args []string) error {
		if len(args) == 0 {
			return c.Help()
		}
		hint := ""
		if near := c.SuggestionsFor(args[0]); len(near) > 0 {
			hint = "; did you mean " + near[0] + "?"
		}
		return status(Misused, fmt.Errorf("unknown command %q for %s%s", args[0], c.CommandPath(), hint))
	}
	c.SuggestionsMinimumDistance = 2
	return c
}

// program names this program and its version.
func program() string {
	v := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		v = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				v = s.Value[:min(10, len(s.Value))]
			}
		}
	}
	return "stoatctl " + v
}

func (a *app) version() *cobra.Command {
	c := &cobra.Command{
		Use: "version", Short: "Tells the program's version", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return a.show(map[string]string{"program": program()}, func(w io.Writer) { fmt.Fprintln(w, program()) })
		},
	}
	a.asJSON(c)
	return c
}
