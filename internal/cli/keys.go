package cli

import (
	"errors"
	"io"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/fleet/inventory"
	"stoatdale.example/stoatdale/internal/pki"
)

const (
	day = 24 * time.Hour

	defaultAuthorityDays   = 3650
	defaultCertificateDays = 365
)

// keysFlags are common to the commands of certificates.
type keysFlags struct {
	folder string
}

func (f *keysFlags) keys() pki.Folder { return pki.Folder(f.folder) }

func (a *app) keysCommand() *cobra.Command {
	var flags keysFlags
	c := &cobra.Command{
		Use: "keys", Short: "Makes, renews and shows the certificates of a fleet",
		Long: "The fleet's authority and its certificates lie in one folder. Agents and operators need authority.pem and their own\n" +
			"file of it; authority.key.pem stays with whoever issues. Files may be replaced while agents run: the next\n" +
			"connection uses them.",
	}
	c.PersistentFlags().StringVar(&flags.folder, "keys", "keys", "folder of the keys")
	c.AddCommand(keysInitCommand(&flags), keysRenewAuthorityCommand(&flags), keysIssueCommand(&flags), a.keysShowCommand(&flags))
	return commandGroup(c)
}

func keysInitCommand(flags *keysFlags) *cobra.Command {
	var days int
	c := &cobra.Command{
		Use: "init FLEET", Short: "Makes the fleet's authority", Args: cobra.ExactArgs(1),
		Example: "  stoatctl keys init haulage --days 3650",
		RunE: func(_ *cobra.Command, args []string) error {
			if certificates, err := flags.keys().List(); err == nil && len(certificates) > 0 {
				return exitErrorf(ExitRejected, "%s holds certificates already: stoatctl keys renew-authority keeps the old ones trusted",
					flags.folder)
			}
			return makeAuthority(flags, args[0], days)
		},
	}
	addAuthorityDaysFlag(c, &days)
	return c
}

func keysRenewAuthorityCommand(flags *keysFlags) *cobra.Command {
	var days int
	c := &cobra.Command{
		Use: "renew-authority FLEET", Short: "Makes a new authority beside the old, which stays trusted until it runs out",
		Long: "Bring authority.pem to all agents and operators first, then issue and bring their own files: at no moment is\n" +
			"anybody refused.",
		Args: cobra.ExactArgs(1), Example: "  stoatctl keys renew-authority haulage",
		RunE: func(_ *cobra.Command, args []string) error { return makeAuthority(flags, args[0], days) },
	}
	addAuthorityDaysFlag(c, &days)
	return c
}

func addAuthorityDaysFlag(c *cobra.Command, days *int) {
	c.Flags().IntVar(days, "days", defaultAuthorityDays, "days that the authority lasts")
}

func makeAuthority(flags *keysFlags, fleet string, days int) error {
	return exitError(ExitFailed, flags.keys().CreateAuthority(fleet, time.Duration(days)*day, time.Now()))
}

func keysIssueCommand(flags *keysFlags) *cobra.Command {
	var days int
	var fleetFile string
	c := &cobra.Command{
		Use: "issue agent|operator NAME...", Short: "Makes or renews certificates",
		Example: "  stoatctl keys issue operator ayla\n  stoatctl keys issue agent --fleet deploy/fleet.sexp     # all agents of the file",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			role, names := pki.Role(args[0]), args[1:]
			if fleetFile != "" {
				fleet, err := inventory.Load(fleetFile)
				if err != nil {
					return exitError(ExitUsage, err)
				}
				for _, agent := range fleet.Agents {
					names = append(names, agent.Name)
				}
			}
			if len(names) == 0 {
				return exitError(ExitUsage, errors.New("nobody is named: give names, or --fleet FILE for all agents of it"))
			}
			for _, name := range names {
				if err := flags.keys().Issue(role, name, time.Duration(days)*day, time.Now()); err != nil {
					return exitError(ExitFailed, err)
				}
			}
			return nil
		},
	}
	c.Flags().IntVar(&days, "days", defaultCertificateDays, "days that a certificate lasts")
	c.Flags().StringVar(&fleetFile, "fleet", "", "issue for all agents of this fleet file")
	return c
}

func (a *app) keysShowCommand(flags *keysFlags) *cobra.Command {
	var warnDays int
	c := &cobra.Command{
		Use: "show", Short: "Lists the certificates and until when they count",
		Long: "Exit status 1 if one has run out or runs out within --warn days.", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			certificates, err := flags.keys().List()
			if err != nil {
				return exitError(ExitFailed, err)
			}
			if err := a.show(certificates, func(out io.Writer) {
				t := newTable(out, "file", "who", "until", "days left")
				for _, x := range certificates {
					t.AppendRow(table.Row{x.File, x.Subject, x.NotAfter.Format(time.DateOnly), int(time.Until(x.NotAfter) / day)})
				}
				t.Render()
			}); err != nil {
				return err
			}
			for _, x := range certificates {
				if time.Until(x.NotAfter) < time.Duration(warnDays)*day {
					return exitErrorf(ExitFailed, "%s: the certificate of %s runs out on %s", x.File, x.Subject, x.NotAfter.Format(time.DateOnly))
				}
			}
			return nil
		},
	}
	c.Flags().IntVar(&warnDays, "warn", 0, "days before the end from which a certificate is told of")
	a.addJSONFlag(c)
	return c
}
