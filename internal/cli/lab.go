package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/renameio/v2"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/lab/experiment"
	"stoatdale.example/stoatdale/internal/lab/model"
	"stoatdale.example/stoatdale/internal/lab/report"
)

func (a *app) labCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "lab", Short: "Runs experiments on a model of deployments, in virtual time",
		Long: "Exit status 1 if the policy module, the router's own, breaks a rule; 4 if an experiment ended before it was complete.",
	}
	c.AddCommand(a.labRunCommand(), a.labCompareCommand(), a.labReportCommand())
	return commandGroup(c)
}

const (
	modulePolicy = "module" // the router's own policy, with which the others are compared

	// Files in a results folder.
	experimentFile = "experiment.sexp"
	runsFile       = "runs.json"
	reportFile     = "report.html"

	resultFileMode   = 0o644
	resultFolderMode = 0o755
)

// experimentResults holds an experiment's results, as they are printed and, with --out, saved.
type experimentResults struct {
	Name     string           `json:"name"`
	OK       bool             `json:"ok"` // the policy module broke no rule
	Policies []experiment.Row `json:"policies"`
	Runs     []experiment.Run `json:"runs,omitempty"`
	Commands int              `json:"commands"`      // that clients sent in all runs, without retries
	Folder   string           `json:"out,omitempty"` // folder in which the results were saved
}

func (a *app) labRunCommand() *cobra.Command {
	var folder string // empty: the results are not saved
	var workers int
	c := &cobra.Command{
		Use: "run FILE", Short: "Runs an experiment: every policy with every seed", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return fmt.Errorf("experiment: %w", err)
			}
			spec, err := model.Load(args[0])
			if err != nil {
				return err
			}
			began := time.Now()
			results, err := a.runExperiment(cmd.Context(), spec, workers)
			if err != nil {
				return err
			}
			results.Folder = folder
			elapsed := time.Since(began)
			if folder != "" {
				if err := saveResults(folder, text, spec, results); err != nil {
					return err
				}
			}
			if err := a.show(results, func(out io.Writer) { results.print(out, elapsed) }); err != nil {
				return err
			}
			if !results.OK {
				return exitErrorf(ExitFailed, "experiment %s: the policy module broke a rule", spec.Name)
			}
			return nil
		},
	}
	c.Flags().StringVar(&folder, "out", "", "folder in which to save the experiment's file, results and report")
	c.Flags().IntVar(&workers, "workers", 0, "number of cores to use; 0: all")
	a.addJSONFlag(c)
	return c
}

// runExperiment runs every policy of an experiment with every seed, and writes the progress to standard error. It returns an
// error if ctx is canceled before the end.
func (a *app) runExperiment(ctx context.Context, spec *model.Spec, workers int) (experimentResults, error) {
	runs, err := experiment.RunAll(ctx, spec, workers, func(p experiment.Progress) {
		printf(a.stderr, "%s: %d of %d runs, %s left\n", spec.Name, p.Done, p.Total, p.Remaining.Round(time.Second))
	})
	if err != nil {
		return experimentResults{}, exitError(ExitPaused, err)
	}
	results := experimentResults{Name: spec.Name, OK: true, Policies: experiment.Table(runs), Runs: runs}
	for _, run := range runs {
		results.Commands += run.Tally.Commands
		if run.Policy == modulePolicy && len(run.Violations) > 0 {
			results.OK = false
		}
	}
	return results, nil
}

func (a *app) labCompareCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "compare A B", Short: "Compares two saved experiments, paired by seed", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			var runs [2][]experiment.Run
			for i, folder := range args {
				results, err := loadResults(folder)
				if err != nil {
					return err
				}
				runs[i] = results.Runs
			}
			differences, err := experiment.Compare(runs[0], runs[1])
			if err != nil {
				return fmt.Errorf("%s and %s: %w", args[0], args[1], err)
			}
			return a.show(differences, func(out io.Writer) {
				t := newTable(out, "policy", "pairs", args[0], args[1], "difference", "nine in ten", "")
				for _, difference := range differences {
					t.AppendRow(table.Row{
						difference.Policy, difference.Pairs, fmt.Sprintf("%.4f", difference.A), fmt.Sprintf("%.4f", difference.B),
						fmt.Sprintf("%+.4f", difference.Mean), fmt.Sprintf("%+.4f to %+.4f", difference.Low, difference.High), difference.Verdict(),
					})
				}
				t.Render()
			})
		},
	}
	a.addJSONFlag(c)
	return c
}

func (a *app) labReportCommand() *cobra.Command {
	return &cobra.Command{
		Use: "report DIR", Short: "Writes the report page of a saved experiment again", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			folder := args[0]
			results, err := loadResults(folder)
			if err != nil {
				return err
			}
			spec, err := model.Load(filepath.Join(folder, experimentFile))
			if err != nil {
				return err
			}
			page, err := report.Page(spec, results.Runs)
			if err == nil {
				err = renameio.WriteFile(filepath.Join(folder, reportFile), page, resultFileMode)
			}
			if err != nil {
				return fmt.Errorf("experiment: %w", err)
			}
			return nil
		},
	}
}

func loadResults(folder string) (experimentResults, error) {
	var results experimentResults
	path := filepath.Join(folder, runsFile)
	encoded, err := os.ReadFile(path)
	if err != nil {
		return results, fmt.Errorf("experiment: %w", err)
	}
	if err := json.Unmarshal(encoded, &results); err != nil {
		return results, fmt.Errorf("experiment: %s: %w", path, err)
	}
	return results, nil
}

// saveResults writes text (the experiment's file), the results and the report page to a folder. The same file, seeds and build
// give the same bytes.
func saveResults(folder string, text []byte, spec *model.Spec, results experimentResults) error {
	results.Folder = "" // not saved, since the folder may be moved
	encoded, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	page, err := report.Page(spec, results.Runs)
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	if err := os.MkdirAll(folder, resultFolderMode); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	files := map[string][]byte{experimentFile: text, runsFile: append(encoded, '\n'), reportFile: page}
	for name, content := range files {
		if err := renameio.WriteFile(filepath.Join(folder, name), content, resultFileMode); err != nil {
			return fmt.Errorf("experiment: %w", err)
		}
	}
	return nil
}

func (r *experimentResults) print(out io.Writer, elapsed time.Duration) {
	t := newTable(out, "policy", "service", "least", "most", "in target", "reads on primary", "dispatches", "rules broken")
	for _, policy := range r.Policies {
		t.AppendRow(table.Row{
			policy.Policy, fmt.Sprintf("%.3f", policy.Service), fmt.Sprintf("%.3f", policy.Lowest), fmt.Sprintf("%.3f", policy.Highest),
			fmt.Sprintf("%.3f", policy.InTarget), fmt.Sprintf("%.3f", policy.PrimaryReads), fmt.Sprintf("%.2f", policy.Attempts), strings.Join(policy.Violations, "; "),
		})
	}
	t.Render()
	printf(out, "%s: %d commands in %d runs, %.1f s\n", r.Name, r.Commands, len(r.Runs), elapsed.Seconds())
}
