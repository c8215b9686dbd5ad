package rollout

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	_ "stoatdale.example/stoatdale/internal/lab/fixed"
)

// fleetModel simulates a fleet in a rollout. Instances stop without a step, agents become unreachable and return, steps
// end with every result, and tools continue the rollout of another tool.
type fleetModel struct {
	fleet    *Fleet
	now      float64
	actual   []Observation // true state of each instance
	observed []Observation // what the planner last saw of each instance
	silent   []bool        // by agent; true for agents that cannot be reached
	planner  *Planner
}

func drawFleet(t *rapid.T) *Fleet {
	f := &Fleet{Timing: testTiming, MinAvailable: rapid.IntRange(0, 5).Draw(t, "fleet minimum")}
	for zone := range rapid.IntRange(1, 3).Draw(t, "zones") {
		f.ZoneMinAvailable = append(f.ZoneMinAvailable, rapid.IntRange(0, 2).Draw(t, "zone minimum"))
		for range rapid.IntRange(1, 4).Draw(t, "instances") {
			f.Instances = append(f.Instances, Instance{Zone: zone, Agent: len(f.Instances)})
		}
	}
	return f
}

func TestNoOrderOfEventsBreaksMinimumsOrOneAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		m := &fleetModel{
			fleet: f, actual: allServing(f, 0), observed: allServing(f, 0), silent: make([]bool, len(f.Instances)),
			planner: NewPlanner(f, Rollout{ID: "r", Revision: "b", State: Running}),
		}
		for range rapid.IntRange(1, 120).Draw(t, "turns") {
			m.now += rapid.Float64Range(0, 3).Draw(t, "passes")
			m.event(t)
			m.observe()
			m.follow(t, m.planner.Next(m.now, m.observed, RequestNone))
			if m.planner.Rollout.State.Terminal() {
				return
			}
		}
	})
}

// event lets one random event happen to an instance, an agent, a step or the tool.
func (m *fleetModel) event(t *rapid.T) {
	pick := rapid.IntRange(0, len(m.actual)-1)
	o := &m.actual[pick.Draw(t, "which")]
	switch rapid.IntRange(0, 8).Draw(t, "event") {
	case 0:
		o.State = ProcessDown // stops without a step
	case 1:
		m.silent[pick.Draw(t, "silent")] = true
	case 2, 3:
		clear(m.silent)
	case 4:
		m.planner = NewPlanner(m.fleet, m.planner.Rollout) // another tool continues the rollout
	case 5, 6:
		m.endStep(t, o)
	default:
		if o.State == ProcessDown {
			o.State = ProcessReady
		}
	}
}

func (m *fleetModel) endStep(t *rapid.T, o *Observation) {
	if o.LastStep.Number == 0 || o.LastResult != StepPending {
		return
	}
	recordStep(m.actual, o.LastStep, StepResult(rapid.IntRange(1, 3).Draw(t, "result")))
	if o.LastResult == StepNotApplied {
		o.State = ProcessReady
	}
}

// observe updates the observations of those instances whose agents are not silent.
func (m *fleetModel) observe() {
	for i := range m.actual {
		m.actual[i].ReadySeconds++
		if !m.silent[i] {
			m.observed[i] = m.actual[i]
			m.observed[i].SeenAt = m.now
		}
	}
}

// follow checks the planner's decision and carries it out.
func (m *fleetModel) follow(t *rapid.T, d Decision) {
	if d.Action == ActionBeginStep {
		m.checkStep(t, d.Step)
		recordStep(m.actual, d.Step, StepPending)
		m.actual[d.Step.Instance].State = ProcessDraining
	}
	if d.Action != ActionWait && d.Action != ActionResendStep {
		m.planner.Rollout = d.Rollout
	}
	if d.Action == ActionFinish && d.Rollout.State == Paused {
		m.planner.Rollout.State = Running // as if an operator resumed it
	}
	if d.Action == ActionFinish && d.Rollout.State == Complete {
		for i := range m.actual {
			assert.Equal(t, "b", m.actual[i].Revision)
		}
	}
}

// checkStep checks that no other step is pending, and that the minimums hold without the step's instance if that
// instance serves.
func (m *fleetModel) checkStep(t *rapid.T, step Step) {
	pending := 0
	for i := range m.actual {
		if m.actual[i].LastStep.Number != 0 && m.actual[i].LastResult == StepPending {
			pending++
		}
	}
	assert.Zero(t, pending, "another step is pending")
	zone := m.fleet.Instances[step.Instance].Zone
	inZone, inFleet := 0, 0
	for i := range m.observed {
		if i == step.Instance || !m.seenReady(i) {
			continue
		}
		inFleet++
		if m.fleet.Instances[i].Zone == zone {
			inZone++
		}
	}
	notServing := m.observed[step.Instance].State != ProcessReady
	enough := inZone >= m.fleet.ZoneMinAvailable[zone] && inFleet >= m.fleet.MinAvailable
	assert.True(t, notServing || enough, "a step of a serving instance goes below a minimum")
}

func (m *fleetModel) seenReady(instance int) bool {
	o := &m.observed[instance]
	return m.now-o.SeenAt <= testTiming.StaleAfterSeconds && o.State == ProcessReady
}
