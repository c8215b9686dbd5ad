package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/systems"
)

func (a *app) explore() *cobra.Command {
	c := &cobra.Command{
		Use: "explore", Short: "Takes the code that serves through every order of events within bounds",
		Long: "Exit status 1 if a property is broken, 4 if an exploration ended before it was complete.",
	}
	c.AddCommand(a.exploreList(), a.exploreRun(), a.exploreWalk(), a.exploreInject(), a.exploreShow(), a.exploreReplay())
	return group(c)
}

func (a *app) exploreList() *cobra.Command {
	c := &cobra.Command{
		Use: "list", Short: "Lists the systems and the bugs that can be injected", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			type entry struct {
				System string            `json:"system"`
				Words  string            `json:"words"`
				Faults map[string]string `json:"faults"`
			}
			var all []entry
			for _, k := range systems.Kinds() {
				e := entry{k.Name, k.Words, map[string]string{}}
				for n, f := range k.Faults {
					e.Faults[n] = f.Words
				}
				all = append(all, e)
			}
			return a.show(all, func(w io.Writer) {
				for _, k := range systems.Kinds() {
					fmt.Fprintf(w, "%s: %s\n", k.Name, k.Words)
					for _, n := range k.Names() {
						fmt.Fprintf(w, "  %s: %s\n", n, k.Faults[n].Words)
					}
				}
			})
		},
	}
	a.asJSON(c)
	return c
}

func printTrace(w io.Writer, t systems.Trace) {
	g := grid(w, "", "step")
	for i, s := range t.Steps {
		g.AppendRow(table.Row{i + 1, s})
	}
	g.Render()
	fmt.Fprintf(w, "broken: %s\n  %s\n", t.Property, t.How)
}

func (a *app) exploreWalk() *cobra.Command {
	var file, fault, keep string
	var seed uint64
	var walks, steps int
	var most time.Duration
	c := &cobra.Command{
		Use: "walk SYSTEM", Short: "Takes ways at random through bounds that are too large to be explored", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			k, err := systems.Find(args[0])
			if err != nil {
				return status(Misused, err)
			}
			bounds, err := systems.Load(file, k.Name)
			if err != nil {
				return status(Misused, err)
			}
			a.seeded(cmd, &seed)
			w := systems.Walk(cmd.Context(), k, bounds[0], fault, seed, walks, steps, most)
			if w.Broken != nil && keep != "" {
				if err := w.Broken.Save(keep); err != nil {
					return status(Failed, err)
				}
			}
			if err := a.show(w, func(out io.Writer) {
				fmt.Fprintf(out, "%d walks, %d steps: %v\n", w.Walks, w.Steps, w.Taken)
				if w.Broken != nil {
					printTrace(out, *w.Broken)
				}
			}); err != nil {
				return err
			}
			if w.Broken != nil {
				return status(Failed, fmt.Errorf("broken: %s", w.Broken.Property))
			}
			return nil
		},
	}
	c.Flags().StringVar(&file, "bounds", "deploy/bounds/large.sexp", "file of bounds, whose first for the system counts")
	c.Flags().StringVar(&fault, "inject", "", "bug to put in")
	c.Flags().StringVar(&keep, "trace", "", "file for the trace to a broken property")
	c.Flags().Uint64Var(&seed, "seed", 0, "of all chance; drawn if not given")
	c.Flags().IntVar(&walks, "walks", 10000, "ways")
	c.Flags().IntVar(&steps, "steps", 200, "steps of one way")
	c.Flags().DurationVar(&most, "for", time.Minute, "time after which no other way is begun")
	a.asJSON(c)
	return c
}

func (a *app) exploreShow() *cobra.Command {
	var chart string
	c := &cobra.Command{
		Use: "show TRACE", Short: "Shows a trace step by step, and as a sequence chart", Args: cobra.ExactArgs(1),
		Example: "  stoatctl explore show trace.json --svg trace.svg",
		RunE: func(_ *cobra.Command, args []string) error {
			t, err := systems.LoadTrace(args[0])
			if err != nil {
				return status(Misused, err)
			}
			if chart != "" {
				if err := os.WriteFile(chart, systems.Chart(t), 0o600); err != nil {
					return status(Failed, err)
				}
			}
			return a.show(t, func(w io.Writer) { printTrace(w, t) })
		},
	}
	c.Flags().StringVar(&chart, "svg", "", "file for the sequence chart")
	a.asJSON(c)
	return c
}

func (a *app) exploreReplay() *cobra.Command {
	c := &cobra.Command{
		Use: "replay TRACE", Short: "Takes the steps of a trace on the code as it is now",
		Long: "Exit status 1 if a property is broken, 0 if none is: made for bisecting.", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			t, err := systems.LoadTrace(args[0])
			if err != nil {
				return status(Misused, err)
			}
			taken, property, how := t.Replay()
			if err := a.show(map[string]any{"taken": taken, "of": len(t.Steps), "broken": property, "how": how}, func(w io.Writer) {
				fmt.Fprintf(w, "%d of %d steps taken\n%s\n", taken, len(t.Steps), how)
			}); err != nil {
				return err
			}
			if property != "" {
				return status(Failed, fmt.Errorf("broken: %s: %s", property, how))
			}
			return nil
		},
	}
	a.asJSON(c)
	return c
}
