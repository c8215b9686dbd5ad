package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/explore"
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

// explored is one system's exploration in all its bounds.
type explored struct {
	System   string           `json:"system"`
	OK       bool             `json:"ok"`
	Complete bool             `json:"complete"`
	States   int              `json:"states"`
	Steps    int              `json:"steps"`
	Depth    int              `json:"depth"`
	Heap     uint64           `json:"peak_heap_bytes"`
	Seconds  float64          `json:"seconds"`
	Runs     []explore.Result `json:"runs"`
	Trace    string           `json:"trace,omitempty"`
}

func (a *app) exploreRun() *cobra.Command {
	var file, keep, fault, stop, from string
	var how searching
	c := &cobra.Command{
		Use: "run SYSTEM", Short: "Explores a system in the bounds of a file", Args: cobra.ExactArgs(1),
		Long: "With --stop, what ended before it was complete is kept in a file, and --resume goes on from there. --deep goes depth first\n" +
			"and keeps no more states than the bounds say; it needs a bound of depth.",
		Example: "  stoatctl explore run command --bounds deploy/bounds/ci.sexp --json",
		RunE: func(cmd *cobra.Command, args []string) error {
			k, err := systems.Find(args[0])
			if err != nil {
				return status(Misused, err)
			}
			if _, known := k.Faults[fault]; fault != "" && !known {
				return status(Misused, fmt.Errorf("--inject: system %s has no fault %q", k.Name, fault))
			}
			bounds, err := systems.Load(file, k.Name)
			if err != nil {
				return status(Misused, err)
			}
			if from != "" {
				s, err := systems.LoadStopped(from)
				if err != nil {
					return status(Misused, err)
				}
				if s.System != k.Name {
					return status(Misused, fmt.Errorf("--resume: %s is of system %s", from, s.System))
				}
				s.Bounds.States, s.Bounds.Memory, s.Bounds.For = bounds[0].States, bounds[0].Memory, bounds[0].For
				bounds, fault, how.from = []systems.Bounds{s.Bounds}, s.Fault, &s.Saved
			}
			how.keep, how.stop = keep, stop
			return a.explored(cmd.Context(), k, bounds, fault, how)
		},
	}
	c.Flags().StringVar(&file, "bounds", "deploy/bounds/ci.sexp", "file of bounds")
	c.Flags().StringVar(&keep, "trace", "", "file for the trace to a broken property")
	c.Flags().StringVar(&fault, "inject", "", "bug to put in")
	c.Flags().IntVar(&how.workers, "workers", 0, "cores; 0: all")
	c.Flags().BoolVar(&how.whole, "whole", false, "take every step, also of those that commute")
	c.Flags().BoolVar(&how.deep, "deep", false, "depth first, with a memory that the bounds' states bound")
	c.Flags().StringVar(&stop, "stop", "", "file for an exploration that ends before it is complete")
	c.Flags().StringVar(&from, "resume", "", "file of such an exploration, which is gone on with under the first bounds' states, memory and time")
	a.asJSON(c)
	return c
}

// searching is how a system is explored.
type searching struct {
	keep, stop  string
	workers     int
	whole, deep bool
	from        *explore.Saved
}

func (s *searching) run(ctx context.Context, k systems.Kind, b systems.Bounds, fault string, tell func(explore.Progress)) (explore.Result, error) {
	x := b.Explore(s.workers)
	x.TakeAllSteps = s.whole
	if s.deep {
		if x.MaxDepth == 0 {
			return explore.Result{}, status(Misused, fmt.Errorf("%s: --deep needs a bound of depth", b.Place))
		}
		return explore.RunDepthFirst(ctx, k.New(b, fault), x), nil
	}
	r, saved := explore.Resume(ctx, k.New(b, fault), x, s.from, tell)
	if saved == nil || s.stop == "" {
		return r, nil
	}
	return r, systems.Stopped{System: k.Name, Fault: fault, Bounds: b, Saved: *saved}.Save(s.stop)
}

func (a *app) explored(ctx context.Context, k systems.Kind, bounds []systems.Bounds, fault string, how searching) error {
	all := explored{System: k.Name, OK: true, Complete: true}
	var broken *systems.Trace
	for _, b := range bounds {
		last := time.Now()
		r, err := how.run(ctx, k, b, fault, func(p explore.Progress) {
			if time.Since(last) > 2*time.Second {
				last = time.Now()
				fmt.Fprintf(a.err, "%s: %d states, depth %d, %d to go on from, %d MB\n", k.Name, p.States, p.Depth, p.Frontier, p.HeapBytes>>20)
			}
		})
		if err != nil {
			return err
		}
		all.Runs = append(all.Runs, r)
		all.States, all.Steps, all.Depth = all.States+r.States, all.Steps+r.Steps, max(all.Depth, r.Depth)
		all.Heap, all.Seconds = max(all.Heap, r.PeakHeapBytes), all.Seconds+r.Seconds
		all.Complete = all.Complete && (r.Complete || r.Counterexample != nil)
		if r.Counterexample != nil {
			all.OK = false
			broken = &systems.Trace{System: k.Name, Fault: fault, Bounds: b, Trace: *r.Counterexample}
			break
		}
	}
	if broken != nil && how.keep != "" {
		if err := broken.Save(how.keep); err != nil {
			return status(Failed, err)
		}
		all.Trace = how.keep
	}
	if err := a.show(all, func(w io.Writer) {
		t := grid(w, "bounds", "states", "steps", "depth", "complete", "ends", "clash", "seconds", "states a second")
		for i, r := range all.Runs {
			t.AppendRow(table.Row{
				bounds[i].Place, r.States, r.Steps, r.Depth, r.Complete, r.EndStates, fmt.Sprintf("%.1e", r.CollisionChance),
				fmt.Sprintf("%.2f", r.Seconds), int(float64(r.States) / r.Seconds),
			})
		}
		t.Render()
		if broken != nil {
			printTrace(w, *broken)
		}
	}); err != nil {
		return err
	}
	if broken != nil {
		return status(Failed, fmt.Errorf("broken: %s: %s", broken.Property, broken.How))
	}
	if !all.Complete {
		return status(Paused, errors.New("an exploration ended before it was complete"))
	}
	return nil
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

func (a *app) exploreInject() *cobra.Command {
	var every bool
	var keep string
	var workers int
	c := &cobra.Command{
		Use: "inject [NAME...]", Short: "Puts bugs in and sees that each is found, and that nothing is found without it",
		Example: "  stoatctl explore inject --all --json",
		RunE: func(cmd *cobra.Command, args []string) error {
			if every == (len(args) > 0) {
				return status(Misused, errors.New("give names of bugs, or --all"))
			}
			wanted := map[string]bool{}
			for _, n := range args {
				wanted[n] = true
			}
			var all []systems.Found
			missed := 0
			for _, k := range systems.Kinds() {
				for _, n := range k.Names() {
					if !every && !wanted[n] {
						continue
					}
					delete(wanted, n)
					f := systems.Inject(cmd.Context(), k, n, workers)
					if !f.Found || !f.Clean {
						missed++
					}
					if f.Trace != nil && keep != "" {
						if err := f.Trace.Save(filepath.Join(keep, k.Name+"-"+n+".json")); err != nil {
							return status(Failed, err)
						}
					}
					all = append(all, f)
				}
			}
			for n := range wanted {
				return status(Misused, fmt.Errorf("there is no bug %q; see explore list", n))
			}
			if err := a.show(map[string]any{"ok": missed == 0, "bugs": all}, func(w io.Writer) {
				t := grid(w, "system", "bug", "found", "steps", "states", "seconds", "clean without it", "breaks")
				for _, f := range all {
					t.AppendRow(table.Row{f.System, f.Fault, f.Found, f.Length, f.States, fmt.Sprintf("%.2f", f.Seconds), f.Clean, f.Property})
				}
				t.Render()
			}); err != nil {
				return err
			}
			if missed > 0 {
				return status(Failed, fmt.Errorf("%d bugs were not found, or their bounds are not clean without them", missed))
			}
			return nil
		},
	}
	c.Flags().BoolVar(&every, "all", false, "all bugs of all systems")
	c.Flags().StringVar(&keep, "keep", "", "folder for the traces")
	c.Flags().IntVar(&workers, "workers", 0, "cores; 0: all")
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
