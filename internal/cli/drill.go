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
		Use: "drill", Short: "Runs a failure drill and checks what must hold during the failure",
		Long: "A drill exits with status 0 if all checks passed and 1 if one failed. With --json the last line of its output is one\n" +
			"JSON object. --break injects a fault that the checks must detect.",
	}
	c.AddCommand(a.drillLeaseCommand(), a.drillRolloutCommand(), a.drillSizesCommand())
	return commandGroup(c)
}

// drawSeed draws a random seed if the flag --seed was not given, and prints the seed on standard error.
func (a *app) drawSeed(cmd *cobra.Command, seed *uint64) {
	if !cmd.Flags().Changed("seed") {
		*seed = rand.Uint64()
	}
	printf(a.stderr, "seed %d\n", *seed)
}

// describeFaults returns one line for each fault, sorted by name, with its description.
func describeFaults(known map[string]string) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(known)) {
		fmt.Fprintf(&b, "\n  %s: %s", name, known[name])
	}
	return b.String()
}

func checkFaultName(name string, known map[string]string) error {
	if _, ok := known[name]; name != "" && !ok {
		return exitErrorf(ExitUsage, "--break: there is no fault %q; the faults are:%s", name, describeFaults(known))
	}
	return nil
}

func (a *app) drillLeaseCommand() *cobra.Command {
	var options drill.LeaseOptions
	c := &cobra.Command{
		Use: "claims", Short: "Checks that only the holder of the claim acts, despite crashes and a faulty network",
		Long: "Runs the real planner, claim and agent decisions in virtual time, on a network that loses, delays, duplicates and\n" +
			"reorders messages, while operators' tools and agents crash. The history of each round must have an\n" +
			"order in which the holder of the epoch takes one step at a time.\n\nFaults:" +
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
	c.Flags().IntVar(&options.Operators, "operators", 2, "number of operators that work at the same time")
	c.Flags().IntVar(&options.Rounds, "rounds", 200, "number of simulated rounds")
	c.Flags().Uint64Var(&options.Seed, "seed", 0, "seed of all random choices; drawn if not given")
	c.Flags().StringVar(&options.Fault, "break", "", "fault to inject")
	a.addJSONFlag(c)
	return c
}

// reportDrill prints a drill's report, and returns an exit error if a check failed.
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
		Use: "rollout", Short: "Rolls out a revision to real routers on loopback under load, and can kill an agent midway",
		Long: "Runs real routers, one agent for each, simulated backends, and clients that count the outcome of every command. In the\n" +
			"end every instance must run the same revision and no command may be lost. With --agent-stays-gone the rollout pauses, the\n" +
			"drill resumes it without that agent's instance, and it must end paused with all others done.\n\nFaults:" +
			describeFaults(drill.RolloutFaults),
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
	c.Flags().IntVar(&options.Instances, "instances", 20, "number of routers, each with its own agent")
	c.Flags().BoolVar(&options.KillAgent, "kill-agent", false, "kill an agent during a step midway, and start it again")
	c.Flags().BoolVar(&options.AgentStaysGone, "agent-stays-gone", false, "kill an agent during a step midway, and leave it down")
	c.Flags().BoolVar(&options.HardRestart, "hard", false, "run the baseline: kill each router without a drain, for its agent to restart")
	c.Flags().StringVar(&options.Folder, "keep", "", "folder in which to keep logs, stores and trace spans")
	c.Flags().StringVar(&options.RouterProgram, "router", "", "program of the router; if not given, stoatdale beside this program")
	c.Flags().Uint64Var(&options.Seed, "seed", 0, "seed of all random choices; drawn if not given")
	c.Flags().StringVar(&options.Fault, "break", "", "fault to inject")
	a.addJSONFlag(c)
	return c
}

// findPrograms sets the agents' program to this one and, if --router was not given, the routers' program to the stoatdale
// beside it. It returns an error if there is no router program.
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
		Use: "sizes", Short: "Measures how the times of a planner decision and of fleet status grow with the fleet",
		Long:    "Simulated agents in this process answer over TLS. The largest fleet by default needs 2,000 file descriptors.",
		Example: "  stoatctl drill sizes --instances 20,200,2000,20000 --json", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.PerAgent < 1 || options.Rounds < 1 || len(options.Instances) == 0 {
				return exitError(ExitUsage, errors.New("--instances, --per-agent and --rounds must be above 0"))
			}
			for _, n := range options.Instances {
				if n < 1 || n > maxSizeInstances {
					return exitErrorf(ExitUsage, "--instances: %d is not between 1 and %d", n, maxSizeInstances)
				}
			}
			report, err := drill.RunSizes(cmd.Context(), options)
			if err != nil {
				return exitError(ExitFailed, err)
			}
			return a.reportDrill(report, report.Report)
		},
	}
	c.Flags().IntSliceVar(&options.Instances, "instances", []int{20, 200, 2000, 20000}, "fleet sizes to measure, in instances")
	c.Flags().IntVar(&options.PerAgent, "per-agent", 20, "instances for each agent")
	c.Flags().IntVar(&options.Rounds, "rounds", 9, "status requests to time for each fleet, over established connections")
	a.addJSONFlag(c)
	return c
}
