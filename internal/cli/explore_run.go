package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/explore"
	"stoatdale.example/stoatdale/internal/systems"
)

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
