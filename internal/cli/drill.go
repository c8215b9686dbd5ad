package cli

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/drill"
)

const (
	minRolloutInstances = 3
	maxRolloutInstances = 200
	maxSizeInstances    = 100000
)

func (a *app) drillCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "drill", Short: "Plays a failure on loopback, with checkers of what must hold",
		Long: "A drill ends with status 0 if all that must hold held, and 1 if not; with --json its last line is one object. --break puts\n" +
			"in a fault that its checkers must tell.",
	}
	c.AddCommand(a.drillLeaseCommand(), a.drillRolloutCommand(), a.drillSizesCommand())
	return commandGroup(c)
}

// drawSeed draws a seed if the flag --seed was not given, and prints it on standard error.
func (a *app) drawSeed(cmd *cobra.Command, seed *uint64) {
	if !cmd.Flags().Changed("seed") {
		*seed = rand.Uint64()
	}
	printf(a.stderr, "seed %d\n", *seed)
}

// describeFaults lists faults by name, a line each, with what they do.
func describeFaults(known map[string]string) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(known)) {
		fmt.Fprintf(&b, "\n  %s: %s", name, known[name])
	}
	return b.String()
}

func checkFaultName(name string, known map[string]string) error {
	if _, ok := known[name]; name != "" && !ok {
		return exitErrorf(ExitUsage, "--break: there is no fault %q; there are%s", name, describeFaults(known))
	}
	return nil
}

func (a *app) drillLeaseCommand() *cobra.Command {
	var options drill.LeaseOptions
	c := &cobra.Command{
		Use: "claims", Short: "Operators, agents and a bad network: at most one holder of an epoch acts, ever",
		Long: "The decisions of plan, claim and agents in virtual time, on a network that loses, delays, repeats and reorders, with tools and\n" +
			"agents that die. Histories are checked for an order in which one step at a time is taken by the holder of the epoch.\n\nFaults:" +
			describeFaults(drill.LeaseFaults),
		Example: "  stoatctl drill claims --operators 2 --rounds 200 --seed 1 --json", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkFaultName(options.Fault, drill.LeaseFaults); err != nil {
				return err
			}
			if options.Operators < 1 || options.Rounds < 1 {
				return exitError(ExitUsage, errors.New("--operators and --rounds must be above 0"))
			}
			a.drawSeed(cmd, &options.Seed)
			report := drill.RunLease(cmd.Context(), options)
			return a.reportDrill(report, report.Report)
		},
	}
	c.Flags().IntVar(&options.Operators, "operators", 2, "operators at once")
	c.Flags().IntVar(&options.Rounds, "rounds", 200, "worlds that are played")
	c.Flags().Uint64Var(&options.Seed, "seed", 0, "of all chance; drawn if not given")
	c.Flags().StringVar(&options.Fault, "break", "", "fault to put in")
	a.addJSONFlag(c)
	return c
}

// reportDrill prints a drill's report, and returns the exit error of the promise that broke.
func (a *app) reportDrill(report any, r drill.Report) error {
	if err := drill.Print(a.stdout, a.asJSON, report); err != nil {
		return err
	}
	if !r.OK {
		return exitErrorf(ExitFailed, "drill %s, seed %d: %s", r.Drill, r.Seed, r.Violation)
	}
	return nil
}

func (a *app) drillRolloutCommand() *cobra.Command {
	var options drill.RolloutOptions
	c := &cobra.Command{
		Use: "rollout", Short: "Rolls a fleet of real routers on loopback under load, with one agent killed midway",
		Long: "Real routers and agents, one agent an instance, stand-in members, and clients that count what came of every command. It\n" +
			"ends with every instance on one revision and no command lost. With --agent-stays-gone the rollout pauses, the\n" +
			"instance is left out by word, and it ends paused with all others done.\n\nFaults:" + describeFaults(drill.RolloutFaults),
		Example: "  stoatctl drill rollout --instances 20 --kill-agent --json", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkFaultName(options.Fault, drill.RolloutFaults); err != nil {
				return err
			}
			if options.Instances < minRolloutInstances || options.Instances > maxRolloutInstances {
				return exitErrorf(ExitUsage, "--instances is %d to %d, not %d", minRolloutInstances, maxRolloutInstances, options.Instances)
			}
			if err := findPrograms(&options); err != nil {
				return err
			}
			a.drawSeed(cmd, &options.Seed)
			options.Progress = a.stderr
			report, err := drill.RunRollout(cmd.Context(), options)
			if err != nil {
				return exitError(ExitFailed, err)
			}
			return a.reportDrill(report, report.Report)
		},
	}
	c.Flags().IntVar(&options.Instances, "instances", 20, "routers, each with an agent of its own")
	c.Flags().BoolVar(&options.KillAgent, "kill-agent", false, "kill an agent in its step midway, and bring it back")
	c.Flags().BoolVar(&options.AgentStaysGone, "agent-stays-gone", false, "kill an agent in its step midway, for good")
	c.Flags().BoolVar(&options.HardRestart, "hard", false, "the baseline: kill each router and have it started again, without a drain")
	c.Flags().StringVar(&options.Folder, "keep", "", "folder that keeps logs, stores and spans")
	c.Flags().StringVar(&options.RouterProgram, "router", "", "program of the router; that beside this program if not given")
	c.Flags().Uint64Var(&options.Seed, "seed", 0, "of all chance; drawn if not given")
	c.Flags().StringVar(&options.Fault, "break", "", "fault to put in")
	a.addJSONFlag(c)
	return c
}

// findPrograms sets the programs of the agents and, if it was not given, of the routers.
func findPrograms(options *drill.RolloutOptions) error {
	self, err := os.Executable()
	if err != nil {
		return exitError(ExitFailed, err)
	}
	options.ToolProgram = self
	if options.RouterProgram == "" {
		options.RouterProgram = filepath.Join(filepath.Dir(self), "stoatdale")
	}
	if _, err := os.Stat(options.RouterProgram); err != nil {
		return exitErrorf(ExitUsage, "--router: %w", err)
	}
	return nil
}

func (a *app) drillSizesCommand() *cobra.Command {
	var options drill.SizeOptions
	c := &cobra.Command{
		Use: "sizes", Short: "Measures how a plan step and fleet status grow with the fleet",
		Long:    "Stand-in agents in this process answer over TLS. The largest fleet by default needs 2,000 descriptors.",
		Example: "  stoatctl drill sizes --instances 20,200,2000,20000 --json", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.PerAgent < 1 || options.Rounds < 1 || len(options.Instances) == 0 {
				return exitError(ExitUsage, errors.New("--instances, --per-agent and --rounds must be above 0"))
			}
			for _, n := range options.Instances {
				if n < 1 || n > maxSizeInstances {
					return exitErrorf(ExitUsage, "--instances: %d is not within 1 and %d", n, maxSizeInstances)
				}
			}
			report, err := drill.RunSizes(cmd.Context(), options)
			if err != nil {
				return exitError(ExitFailed, err)
			}
			return a.reportDrill(report, report.Report)
		},
	}
	c.Flags().IntSliceVar(&options.Instances, "instances", []int{20, 200, 2000, 20000}, "sizes of the fleet")
	c.Flags().IntVar(&options.PerAgent, "per-agent", 20, "instances of one agent")
	c.Flags().IntVar(&options.Rounds, "rounds", 9, "times that status is asked for, over connections that stand")
	a.addJSONFlag(c)
	return c
}
