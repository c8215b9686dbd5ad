package cli

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"

	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/drill"
)

func (a *app) drill() *cobra.Command {
	c := &cobra.Command{Use: "drill", Short: "Plays a failure on loopback, with checkers of what must hold",
		Long: "A drill ends with status 0 if all that must hold held, and 1 if not; with --json its last line is one object. --break puts\n" +
			"in a fault that its checkers must tell."}
	c.AddCommand(a.drillClaims())
	return c
}

// seeded draws a seed if none was given, and tells it.
func (a *app) seeded(c *cobra.Command, seed *uint64) {
	if !c.Flags().Changed("seed") {
		*seed = rand.Uint64()
	}
	fmt.Fprintf(a.err, "seed %d\n", *seed)
}

func faults(known map[string]string) string {
	var names []string
	for n := range known {
		names = append(names, n)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, n := range names {
		fmt.Fprintf(&b, "\n  %s: %s", n, known[n])
	}
	return b.String()
}

func knownFault(name string, known map[string]string) error {
	if _, ok := known[name]; name != "" && !ok {
		return status(Misused, fmt.Errorf("--break: there is no fault %q; there are%s", name, faults(known)))
	}
	return nil
}

func (a *app) drillClaims() *cobra.Command {
	var d drill.Claims
	c := &cobra.Command{Use: "claims", Short: "Operators, agents and a bad network: at most one holder of an epoch acts, ever",
		Long: "The decisions of plan, claim and agents in virtual time, on a network that loses, delays, repeats and reorders, with tools and\n" +
			"agents that die. Histories are checked for an order in which one step at a time is taken by the holder of the epoch.\n\nFaults:" +
			faults(drill.ClaimFaults),
		Example: "  stoatctl drill claims --operators 2 --rounds 200 --seed 1 --json", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := knownFault(d.Break, drill.ClaimFaults); err != nil {
				return err
			}
			if d.Operators < 1 || d.Rounds < 1 {
				return status(Misused, fmt.Errorf("--operators and --rounds must be above 0"))
			}
			a.seeded(cmd, &d.Seed)
			r := drill.RunClaims(cmd.Context(), d)
			return a.drilled(r, r.Report)
		}}
	c.Flags().IntVar(&d.Operators, "operators", 2, "operators at once")
	c.Flags().IntVar(&d.Rounds, "rounds", 200, "worlds that are played")
	c.Flags().Uint64Var(&d.Seed, "seed", 0, "of all chance; drawn if not given")
	c.Flags().StringVar(&d.Break, "break", "", "fault to put in")
	a.asJSON(c)
	return c
}

func (a *app) drilled(report any, r drill.Report) error {
	if err := drill.Print(a.out, a.json, report); err != nil {
		return err
	}
	if !r.OK {
		return status(Failed, fmt.Errorf("drill %s, seed %d: %s", r.Drill, r.Seed, r.Broken))
	}
	return nil
}
