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

// LeaseOptions are the parameters of the lease drill. Each round is a simulation of its own in virtual time: a few agents,
// operators whose tools crash and start again, and a network that loses, delays, duplicates and reorders messages.
type LeaseOptions struct {
	Operators int // at once
	Rounds    int
	Seed      uint64
	Fault     string // a key of LeaseFaults that the checkers must find; empty: none
}

// Faults of the lease drill.
const (
	faultUnfenced = "unfenced"
	faultForget   = "forget"
	faultUnkept   = "unkept"
)

// LeaseFaults are the faults that can be injected into the lease drill, each with what it does.
var LeaseFaults = map[string]string{
	faultUnfenced: "agents carry out a step whoever asks for it, under any epoch",
	faultForget:   "agents that start again have forgotten what they promised",
	faultUnkept:   "agents say that they keep records, and do not",
}

// LeaseReport is the result of the lease drill. Its counts are over all rounds.
type LeaseReport struct {
	Report
	Operators          int `json:"operators"`
	Rounds             int `json:"rounds"`
	LeasesAcquired     int `json:"claims"`
	Denied             int `json:"denied"` // coordinators that met another holder, or were fenced
	StepsBegun         int `json:"steps"`  // by agents
	StepsNotApplied    int `json:"undone"` // of them
	RolloutsEnded      int `json:"ended"`
	Crashes            int `json:"deaths"` // of tools and agents
	StaleSteps         int `json:"late"`   // rejected: under an older epoch or an expired lease
	MessagesLost       int `json:"lost"`
	MessagesDuplicated int `json:"doubled"`
	HistoriesUnchecked int `json:"unchecked"` // the checker ran out of time
}

const (
	roundSeconds = 90.0 // of virtual time

	minAgents       = 3
	agentsSpread    = 3 // agents are minAgents to minAgents+agentsSpread-1
	agentFaults     = 4 // crashes and clock jumps in a round
	clockRateSpread = 0.2
	slowestClock    = 0.9

	operatorStartSpread = 0.002 // seconds: operators begin at almost the same time

	leaseSeconds = 5 // that agents grant
)

// RunLease runs the lease drill until its last round, the first violation, or ctx is canceled.
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
	options       LeaseOptions
	number        int
	report        *LeaseReport
	rng           *rand.Rand // the only source of chance: the order of draws decides the round
	now           float64    // virtual seconds
	events        eventQueue
	sequence      uint64 // of events and of the history: all that happens is in one order
	fleet         *rollout.Fleet
	instanceNames []string // one instance an agent
	limits        supervisor.Limits
	agents        []*simulatedAgent
	operators     []*simulatedOperator
	toolsStarted  int           // by all operators
	newestStored  lease.Version // newest record that a majority confirmed to store
	history       []porcupine.Operation
	stepStored    map[stepKey]int64 // when the record of a step was first sent to be stored
}

func newLeaseRound(options LeaseOptions, number int, report *LeaseReport) *leaseRound {
	r := &leaseRound{
		options: options, number: number, report: report,
		rng:        rand.New(rand.NewPCG(options.Seed, uint64(number))),
		stepStored: map[stepKey]int64{},
		limits:     supervisor.DefaultLimits(),
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

// after schedules a call in so many virtual seconds.
func (r *leaseRound) after(seconds float64, call func()) {
	r.sequence++
	heap.Push(&r.events, event{at: r.now + seconds, sequence: r.sequence, call: call})
}

// run carries out events up to the round's end or the first violation.
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

// violation records a broken promise with what is needed to see it again.
func (r *leaseRound) violation(format string, args ...any) {
	r.report.Fail("round %d, seed %d: %s", r.number, r.options.Seed, fmt.Sprintf(format, args...))
}

// injectAgentFault has an agent crash, or its clock jump.
func (r *leaseRound) injectAgentFault() {
	agent := r.agents[r.rng.IntN(len(r.agents))]
	if r.rng.IntN(4) == 0 {
		agent.clockOffset += 60 * (r.rng.Float64() - 0.3)
		return
	}
	agent.crash(0.1 + r.rng.ExpFloat64()*5)
}
