package cli

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/drill"
)

func (a *app) drill() *cobra.Command {
	c := &cobra.Command{
		Use: "drill", Short: "Plays a failure on loopback, with checkers of what must hold",
		Long: "A drill ends with status 0 if all that must hold held, and 1 if not; with --json its last line is one object. --break puts\n" +
			"in a fault that its checkers must tell.",
	}
	c.AddCommand(a.drillClaims(), a.drillRollout(), a.drillSizes())
	return group(c)
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
	c := &cobra.Command{
		Use: "claims", Short: "Operators, agents and a bad network: at most one holder of an epoch acts, ever",
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
		},
	}
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

func (a *app) drillRollout() *cobra.Command {
	var d drill.Rollout
	c := &cobra.Command{
		Use: "rollout", Short: "Rolls a fleet of real routers on loopback under load, with one agent killed midway",
		Long: "Real routers and agents, one agent an instance, stand-in members, and clients that count what came of every command. It\n" +
			"ends with every instance on one revision and no command lost. With --agent-stays-gone the rollout pauses, the\n" +
			"instance is left out by word, and it ends paused with all others done.\n\nFaults:" + faults(drill.RolloutFaults),
		Example: "  stoatctl drill rollout --instances 20 --kill-agent --json", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := knownFault(d.Break, drill.RolloutFaults); err != nil {
				return err
			}
			if d.Instances < 3 || d.Instances > 200 {
				return status(Misused, fmt.Errorf("--instances is 3 to 200, not %d", d.Instances))
			}
			self, err := os.Executable()
			if err != nil {
				return status(Failed, err)
			}
			d.Tool = self
			if d.Router == "" {
				d.Router = filepath.Join(filepath.Dir(self), "stoatdale")
			}
			if _, err := os.Stat(d.Router); err != nil {
				return status(Misused, fmt.Errorf("--router: %w", err))
			}
			a.seeded(cmd, &d.Seed)
			d.Say = a.err
			r, err := drill.RunRollout(cmd.Context(), d)
			if err != nil {
				return status(Failed, err)
			}
			return a.drilled(r, r.Report)
		},
	}
	c.Flags().IntVar(&d.Instances, "instances", 20, "routers, each with an agent of its own")
	c.Flags().BoolVar(&d.Kill, "kill-agent", false, "kill an agent in its step midway, and bring it back")
	c.Flags().BoolVar(&d.Gone, "agent-stays-gone", false, "kill an agent in its step midway, for good")
	c.Flags().BoolVar(&d.Hard, "hard", false, "the baseline: kill each router and have it started again, without a drain")
	c.Flags().StringVar(&d.Keep, "keep", "", "folder that keeps logs, stores and spans")
	c.Flags().StringVar(&d.Router, "router", "", "program of the router; that beside this program if not given")
	c.Flags().Uint64Var(&d.Seed, "seed", 0, "of all chance; drawn if not given")
	c.Flags().StringVar(&d.Break, "break", "", "fault to put in")
	a.asJSON(c)
	return c
}

func (a *app) drillSizes() *cobra.Command {
	var d drill.Sizes
	c := &cobra.Command{
		Use: "sizes", Short: "Measures how a plan step and fleet status grow with the fleet",
		Long:    "Stand-in agents in this process answer over TLS. The largest fleet by default needs 2,000 descriptors.",
		Example: "  stoatctl drill sizes --instances 20,200,2000,20000 --json", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if d.PerAgent < 1 || d.Rounds < 1 || len(d.Instances) == 0 {
				return status(Misused, fmt.Errorf("--instances, --per-agent and --rounds must be above 0"))
			}
			for _, n := range d.Instances {
				if n < 1 || n > 100000 {
					return status(Misused, fmt.Errorf("--instances: %d is not within 1 and 100000", n))
				}
			}
			r, err := drill.RunSizes(cmd.Context(), d)
			if err != nil {
				return status(Failed, err)
			}
			return a.drilled(r, r.Report)
		},
	}
	c.Flags().IntSliceVar(&d.Instances, "instances", []int{20, 200, 2000, 20000}, "sizes of the fleet")
	c.Flags().IntVar(&d.PerAgent, "per-agent", 20, "instances of one agent")
	c.Flags().IntVar(&d.Rounds, "rounds", 9, "times that status is asked for, over connections that stand")
	a.asJSON(c)
	return c
}
