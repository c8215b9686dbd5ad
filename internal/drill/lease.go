package drill

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
	"stoatdale.example/stoatdale/internal/fleet/supervisor"
)

// LeaseOptions are the parameters of the lease drill. Each round is a separate simulation in virtual time. It has a few agents,
// operators whose tools crash and restart, and a network that loses, delays, duplicates and reorders messages.
type LeaseOptions struct {
	Operators int // number of operators that work at the same time
	Rounds    int
	Seed      uint64
	Fault     string // key of LeaseFaults; an injected fault that the checks must detect; empty: none
}

// Faults of the lease drill.
const (
	faultUnfenced = "unfenced"
	faultForget   = "forget"
	faultUnkept   = "unkept"
)

// LeaseFaults maps the name of each fault that can be injected into the lease drill to its description.
var LeaseFaults = map[string]string{
	faultUnfenced: "agents carry out steps for any requester and under any epoch",
	faultForget:   "agents lose their stored lease when they restart",
	faultUnkept:   "agents confirm that they stored a record, but do not store it",
}

// LeaseReport is the result of the lease drill. Its counts are over all rounds.
type LeaseReport struct {
	Report
	Operators          int `json:"operators"`
	Rounds             int `json:"rounds"`
	LeasesAcquired     int `json:"claims"`
	Denied             int `json:"denied"` // coordinators that found the lease held by another, or were fenced
	StepsBegun         int `json:"steps"`  // steps that agents began
	StepsNotApplied    int `json:"undone"` // begun steps that were not applied
	RolloutsEnded      int `json:"ended"`
	Crashes            int `json:"deaths"` // of tools and agents
	StaleSteps         int `json:"late"`   // steps that agents rejected: under an older epoch or an expired lease
	MessagesLost       int `json:"lost"`
	MessagesDuplicated int `json:"doubled"`
	HistoriesUnchecked int `json:"unchecked"` // histories whose check timed out
}

const (
	roundSeconds = 90.0 // virtual seconds in a round

	minAgents       = 3
	agentsSpread    = 3   // a round has minAgents to minAgents+agentsSpread-1 agents
	agentFaults     = 4   // agent crashes and clock jumps scheduled in a round
	clockRateSpread = 0.2 // difference between the rates of the fastest and the slowest clock of an agent
	slowestClock    = 0.9 // rate of the slowest clock, in its seconds for each virtual second

	operatorStartSpread = 0.002 // virtual seconds within which all operators begin: almost the same time

	leaseSeconds = 5 // term of the lease that agents grant
)

// RunLease runs the lease drill. It ends after its last round, at the first violation, or when ctx is canceled.
func RunLease(ctx context.Context, options LeaseOptions) LeaseReport {
	began := time.Now()
	report := LeaseReport{
		Report:    Report{Drill: "claims", Seed: options.Seed, OK: true},
		Operators: options.Operators, Rounds: options.Rounds,
	}
	for number := range options.Rounds {
		if ctx.Err() != nil {
			report.Fail("interrupted in round %d", number)
			break
		}
		round := newLeaseRound(options, number, &report)
		round.run()
		round.checkHistory()
		if !report.OK {
			break
		}
	}
	report.Seconds = time.Since(began).Seconds()
	return report
}

// leaseRound is the simulation of one round. It runs on one goroutine.
type leaseRound struct {
	options          LeaseOptions
	number           int
	report           *LeaseReport
	rng              *rand.Rand // the only source of randomness; the order of draws determines the round
	now              float64    // virtual seconds
	events           eventQueue
	sequence         uint64 // last sequence number; events and history share one sequence, so all that happens has one order
	fleet            *rollout.Fleet
	instanceNames    []string // one instance for each agent
	limits           supervisor.Limits
	agents           []*simulatedAgent
	operators        []*simulatedOperator
	toolsStarted     int           // number of tools that all operators have started
	newestStored     lease.Version // version of the newest record that a majority confirmed to have stored
	history          []porcupine.Operation
	stepRecordSentAt map[stepKey]int64 // timestamp at which a step's record was first sent to be stored
}

func newLeaseRound(options LeaseOptions, number int, report *LeaseReport) *leaseRound {
	r := &leaseRound{
		options: options, number: number, report: report,
		rng:              rand.New(rand.NewPCG(options.Seed, uint64(number))),
		stepRecordSentAt: map[stepKey]int64{},
		limits:           supervisor.DefaultLimits(),
		fleet: &rollout.Fleet{
			ZoneMinAvailable: []int{0}, MinAvailable: 1,
			Timing: rollout.Timing{SoakSeconds: 0.3, StaleAfterSeconds: 1.5, ContactTimeoutSeconds: 6, StepTimeoutSeconds: 20},
		},
	}
	r.limits.HealthCheckSeconds = 0.2
	r.limits.CounterReadSeconds = 5
	r.limits.TerminationGraceSeconds = 1
	agents := minAgents + r.rng.IntN(agentsSpread)
	for i := range agents {
		r.fleet.Instances = append(r.fleet.Instances, rollout.Instance{Agent: i})
		r.instanceNames = append(r.instanceNames, fmt.Sprint("n", i))
		agent := newSimulatedAgent(r, i)
		r.agents = append(r.agents, agent)
		agent.start()
	}
	for i := range options.Operators {
		operator := &simulatedOperator{round: r, index: i}
		r.operators = append(r.operators, operator)
		r.after(r.rng.Float64()*operatorStartSpread, operator.start)
	}
	for range agentFaults {
		r.after(r.rng.Float64()*roundSeconds, r.injectAgentFault)
	}
	return r
}

// after schedules a call to run after the given number of virtual seconds.
func (r *leaseRound) after(seconds float64, call func()) {
	r.sequence++
	heap.Push(&r.events, event{at: r.now + seconds, sequence: r.sequence, call: call})
}

// run executes events in order until the round ends or a check fails.
func (r *leaseRound) run() {
	for len(r.events) > 0 && r.report.OK {
		next := heap.Pop(&r.events).(event)
		if next.at > roundSeconds {
			return
		}
		r.now = next.at
		next.call()
	}
}

// recordViolation records a violation in the report, with the round and seed that reproduce it.
func (r *leaseRound) recordViolation(format string, args ...any) {
	r.report.Fail("round %d, seed %d: %s", r.number, r.options.Seed, fmt.Sprintf(format, args...))
}

// injectAgentFault makes the clock of a random agent jump, by -18 to 42 seconds, or crashes the agent.
func (r *leaseRound) injectAgentFault() {
	agent := r.agents[r.rng.IntN(len(r.agents))]
	if r.rng.IntN(4) == 0 {
		agent.clockOffset += 60 * (r.rng.Float64() - 0.3)
		return
	}
	agent.crash(0.1 + r.rng.ExpFloat64()*5)
}
