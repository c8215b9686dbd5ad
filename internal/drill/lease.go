package drill

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"

	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/plan"
	"stoatdale.example/stoatdale/internal/fleet/tend"
)

// Claims is what the drill of claims is played with. Each round is a world of its own in virtual time: a few
// agents, operators whose tools die and start again, and a network that loses, delays, repeats and reorders.
type Claims struct {
	Operators int
	Rounds    int
	Seed      uint64
	Break     string // "", or a fault that the checkers must tell: see ClaimFaults
}

// ClaimFaults are the faults that can be put in, each with what it does.
var ClaimFaults = map[string]string{
	"unfenced": "agents carry out a step whoever asks for it, under any epoch",
	"forget":   "agents that start again have forgotten what they promised",
	"unkept":   "agents say that they keep records, and do not",
}

// ClaimsReport is how it went.
type ClaimsReport struct {
	Report
	Operators int `json:"operators"`
	Rounds    int `json:"rounds"`
	Claims    int `json:"claims"`  // won
	Denied    int `json:"denied"`  // drivers that were told who holds the claim, or were fenced
	Steps     int `json:"steps"`   // begun by agents
	Undone    int `json:"undone"`  // of them that came to nothing
	Ended     int `json:"ended"`   // rollouts
	Deaths    int `json:"deaths"`  // of tools and agents
	Late      int `json:"late"`    // steps refused since they came under an older epoch or a claim that ran out
	Lost      int `json:"lost"`    // messages
	Doubled   int `json:"doubled"` // messages
	Unchecked int `json:"unchecked"`
}

const (
	roundLasts = 90.0 // virtual seconds
	lossy      = 0.08
	doubling   = 0.08
	slow       = 0.06
)

// RunClaims plays the drill.
func RunClaims(ctx context.Context, c Claims) ClaimsReport {
	began := time.Now()
	r := ClaimsReport{Report: Report{Drill: "claims", Seed: c.Seed, OK: true}, Operators: c.Operators, Rounds: c.Rounds}
	for n := range c.Rounds {
		if ctx.Err() != nil {
			r.Break("interrupted in round %d", n)
			break
		}
		w := newTheatre(c, n, &r)
		w.play()
		w.judge()
		if !r.OK {
			break
		}
	}
	r.Seconds = time.Since(began).Seconds()
	return r
}

// theatre is one round.
type theatre struct {
	Claims
	n      int
	report *ClaimsReport
	rng    *rand.Rand
	now    float64
	events queue
	order  uint64
	fleet  *plan.Fleet
	names  []string
	limits tend.Limits
	agents []*actor
	tools  []*console
	spoken int           // holders so far
	kept   claim.Version // newest record that a majority was said to keep
	ops    []porcupine.Operation
	acts   map[string]int64 // when the record of a step began to be kept, by holder and number
}

func newTheatre(c Claims, n int, r *ClaimsReport) *theatre {
	w := &theatre{
		Claims: c, n: n, report: r, rng: rand.New(rand.NewPCG(c.Seed, uint64(n))), acts: map[string]int64{},
		limits: tend.DefaultLimits(),
	}
	w.limits.HealthCheckSeconds, w.limits.CounterReadSeconds, w.limits.TerminationGraceSeconds = 0.2, 5, 1
	count := 3 + w.rng.IntN(3)
	w.fleet = &plan.Fleet{ZoneMinAvailable: []int{0}, MinAvailable: 1, Timing: plan.Timing{SoakSeconds: 0.3, StaleAfterSeconds: 1.5, ContactTimeoutSeconds: 6, StepTimeoutSeconds: 20}}
	for i := range count {
		w.fleet.Instances = append(w.fleet.Instances, plan.Instance{Agent: i})
		w.names = append(w.names, fmt.Sprint("n", i))
		a := &actor{w: w, i: i, drift: 0.9 + 0.2*w.rng.Float64()}
		a.record = tend.Record{ShouldRun: true, Revision: "a", Incarnation: 1}
		a.router.runs, a.router.mark = true, 1
		w.agents = append(w.agents, a)
		a.birth()
	}
	for i := range c.Operators {
		t := &console{w: w, i: i}
		w.tools = append(w.tools, t)
		w.at(w.rng.Float64()*0.002, t.start) // within two milliseconds
	}
	for range 4 {
		w.at(w.rng.Float64()*roundLasts, w.mishap)
	}
	return w
}

func (w *theatre) at(in float64, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + in, w.order, do})
}

func (w *theatre) play() {
	for len(w.events) > 0 && w.report.OK {
		e := heap.Pop(&w.events).(event)
		if e.at > roundLasts {
			return
		}
		w.now = e.at
		e.do()
	}
}

// mishap ends an agent, or has its clock leap.
func (w *theatre) mishap() {
	a := w.agents[w.rng.IntN(len(w.agents))]
	if w.rng.IntN(4) == 0 {
		a.leap += 60 * (w.rng.Float64() - 0.3)
		return
	}
	a.die(0.1 + w.rng.ExpFloat64()*5)
}
