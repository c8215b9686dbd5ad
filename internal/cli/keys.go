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

// keysFlags are the flags that the commands on certificates share.
type keysFlags struct {
	folder string
}

func (f *keysFlags) keys() pki.Folder { return pki.Folder(f.folder) }

func (a *app) keysCommand() *cobra.Command {
	var flags keysFlags
	c := &cobra.Command{
		Use: "keys", Short: "Issues, renews and shows the certificates of a fleet",
		Long: "One folder holds the fleet's certificate authority and its certificates. Each agent and operator needs\n" +
			"authority.pem and its own file from that folder. authority.key.pem stays with the person who issues\n" +
			"certificates. Files may be replaced while agents run: the next connection uses the new ones.",
	}
	c.PersistentFlags().StringVar(&flags.folder, "keys", "keys", "folder with keys and certificates")
	c.AddCommand(keysInitCommand(&flags), keysRenewAuthorityCommand(&flags), keysIssueCommand(&flags), a.keysShowCommand(&flags))
	return commandGroup(c)
}

func keysInitCommand(flags *keysFlags) *cobra.Command {
	var days int
	c := &cobra.Command{
		Use: "init FLEET", Short: "Creates the fleet's certificate authority", Args: cobra.ExactArgs(1),
		Example: "  stoatctl keys init haulage --days 3650",
		RunE: func(_ *cobra.Command, args []string) error {
			if certificates, err := flags.keys().List(); err == nil && len(certificates) > 0 {
				return exitErrorf(ExitRejected, "%s holds certificates already: stoatctl keys renew-authority keeps the old ones trusted",
					flags.folder)
			}
			return createAuthority(flags, args[0], days)
		},
	}
	addAuthorityDaysFlag(c, &days)
	return c
}

func keysRenewAuthorityCommand(flags *keysFlags) *cobra.Command {
	var days int
	c := &cobra.Command{
		Use: "renew-authority FLEET", Short: "Creates a new authority beside the old one, which stays trusted until it expires",
		Long: "Copy authority.pem to all agents and operators first, then issue and copy their own files. In this order no\n" +
			"connection is refused at any time.",
		Args: cobra.ExactArgs(1), Example: "  stoatctl keys renew-authority haulage",
		RunE: func(_ *cobra.Command, args []string) error { return createAuthority(flags, args[0], days) },
	}
	addAuthorityDaysFlag(c, &days)
	return c
}

func addAuthorityDaysFlag(c *cobra.Command, days *int) {
	c.Flags().IntVar(days, "days", defaultAuthorityDays, "days until the authority expires")
}

func createAuthority(flags *keysFlags, fleet string, days int) error {
	return exitError(ExitFailed, flags.keys().CreateAuthority(fleet, time.Duration(days)*day, time.Now()))
}

func keysIssueCommand(flags *keysFlags) *cobra.Command {
	var days int
	var fleetFile string
	c := &cobra.Command{
		Use: "issue agent|operator NAME...", Short: "Issues or renews certificates",
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
				return exitError(ExitUsage, errors.New("no name is given: give names, or --fleet FILE for all agents in the file"))
			}
			for _, name := range names {
				if err := flags.keys().Issue(role, name, time.Duration(days)*day, time.Now()); err != nil {
					return exitError(ExitFailed, err)
				}
			}
			return nil
		},
	}
	c.Flags().IntVar(&days, "days", defaultCertificateDays, "days until a certificate expires")
	c.Flags().StringVar(&fleetFile, "fleet", "", "issue also for all agents in this fleet file")
	return c
}

func (a *app) keysShowCommand(flags *keysFlags) *cobra.Command {
	var warnDays int
	c := &cobra.Command{
		Use: "show", Short: "Lists the certificates and when they expire",
		Long: "Exit status 1 if a certificate has expired or expires within --warn days.", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			certificates, err := flags.keys().List()
			if err != nil {
				return exitError(ExitFailed, err)
			}
			if err := a.show(certificates, func(out io.Writer) {
				t := newTable(out, "file", "who", "until", "days left")
				for _, certificate := range certificates {
					t.AppendRow(table.Row{
						certificate.File, certificate.Subject, certificate.NotAfter.Format(time.DateOnly), int(time.Until(certificate.NotAfter) / day),
					})
				}
				t.Render()
			}); err != nil {
				return err
			}
			for _, certificate := range certificates {
				if time.Until(certificate.NotAfter) < time.Duration(warnDays)*day {
					return exitErrorf(ExitFailed, "%s: the certificate of %s runs out on %s", certificate.File, certificate.Subject,
						certificate.NotAfter.Format(time.DateOnly))
				}
			}
			return nil
		},
	}
	c.Flags().IntVar(&warnDays, "warn", 0, "exit with status 1 if a certificate expires within this many days")
	a.addJSONFlag(c)
	return c
}
