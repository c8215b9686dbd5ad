package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/modelcheck"
	"stoatdale.example/stoatdale/internal/modelcheck/models"
)

const exploreProgressInterval = 2 * time.Second

// exploreFlags are the flags of explore run.
type exploreFlags struct {
	boundsFile  string
	traceFile   string // for the trace to a broken property
	fault       string // to inject; empty: none
	workers     int    // 0: one a core
	whole       bool   // take every step, also of those that commute
	depthFirst  bool
	stoppedFile string // written if the exploration ends before it is complete
	resumeFile  string // of an earlier exploration to go on with
}

func (f *exploreFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.boundsFile, "bounds", "deploy/bounds/ci.sexp", "file of bounds")
	c.Flags().StringVar(&f.traceFile, "trace", "", "file for the trace to a broken property")
	c.Flags().StringVar(&f.fault, "inject", "", "bug to put in")
	c.Flags().IntVar(&f.workers, "workers", 0, "cores; 0: all")
	c.Flags().BoolVar(&f.whole, "whole", false, "take every step, also of those that commute")
	c.Flags().BoolVar(&f.depthFirst, "deep", false, "depth first, with a memory that the bounds' states bound")
	c.Flags().StringVar(&f.stoppedFile, "stop", "", "file for an exploration that ends before it is complete")
	c.Flags().StringVar(&f.resumeFile, "resume", "",
		"file of such an exploration, which is gone on with under the first bounds' states, memory and time")
}

func (a *app) exploreRunCommand() *cobra.Command {
	var flags exploreFlags
	c := &cobra.Command{
		Use: "run SYSTEM", Short: "Explores a system in the bounds of a file", Args: cobra.ExactArgs(1),
		Long: "With --stop, what ended before it was complete is kept in a file, and --resume goes on from there. --deep goes depth first\n" +
			"and keeps no more states than the bounds say; it needs a bound of depth.",
		Example: "  stoatctl explore run command --bounds deploy/bounds/ci.sexp --json",
		RunE: func(cmd *cobra.Command, args []string) error {
			run, err := newExploration(args[0], &flags)
			if err != nil {
				return err
			}
			return a.explore(cmd.Context(), run)
		},
	}
	flags.register(c)
	a.addJSONFlag(c)
	return c
}

// exploration is a system that is explored in some bounds, one after the other.
type exploration struct {
	flags  *exploreFlags
	kind   models.Kind
	fault  string // injected; empty: none
	bounds []models.Bounds
	saved  *modelcheck.Saved // where an earlier exploration stopped; nil: from the start
}

// newExploration reads what the flags name. All its errors are of usage.
func newExploration(system string, flags *exploreFlags) (*exploration, error) {
	kind, err := models.FindKind(system)
	if err != nil {
		return nil, exitError(ExitUsage, err)
	}
	if _, known := kind.Faults[flags.fault]; flags.fault != "" && !known {
		return nil, exitErrorf(ExitUsage, "--inject: system %s has no fault %q", kind.Name, flags.fault)
	}
	bounds, err := models.LoadBounds(flags.boundsFile, kind.Name)
	if err != nil {
		return nil, exitError(ExitUsage, err)
	}
	e := &exploration{flags: flags, kind: kind, fault: flags.fault, bounds: bounds}
	if flags.resumeFile == "" {
		return e, nil
	}
	stopped, err := models.LoadStopped(flags.resumeFile)
	if err != nil {
		return nil, exitError(ExitUsage, err)
	}
	if stopped.System != kind.Name {
		return nil, exitErrorf(ExitUsage, "--resume: %s is of system %s", flags.resumeFile, stopped.System)
	}
	e.resume(stopped)
	return e, nil
}

// resume goes on with a stopped exploration, under the present limits of states, memory and time.
func (e *exploration) resume(stopped models.Stopped) {
	limits := e.bounds[0]
	stopped.Bounds.States = limits.States
	stopped.Bounds.Memory = limits.Memory
	stopped.Bounds.For = limits.For
	e.bounds = []models.Bounds{stopped.Bounds}
	e.fault = stopped.Fault
	e.saved = &stopped.Saved
}

// run explores in one of the bounds.
func (e *exploration) run(ctx context.Context, bounds models.Bounds, report func(modelcheck.Progress)) (modelcheck.Result, error) {
	limits := bounds.ExplorerBounds(e.flags.workers)
	limits.TakeAllSteps = e.flags.whole
	if e.flags.depthFirst {
		if limits.MaxDepth == 0 {
			return modelcheck.Result{}, exitErrorf(ExitUsage, "%s: --deep needs a bound of depth", bounds.Place)
		}
		return modelcheck.RunDepthFirst(ctx, e.kind.New(bounds, e.fault), limits), nil
	}
	result, saved := modelcheck.Resume(ctx, e.kind.New(bounds, e.fault), limits, e.saved, report)
	if saved == nil || e.flags.stoppedFile == "" {
		return result, nil
	}
	stopped := models.Stopped{System: e.kind.Name, Fault: e.fault, Bounds: bounds, Saved: *saved}
	return result, stopped.Save(e.flags.stoppedFile)
}

// exploreReport is one system's exploration in all its bounds.
type exploreReport struct {
	System        string              `json:"system"`
	OK            bool                `json:"ok"`
	Complete      bool                `json:"complete"`
	States        int                 `json:"states"`
	Steps         int                 `json:"steps"`
	Depth         int                 `json:"depth"`
	PeakHeapBytes uint64              `json:"peak_heap_bytes"`
	Seconds       float64             `json:"seconds"`
	Runs          []modelcheck.Result `json:"runs"` // one for each of the bounds
	TraceFile     string              `json:"trace,omitempty"`
	broken        *models.Trace
}

func (r *exploreReport) add(result modelcheck.Result) {
	r.Runs = append(r.Runs, result)
	r.States += result.States
	r.Steps += result.Steps
	r.Depth = max(r.Depth, result.Depth)
	r.PeakHeapBytes = max(r.PeakHeapBytes, result.PeakHeapBytes)
	r.Seconds += result.Seconds
	r.Complete = r.Complete && (result.Complete || result.Counterexample != nil)
}

func (r *exploreReport) print(out io.Writer, bounds []models.Bounds) {
	t := newTable(out, "bounds", "states", "steps", "depth", "complete", "ends", "clash", "seconds", "states a second")
	for i, run := range r.Runs {
		t.AppendRow(table.Row{
			bounds[i].Place, run.States, run.Steps, run.Depth, run.Complete, run.EndStates, fmt.Sprintf("%.1e", run.CollisionChance),
			fmt.Sprintf("%.2f", run.Seconds), int(float64(run.States) / run.Seconds),
		})
	}
	t.Render()
	if r.broken != nil {
		printTrace(out, r.broken)
	}
}

// explore explores in all bounds up to the first broken property, and shows the report.
func (a *app) explore(ctx context.Context, e *exploration) error {
	report := exploreReport{System: e.kind.Name, OK: true, Complete: true}
	for _, bounds := range e.bounds {
		result, err := e.run(ctx, bounds, a.exploreProgress(e.kind.Name))
		if err != nil {
			return err
		}
		report.add(result)
		if result.Counterexample != nil {
			report.OK = false
			report.broken = &models.Trace{System: e.kind.Name, Fault: e.fault, Bounds: bounds, Trace: *result.Counterexample}
			break
		}
	}
	if report.broken != nil && e.flags.traceFile != "" {
		if err := report.broken.Save(e.flags.traceFile); err != nil {
			return exitError(ExitFailed, err)
		}
		report.TraceFile = e.flags.traceFile
	}
	if err := a.show(report, func(out io.Writer) { report.print(out, e.bounds) }); err != nil {
		return err
	}
	if report.broken != nil {
		return exitErrorf(ExitFailed, "broken: %s: %s", report.broken.Property, report.broken.Detail)
	}
	if !report.Complete {
		return exitError(ExitPaused, errors.New("an exploration ended before it was complete"))
	}
	return nil
}

// exploreProgress returns a function that writes progress to standard error at intervals.
func (a *app) exploreProgress(system string) func(modelcheck.Progress) {
	last := time.Now()
	return func(p modelcheck.Progress) {
		if time.Since(last) <= exploreProgressInterval {
			return
		}
		last = time.Now()
		printf(a.stderr, "%s: %d states, depth %d, %d to go on from, %d MB\n", system, p.States, p.Depth, p.Frontier, p.HeapBytes>>20)
	}
}
