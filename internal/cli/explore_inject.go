package cli

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/systems"
)

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
