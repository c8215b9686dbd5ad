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
	boundsFile   string
	traceFile    string // for the trace that breaks a property
	fault        string // to inject; empty: none
	workers      int    // 0: one for each core
	takeAllSteps bool   // take every step, including those that commute
	depthFirst   bool
	stoppedFile  string // written if an exploration ends before it is complete
	resumeFile   string // of a stopped exploration to continue
}

func (f *exploreFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.boundsFile, "bounds", "deploy/bounds/ci.sexp", "file of bounds")
	c.Flags().StringVar(&f.traceFile, "trace", "", "file in which to save the trace that breaks a property")
	c.Flags().StringVar(&f.fault, "inject", "", "bug to inject")
	c.Flags().IntVar(&f.workers, "workers", 0, "number of cores to use; 0: all")
	c.Flags().BoolVar(&f.takeAllSteps, "whole", false, "take every step, including those that commute")
	c.Flags().BoolVar(&f.depthFirst, "deep", false, "explore depth first, and keep at most as many states as the bounds allow")
	c.Flags().StringVar(&f.stoppedFile, "stop", "", "file in which to save an exploration that ends before it is complete")
	c.Flags().StringVar(&f.resumeFile, "resume", "",
		"file of a saved exploration to continue, within the states, memory and time of the first bounds")
}

func (a *app) exploreRunCommand() *cobra.Command {
	var flags exploreFlags
	c := &cobra.Command{
		Use: "run SYSTEM", Short: "Explores a system within the bounds in a file", Args: cobra.ExactArgs(1),
		Long: "With --stop, an exploration that ends before it is complete is saved to a file, and --resume continues it. --deep\n" +
			"explores depth first and keeps no more states than the bounds allow; it needs a bound on depth.",
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

// exploration is a system with the bounds within which it is explored, one after the other.
type exploration struct {
	flags  *exploreFlags
	kind   models.Kind
	fault  string // injected; empty: none
	bounds []models.Bounds
	saved  *modelcheck.Saved // where an earlier exploration stopped; nil: from the start
}

// newExploration loads the system, the bounds and the stopped exploration that the flags name. All its errors have the code
// ExitUsage.
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
		return nil, exitErrorf(ExitUsage, "--resume: %s holds an exploration of system %s", flags.resumeFile, stopped.System)
	}
	e.resume(stopped)
	return e, nil
}

// resume sets e to continue a stopped exploration, with the limits on states, memory and time of the first bounds in e.
func (e *exploration) resume(stopped models.Stopped) {
	limits := e.bounds[0]
	stopped.Bounds.States = limits.States
	stopped.Bounds.Memory = limits.Memory
	stopped.Bounds.For = limits.For
	e.bounds = []models.Bounds{stopped.Bounds}
	e.fault = stopped.Fault
	e.saved = &stopped.Saved
}

// run explores the system within one of its bounds.
func (e *exploration) run(ctx context.Context, bounds models.Bounds, report func(modelcheck.Progress)) (modelcheck.Result, error) {
	limits := bounds.ExplorerBounds(e.flags.workers)
	limits.TakeAllSteps = e.flags.takeAllSteps
	if e.flags.depthFirst {
		if limits.MaxDepth == 0 {
			return modelcheck.Result{}, exitErrorf(ExitUsage, "%s: --deep needs a bound on depth", bounds.Place)
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

// exploreReport is the result of exploring one system within all its bounds.
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

// explore explores a system within each of its bounds in turn until a property breaks, and prints the report.
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

// exploreProgress returns a function that writes the progress to standard error, at most once each exploreProgressInterval.
func (a *app) exploreProgress(system string) func(modelcheck.Progress) {
	last := time.Now()
	return func(p modelcheck.Progress) {
		if time.Since(last) <= exploreProgressInterval {
			return
		}
		last = time.Now()
		printf(a.stderr, "%s: %d states, depth %d, %d states to expand, %d MB\n", system, p.States, p.Depth, p.Frontier, p.HeapBytes>>20)
	}
}
