package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/modelcheck/models"
)

// injectReport lists the injected faults and whether each was found.
type injectReport struct {
	Faults []models.InjectionResult `json:"bugs"`
	OK     bool                     `json:"ok"` // each fault was found, and without it no property broke
}

func (r *injectReport) print(out io.Writer) {
	t := newTable(out, "system", "bug", "found", "steps", "states", "seconds", "clean without it", "breaks")
	for _, result := range r.Faults {
		t.AppendRow(table.Row{
			result.System, result.Fault, result.Found, result.TraceLength, result.States, fmt.Sprintf("%.2f", result.Seconds),
			result.Clean, result.Property,
		})
	}
	t.Render()
}

// missed returns the number of faults that were not found, or in whose bounds a property breaks without the fault.
func (r *injectReport) missed() int {
	missed := 0
	for i := range r.Faults {
		if !r.Faults[i].Found || !r.Faults[i].Clean {
			missed++
		}
	}
	return missed
}

// injectFlags are the flags of explore inject.
type injectFlags struct {
	all         bool
	traceFolder string // empty: traces are not saved
	workers     int    // 0: one for each core
}

func (f *injectFlags) register(c *cobra.Command) {
	c.Flags().BoolVar(&f.all, "all", false, "all bugs of all systems")
	c.Flags().StringVar(&f.traceFolder, "keep", "", "folder in which to save the traces")
	c.Flags().IntVar(&f.workers, "workers", 0, "number of cores to use; 0: all")
}

func (a *app) exploreInjectCommand() *cobra.Command {
	var flags injectFlags
	c := &cobra.Command{
		Use: "inject [NAME...]", Short: "Injects bugs, and checks that each is found and that nothing is found without it",
		Example: "  stoatctl explore inject --all --json",
		RunE: func(cmd *cobra.Command, args []string) error {
			if flags.all == (len(args) > 0) {
				return exitError(ExitUsage, errors.New("give either names of bugs or --all"))
			}
			report, err := injectFaults(cmd.Context(), args, &flags)
			if err != nil {
				return err
			}
			if err := a.show(report, report.print); err != nil {
				return err
			}
			if missed := report.missed(); missed > 0 {
				return exitErrorf(ExitFailed, "%d bugs were not found, or a property broke without them", missed)
			}
			return nil
		},
	}
	flags.register(c)
	a.addJSONFlag(c)
	return c
}

// injectFaults injects the faults in names, or with --all those of all systems, and explores the system of each. If several
// systems have a fault of a given name, only the first of these systems is explored. A name that no system has is an error.
func injectFaults(ctx context.Context, names []string, flags *injectFlags) (*injectReport, error) {
	notFound := map[string]bool{}
	for _, name := range names {
		notFound[name] = true
	}
	wanted := func(name string) bool { return flags.all || notFound[name] }
	var report injectReport
	for _, kind := range models.Kinds() {
		for _, name := range kind.FaultNames() {
			if !wanted(name) {
				continue
			}
			delete(notFound, name)
			found := models.Inject(ctx, kind, name, flags.workers)
			if err := saveInjectTrace(found, flags.traceFolder); err != nil {
				return nil, err
			}
			report.Faults = append(report.Faults, found)
		}
	}
	for name := range notFound {
		return nil, exitErrorf(ExitUsage, "there is no bug %q; see explore list", name)
	}
	report.OK = report.missed() == 0
	return &report, nil
}

func saveInjectTrace(found models.InjectionResult, folder string) error {
	if found.Trace == nil || folder == "" {
		return nil
	}
	return exitError(ExitFailed, found.Trace.Save(filepath.Join(folder, found.System+"-"+found.Fault+".json")))
}
