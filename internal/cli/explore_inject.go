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

// injectReport is which of the injected faults were found.
type injectReport struct {
	Faults []models.InjectionResult `json:"bugs"`
	OK     bool                     `json:"ok"` // all were found, and nothing was without them
}

func (r *injectReport) print(out io.Writer) {
	t := newTable(out, "system", "bug", "found", "steps", "states", "seconds", "clean without it", "breaks")
	for _, x := range r.Faults {
		t.AppendRow(table.Row{x.System, x.Fault, x.Found, x.TraceLength, x.States, fmt.Sprintf("%.2f", x.Seconds), x.Clean, x.Property})
	}
	t.Render()
}

// missed counts the faults that were not found, or whose bounds are not clean without them.
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
	traceFolder string // empty: traces are not kept
	workers     int    // 0: one a core
}

func (f *injectFlags) register(c *cobra.Command) {
	c.Flags().BoolVar(&f.all, "all", false, "all bugs of all systems")
	c.Flags().StringVar(&f.traceFolder, "keep", "", "folder for the traces")
	c.Flags().IntVar(&f.workers, "workers", 0, "cores; 0: all")
}

func (a *app) exploreInjectCommand() *cobra.Command {
	var flags injectFlags
	c := &cobra.Command{
		Use: "inject [NAME...]", Short: "Puts bugs in and sees that each is found, and that nothing is found without it",
		Example: "  stoatctl explore inject --all --json",
		RunE: func(cmd *cobra.Command, args []string) error {
			if flags.all == (len(args) > 0) {
				return exitError(ExitUsage, errors.New("give names of bugs, or --all"))
			}
			report, err := injectFaults(cmd.Context(), args, &flags)
			if err != nil {
				return err
			}
			if err := a.show(report, report.print); err != nil {
				return err
			}
			if missed := report.missed(); missed > 0 {
				return exitErrorf(ExitFailed, "%d bugs were not found, or their bounds are not clean without them", missed)
			}
			return nil
		},
	}
	flags.register(c)
	a.addJSONFlag(c)
	return c
}

// injectFaults explores every system with each fault of the given names, or with all faults.
func injectFaults(ctx context.Context, names []string, flags *injectFlags) (*injectReport, error) {
	unmet := map[string]bool{}
	for _, name := range names {
		unmet[name] = true
	}
	wanted := func(name string) bool { return flags.all || unmet[name] }
	var report injectReport
	for _, kind := range models.Kinds() {
		for _, name := range kind.FaultNames() {
			if !wanted(name) {
				continue
			}
			delete(unmet, name)
			found := models.Inject(ctx, kind, name, flags.workers)
			if err := saveInjectTrace(found, flags.traceFolder); err != nil {
				return nil, err
			}
			report.Faults = append(report.Faults, found)
		}
	}
	for name := range unmet {
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
