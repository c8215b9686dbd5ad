package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/fleet/layout"
	"stoatdale.example/stoatdale/internal/keys"
)

const day = 24 * time.Hour

func (a *app) keys() *cobra.Command {
	var folder string
	c := &cobra.Command{
		Use: "keys", Short: "Makes, renews and shows the certificates of a fleet",
		Long: "The fleet's authority and its certificates lie in one folder. Agents and operators need authority.pem and their own\n" +
			"file of it; authority.key.pem stays with whoever issues. Files may be replaced while agents run: the next\n" +
			"connection uses them.",
	}
	c.PersistentFlags().StringVar(&folder, "keys", "keys", "folder of the keys")

	var lasts int
	initial := &cobra.Command{
		Use: "init FLEET", Short: "Makes the fleet's authority", Args: cobra.ExactArgs(1),
		Example: "  stoatctl keys init haulage --days 3650",
		RunE: func(_ *cobra.Command, args []string) error {
			if certs, err := keys.Folder(folder).Show(); err == nil && len(certs) > 0 {
				return refuse("%s holds certificates already: stoatctl keys renew-authority keeps the old ones trusted", folder)
			}
			return status(Failed, keys.Folder(folder).MakeAuthority(args[0], time.Duration(lasts)*day, time.Now()))
		},
	}
	renew := &cobra.Command{
		Use: "renew-authority FLEET", Short: "Makes a new authority beside the old, which stays trusted until it runs out",
		Long: "Bring authority.pem to all agents and operators first, then issue and bring their own files: at no moment is\n" +
			"anybody refused.",
		Args: cobra.ExactArgs(1), Example: "  stoatctl keys renew-authority haulage",
		RunE: func(_ *cobra.Command, args []string) error {
			return status(Failed, keys.Folder(folder).MakeAuthority(args[0], time.Duration(lasts)*day, time.Now()))
		},
	}
	for _, x := range []*cobra.Command{initial, renew} {
		x.Flags().IntVar(&lasts, "days", 3650, "days that the authority lasts")
	}

	var days int
	var fleet string
	issue := &cobra.Command{
		Use: "issue agent|operator NAME...", Short: "Makes or renews certificates",
		Example: "  stoatctl keys issue operator ayla\n  stoatctl keys issue agent --fleet deploy/fleet.sexp     # all agents of the file",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			names := args[1:]
			if fleet != "" {
				f, err := layout.Load(fleet)
				if err != nil {
					return status(Misused, err)
				}
				for _, x := range f.Agents {
					names = append(names, x.Name)
				}
			}
			if len(names) == 0 {
				return status(Misused, fmt.Errorf("nobody is named: give names, or --fleet FILE for all agents of it"))
			}
			for _, n := range names {
				if err := keys.Folder(folder).Issue(keys.Role(args[0]), n, time.Duration(days)*day, time.Now()); err != nil {
					return status(Failed, err)
				}
			}
			return nil
		},
	}
	issue.Flags().IntVar(&days, "days", 365, "days that a certificate lasts")
	issue.Flags().StringVar(&fleet, "fleet", "", "issue for all agents of this fleet file")

	var warn int
	show := &cobra.Command{
		Use: "show", Short: "Lists the certificates and until when they count",
		Long: "Exit status 1 if one has run out or runs out within --warn days.", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			certs, err := keys.Folder(folder).Show()
			if err != nil {
				return status(Failed, err)
			}
			if err := a.show(certs, func(w io.Writer) {
				t := grid(w, "file", "who", "until", "days left")
				for _, x := range certs {
					t.AppendRow(table.Row{x.File, x.Who, x.Until.Format(time.DateOnly), int(time.Until(x.Until) / day)})
				}
				t.Render()
			}); err != nil {
				return err
			}
			for _, x := range certs {
				if time.Until(x.Until) < time.Duration(warn)*day {
					return status(Failed, fmt.Errorf("%s: the certificate of %s runs out on %s", x.File, x.Who, x.Until.Format(time.DateOnly)))
				}
			}
			return nil
		},
	}
	show.Flags().IntVar(&warn, "warn", 0, "days before the end from which a certificate is told of")
	a.asJSON(show)
	c.AddCommand(initial, renew, issue, show)
	return group(c)
}
