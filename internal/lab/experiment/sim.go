// Package experiment runs experiments in virtual time, in parallel on all cores. Each run is a simulation of its own with
// its own seed, so the results do not depend on the number of cores. They are in the order of the experiment's file.
package experiment

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"slices"
	"sort"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"

	"stoatdale.example/stoatdale/internal/lab/model"
)

// Run is the result of one policy with one seed.
type Run struct {
	Policy     string            `json:"policy"`
	Seed       int               `json:"seed"`
	Service    float64           `json:"service"`
	Tally      model.Tally       `json:"tally"`
	Groups     []Group           `json:"groups"`
	Violations map[string]string `json:"broken,omitempty"` // violated properties, each with its first violation
	Seconds    float64           `json:"-"`                // wall time of the run, not saved because it is not reproducible
}

// Group holds the response times of a command group in seconds, from the client's first attempt to the answer.
type Group struct {
	Name     string  `json:"name"`
	Answered int     `json:"answered"`
	P50      float64 `json:"p50"`
	P99      float64 `json:"p99"`
	P999     float64 `json:"p999"`
}

// Progress is the state of an experiment after a run has ended.
type Progress struct {
	Done, Total int           // runs that have ended, and all runs
	Remaining   time.Duration // estimated wall time until the end, from the mean of the runs so far
}

// RunAll performs all runs of an experiment on the given number of workers, or on one per core if that is 0. It calls
// onProgress, if not nil, after each run. If ctx ends before all runs have, RunAll returns an error that says how
// many have.
func RunAll(ctx context.Context, spec *model.Spec, workers int, onProgress func(Progress)) ([]Run, error) {
	if workers == 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	var runs []Run
	for _, p := range spec.Policies {
		for _, seed := range spec.Seeds {
			runs = append(runs, Run{Policy: p, Seed: seed})
		}
	}
	startedAt := time.Now()
	var mu sync.Mutex
	var running sync.WaitGroup
	next, done := 0, 0
	for range min(workers, len(runs)) {
		running.Add(1)
		go func() {
			defer running.Done()
			for {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= len(runs) || ctx.Err() != nil {
					return
				}
				runOne(spec, &runs[i])
				mu.Lock()
				done++
				if p := (Progress{done, len(runs), time.Since(startedAt) / time.Duration(done) * time.Duration(len(runs)-done)}); onProgress != nil {
					onProgress(p)
				}
				mu.Unlock()
			}
		}()
	}
	running.Wait()
	if err := ctx.Err(); err != nil && done < len(runs) {
		return nil, fmt.Errorf("experiment %s: %d of %d runs have ended: %w", spec.Name, done, len(runs), err)
	}
	return runs, nil
}

// runOne performs a run and sets its results.
func runOne(spec *model.Spec, run *Run) {
	began := time.Now()
	tally, violations := model.New(spec, run.Policy, run.Seed).Run()
	run.Tally, run.Service = tally, tally.Service()
	if len(violations) > 0 {
		run.Violations = violations
	}
	for i, times := range tally.Times {
		sort.Float64s(times)
		run.Groups = append(run.Groups, Group{
			spec.Groups[i].Name, len(times), quantile(times, 0.5), quantile(times, 0.99), quantile(times, 0.999),
		})
	}
	run.Tally.Times = nil
	run.Seconds = time.Since(began).Seconds()
}

// quantile returns the q-quantile of sorted numbers: the smallest of them such that at least the share q of all numbers
// is not greater. It returns 0 if there are no numbers.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return stat.Quantile(q, stat.Empirical, sorted, nil)
}

// Row is the result of one policy over all seeds.
type Row struct {
	Policy       string   `json:"policy"`
	Runs         int      `json:"runs"`
	Service      float64  `json:"service"`          // mean of the runs
	Lowest       float64  `json:"least"`            // lowest service of a run
	Highest      float64  `json:"most"`             // highest service of a run
	InTarget     float64  `json:"in_target"`        // share of commands answered within the latency objective
	PrimaryReads float64  `json:"primary"`          // share of read attempts that went to a primary
	Attempts     float64  `json:"per_command"`      // attempts per command
	Violations   []string `json:"broken,omitempty"` // violated properties, sorted
}

// Table summarizes the runs in one row for each policy, in the order in which the policies first appear.
func Table(runs []Run) []Row {
	var rows []Row
	for _, r := range runs {
		i := slices.IndexFunc(rows, func(row Row) bool { return row.Policy == r.Policy })
		if i < 0 {
			i = len(rows)
			rows = append(rows, Row{Policy: r.Policy, Lowest: math.Inf(1)})
		}
		row, tally := &rows[i], &r.Tally
		row.Runs++
		row.Service += r.Service
		row.Lowest, row.Highest = math.Min(row.Lowest, r.Service), math.Max(row.Highest, r.Service)
		row.InTarget += share(tally.InTarget, tally.Commands)
		row.PrimaryReads += share(tally.PrimaryReads, tally.Reads)
		row.Attempts += share(tally.Attempts, tally.Commands)
		for p := range r.Violations {
			if !slices.Contains(row.Violations, p) {
				row.Violations = append(row.Violations, p)
			}
		}
		slices.Sort(row.Violations)
	}
	for i := range rows {
		n := float64(rows[i].Runs)
		rows[i].Service, rows[i].InTarget = rows[i].Service/n, rows[i].InTarget/n
		rows[i].PrimaryReads, rows[i].Attempts = rows[i].PrimaryReads/n, rows[i].Attempts/n
	}
	return rows
}

func share(part, whole int) float64 { return float64(part) / math.Max(1, float64(whole)) }
