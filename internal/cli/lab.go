package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/google/renameio/v2"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/lab/report"
	"stoatdale.example/stoatdale/internal/lab/sim"
	"stoatdale.example/stoatdale/internal/lab/world"
)

func (a *app) lab() *cobra.Command {
	c := &cobra.Command{
		Use: "lab", Short: "Plays experiments on a model of deployments, in virtual time",
		Long: "Exit status 1 if the module breaks a rule, 4 if an experiment ended before it was complete.",
	}
	c.AddCommand(a.labRun(), a.labCompare(), a.labReport())
	return group(c)
}

// played is an experiment's outcome: what it printed, and what is kept with --out.
type played struct {
	Name     string    `json:"name"`
	OK       bool      `json:"ok"` // the module kept all rules
	Policies []sim.Row `json:"policies"`
	Runs     []sim.Run `json:"runs,omitempty"`
	Commands int       `json:"commands"` // asked in all runs, their repeats not counted
	Out      string    `json:"out,omitempty"`
}

func (a *app) labRun() *cobra.Command {
	var out string
	var workers int
	c := &cobra.Command{
		Use: "run FILE", Short: "Plays an experiment: every policy with every seed", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return fmt.Errorf("experiment: %w", err)
			}
			spec, err := world.Load(args[0])
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			began := time.Now()
			runs, err := sim.Play(ctx, spec, workers, func(p sim.Progress) {
				fmt.Fprintf(a.err, "%s: %d of %d runs, %s left\n", spec.Name, p.Done, p.Of, p.Left.Round(time.Second))
			})
			if err != nil {
				return status(Paused, err)
			}
			p := played{Name: spec.Name, OK: true, Policies: sim.Table(runs), Runs: runs, Out: out}
			for _, r := range runs {
				p.Commands += r.Tally.Asked
				p.OK = p.OK && (r.Policy != "module" || len(r.Broken) == 0)
			}
			took := time.Since(began).Seconds()
			if out != "" {
				if err := keepPlayed(out, raw, spec, p); err != nil {
					return err
				}
			}
			if err := a.show(p, func(w io.Writer) { showPlayed(w, p, took) }); err != nil {
				return err
			}
			if !p.OK {
				return status(Failed, fmt.Errorf("experiment %s: the module broke a rule", spec.Name))
			}
			return nil
		},
	}
	c.Flags().StringVar(&out, "out", "", "folder for the experiment's file and all figures")
	c.Flags().IntVar(&workers, "workers", 0, "cores; 0: all")
	a.asJSON(c)
	return c
}

func (a *app) labCompare() *cobra.Command {
	c := &cobra.Command{
		Use: "compare A B", Short: "Compares two experiments that were kept, paired by seed", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			var runs [2][]sim.Run
			for i, dir := range args {
				p, err := keptPlayed(dir)
				if err != nil {
					return err
				}
				runs[i] = p.Runs
			}
			d, err := sim.Compare(runs[0], runs[1])
			if err != nil {
				return fmt.Errorf("%s and %s: %w", args[0], args[1], err)
			}
			return a.show(d, func(w io.Writer) {
				t := grid(w, "policy", "pairs", args[0], args[1], "difference", "nine in ten", "")
				for _, x := range d {
					t.AppendRow(table.Row{
						x.Policy, x.Pairs, fmt.Sprintf("%.4f", x.A), fmt.Sprintf("%.4f", x.B), fmt.Sprintf("%+.4f", x.Mean),
						fmt.Sprintf("%+.4f to %+.4f", x.Low, x.High), x.Told(),
					})
				}
				t.Render()
			})
		},
	}
	a.asJSON(c)
	return c
}

func (a *app) labReport() *cobra.Command {
	return &cobra.Command{
		Use: "report DIR", Short: "Makes the page of an experiment that was kept anew", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			p, err := keptPlayed(args[0])
			if err != nil {
				return err
			}
			spec, err := world.Load(filepath.Join(args[0], "experiment.sexp"))
			if err != nil {
				return err
			}
			page, err := report.Page(spec, p.Runs)
			if err == nil {
				err = renameio.WriteFile(filepath.Join(args[0], "report.html"), page, 0o644)
			}
			if err != nil {
				return fmt.Errorf("experiment: %w", err)
			}
			return nil
		},
	}
}

func keptPlayed(dir string) (p played, err error) {
	path := filepath.Join(dir, "runs.json")
	raw, err := os.ReadFile(path)
	if err != nil {
		return p, fmt.Errorf("experiment: %w", err)
	}
	if err := json.Unmarshal(raw, &p); err != nil {
		return p, fmt.Errorf("experiment: %s: %w", path, err)
	}
	return p, nil
}

// keepPlayed writes what a run depends on beside its results. The same file, seeds and build give the same bytes.
func keepPlayed(dir string, file []byte, spec *world.Spec, p played) error {
	p.Out = ""
	raw, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	page, err := report.Page(spec, p.Runs)
	if err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	for name, content := range map[string][]byte{"experiment.sexp": file, "runs.json": append(raw, '\n'), "report.html": page} {
		if err := renameio.WriteFile(filepath.Join(dir, name), content, 0o644); err != nil {
			return fmt.Errorf("experiment: %w", err)
		}
	}
	return nil
}

func showPlayed(w io.Writer, p played, took float64) {
	t := grid(w, "policy", "service", "least", "most", "in target", "reads on primary", "dispatches", "rules broken")
	for _, r := range p.Policies {
		t.AppendRow(table.Row{
			r.Policy, fmt.Sprintf("%.3f", r.Service), fmt.Sprintf("%.3f", r.Least), fmt.Sprintf("%.3f", r.Most), fmt.Sprintf("%.3f", r.InTarget),
			fmt.Sprintf("%.3f", r.Primary), fmt.Sprintf("%.2f", r.Dispatches), strings.Join(r.Broken, "; "),
		})
	}
	t.Render()
	fmt.Fprintf(w, "%s: %d commands in %d runs, %.1f s\n", p.Name, p.Commands, len(p.Runs), took)
}
