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
		Use: "explore", Short: "Model-checks the serving code: explores every order of events within bounds",
		Long: "Exit status 1 if a property is broken, 4 if an exploration ended before it was complete.",
	}
	c.AddCommand(a.exploreListCommand(), a.exploreRunCommand(), a.exploreWalkCommand(), a.exploreInjectCommand(),
		a.exploreShowCommand(), a.exploreReplayCommand())
	return commandGroup(c)
}

// listedSystem is one system in the output of explore list, with the description of each of its faults by name.
type listedSystem struct {
	System      string            `json:"system"`
	Description string            `json:"words"`
	Faults      map[string]string `json:"faults"`
}

func (a *app) exploreListCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "list", Short: "Lists the systems and the bugs that can be injected", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var list []listedSystem
			for _, kind := range models.Kinds() {
				entry := listedSystem{System: kind.Name, Description: kind.Description, Faults: map[string]string{}}
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

// loadSystem returns the system of that name and its bounds from a file. All its errors have the code ExitUsage.
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
	fault      string // to inject; empty: none
	traceFile  string // empty: the trace is not saved
	seed       uint64
	walks      int
	steps      int           // in one walk
	duration   time.Duration // after which no new walk begins
}

func (f *walkFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.boundsFile, "bounds", "deploy/bounds/large.sexp", "file of bounds; the system's first bounds are used")
	c.Flags().StringVar(&f.fault, "inject", "", "bug to inject")
	c.Flags().StringVar(&f.traceFile, "trace", "", "file in which to save the trace that breaks a property")
	c.Flags().Uint64Var(&f.seed, "seed", 0, "seed of all random choices; drawn if not given")
	c.Flags().IntVar(&f.walks, "walks", 10000, "number of random walks")
	c.Flags().IntVar(&f.steps, "steps", 200, "number of steps in one walk")
	c.Flags().DurationVar(&f.duration, "for", time.Minute, "time after which no new walk begins")
}

func (a *app) exploreWalkCommand() *cobra.Command {
	var flags walkFlags
	c := &cobra.Command{
		Use: "walk SYSTEM", Short: "Takes random walks within bounds that are too large to explore completely", Args: cobra.ExactArgs(1),
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
		Use: "show TRACE", Short: "Shows a trace step by step, and can draw it as a sequence chart", Args: cobra.ExactArgs(1),
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
	c.Flags().StringVar(&chartFile, "svg", "", "file in which to save the sequence chart")
	a.addJSONFlag(c)
	return c
}

// replayReport is the result of replaying a trace on the current code. Its fields are in the order of their JSON keys.
type replayReport struct {
	BrokenProperty string `json:"broken"` // the broken property; empty: none
	Explanation    string `json:"how"`
	Steps          int    `json:"of"`    // steps of the trace
	Taken          int    `json:"taken"` // steps that could be replayed
}

func (a *app) exploreReplayCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "replay TRACE", Short: "Replays the steps of a trace on the current code",
		Long: "Exit status 1 if a property is broken, 0 if none is. This suits bisecting.", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			trace, err := models.LoadTrace(args[0])
			if err != nil {
				return exitError(ExitUsage, err)
			}
			report := replayReport{Steps: len(trace.Steps)}
			report.Taken, report.BrokenProperty, report.Explanation = trace.Replay()
			if err := a.show(report, func(out io.Writer) {
				printf(out, "%d of %d steps taken\n%s\n", report.Taken, report.Steps, report.Explanation)
			}); err != nil {
				return err
			}
			if report.BrokenProperty != "" {
				return exitError(ExitFailed, fmt.Errorf("broken: %s: %s", report.BrokenProperty, report.Explanation))
			}
			return nil
		},
	}
	a.addJSONFlag(c)
	return c
}
