package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/modelcheck/models"
)

func (a *app) exploreCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "explore", Short: "Takes the code that serves through every order of events within bounds",
		Long: "Exit status 1 if a property is broken, 4 if an exploration ended before it was complete.",
	}
	c.AddCommand(a.exploreListCommand(), a.exploreRunCommand(), a.exploreWalkCommand(), a.exploreInjectCommand(),
		a.exploreShowCommand(), a.exploreReplayCommand())
	return commandGroup(c)
}

// listedSystem is one system of explore list, with what each of its faults does.
type listedSystem struct {
	System string            `json:"system"`
	Words  string            `json:"words"`
	Faults map[string]string `json:"faults"`
}

func (a *app) exploreListCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "list", Short: "Lists the systems and the bugs that can be injected", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var list []listedSystem
			for _, kind := range models.Kinds() {
				entry := listedSystem{System: kind.Name, Words: kind.Description, Faults: map[string]string{}}
				for name, fault := range kind.Faults {
					entry.Faults[name] = fault.Description
				}
				list = append(list, entry)
			}
			return a.show(list, func(out io.Writer) {
				for _, kind := range models.Kinds() {
					printf(out, "%s: %s\n", kind.Name, kind.Description)
					for _, name := range kind.FaultNames() {
						printf(out, "  %s: %s\n", name, kind.Faults[name].Description)
					}
				}
			})
		},
	}
	a.addJSONFlag(c)
	return c
}

// loadSystem finds a system and reads its bounds from a file. Its errors are of usage.
func loadSystem(name, boundsFile string) (models.Kind, []models.Bounds, error) {
	kind, err := models.FindKind(name)
	if err != nil {
		return models.Kind{}, nil, exitError(ExitUsage, err)
	}
	bounds, err := models.LoadBounds(boundsFile, kind.Name)
	return kind, bounds, exitError(ExitUsage, err)
}

func printTrace(out io.Writer, trace *models.Trace) {
	t := newTable(out, "", "step")
	for i, step := range trace.Steps {
		t.AppendRow(table.Row{i + 1, step})
	}
	t.Render()
	printf(out, "broken: %s\n  %s\n", trace.Property, trace.Detail)
}

// walkFlags are the flags of explore walk.
type walkFlags struct {
	boundsFile string
	fault      string // empty: none
	traceFile  string // empty: not kept
	seed       uint64
	walks      int
	steps      int           // of a walk
	duration   time.Duration // after which no walk begins
}

func (f *walkFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.boundsFile, "bounds", "deploy/bounds/large.sexp", "file of bounds, whose first for the system counts")
	c.Flags().StringVar(&f.fault, "inject", "", "bug to put in")
	c.Flags().StringVar(&f.traceFile, "trace", "", "file for the trace to a broken property")
	c.Flags().Uint64Var(&f.seed, "seed", 0, "of all chance; drawn if not given")
	c.Flags().IntVar(&f.walks, "walks", 10000, "ways")
	c.Flags().IntVar(&f.steps, "steps", 200, "steps of one way")
	c.Flags().DurationVar(&f.duration, "for", time.Minute, "time after which no other way is begun")
}

func (a *app) exploreWalkCommand() *cobra.Command {
	var flags walkFlags
	c := &cobra.Command{
		Use: "walk SYSTEM", Short: "Takes ways at random through bounds that are too large to be explored", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			kind, bounds, err := loadSystem(args[0], flags.boundsFile)
			if err != nil {
				return err
			}
			a.drawSeed(cmd, &flags.seed)
			walked := models.Walk(cmd.Context(), kind, bounds[0], flags.fault, flags.seed, flags.walks, flags.steps, flags.duration)
			if walked.Counterexample != nil && flags.traceFile != "" {
				if err := walked.Counterexample.Save(flags.traceFile); err != nil {
					return exitError(ExitFailed, err)
				}
			}
			if err := a.show(walked, func(out io.Writer) {
				printf(out, "%d walks, %d steps: %v\n", walked.Walks, walked.Steps, walked.StepsByKind)
				if walked.Counterexample != nil {
					printTrace(out, walked.Counterexample)
				}
			}); err != nil {
				return err
			}
			if walked.Counterexample != nil {
				return exitErrorf(ExitFailed, "broken: %s", walked.Counterexample.Property)
			}
			return nil
		},
	}
	flags.register(c)
	a.addJSONFlag(c)
	return c
}

func (a *app) exploreShowCommand() *cobra.Command {
	var chartFile string
	c := &cobra.Command{
		Use: "show TRACE", Short: "Shows a trace step by step, and as a sequence chart", Args: cobra.ExactArgs(1),
		Example: "  stoatctl explore show trace.json --svg trace.svg",
		RunE: func(_ *cobra.Command, args []string) error {
			trace, err := models.LoadTrace(args[0])
			if err != nil {
				return exitError(ExitUsage, err)
			}
			if chartFile != "" {
				if err := os.WriteFile(chartFile, models.Chart(trace), 0o600); err != nil {
					return exitError(ExitFailed, err)
				}
			}
			return a.show(trace, func(out io.Writer) { printTrace(out, &trace) })
		},
	}
	c.Flags().StringVar(&chartFile, "svg", "", "file for the sequence chart")
	a.addJSONFlag(c)
	return c
}

// replayReport is what became of a trace's steps on the code as it is now. Its keys are in the order of their names.
type replayReport struct {
	Broken string `json:"broken"` // the property; empty: none
	How    string `json:"how"`
	Steps  int    `json:"of"` // of the trace
	Taken  int    `json:"taken"`
}

func (a *app) exploreReplayCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "replay TRACE", Short: "Takes the steps of a trace on the code as it is now",
		Long: "Exit status 1 if a property is broken, 0 if none is: made for bisecting.", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			trace, err := models.LoadTrace(args[0])
			if err != nil {
				return exitError(ExitUsage, err)
			}
			report := replayReport{Steps: len(trace.Steps)}
			report.Taken, report.Broken, report.How = trace.Replay()
			if err := a.show(report, func(out io.Writer) {
				printf(out, "%d of %d steps taken\n%s\n", report.Taken, report.Steps, report.How)
			}); err != nil {
				return err
			}
			if report.Broken != "" {
				return exitError(ExitFailed, fmt.Errorf("broken: %s: %s", report.Broken, report.How))
			}
			return nil
		},
	}
	a.addJSONFlag(c)
	return c
}
