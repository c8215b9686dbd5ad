package model

import (
	"math/rand/v2"
	"slices"

	"stoatdale.example/stoatdale/internal/inflight"
	"stoatdale.example/stoatdale/internal/router"
)

// Policy decides where commands go. Only the omniscient baseline uses information that a real router does not get. Times
// are virtual and in seconds.
type Policy interface {
	// Add receives a new command.
	Add(now float64, id uint32, c router.Command)
	// ClientGone reports that the client no longer waits for a command.
	ClientGone(now float64, id uint32)
	// AttemptEnded reports the result of an attempt of a command.
	AttemptEnded(now float64, id uint32, result router.AttemptResult)
	// ReviewDue does the work that is due. It returns the time of the next review and the endpoints whose health is to
	// be checked.
	ReviewDue(now float64) (next float64, healthChecks []int)
	// UpdateEndpoints replaces the endpoint list.
	UpdateEndpoints(now float64, endpoints []router.EndpointInfo)
	// HealthChecked reports the result of a health check: whether it succeeded, its duration, and the position and role
	// of the backend.
	HealthChecked(now float64, endpoint int, ok bool, took, position float64, primary bool)
}

// policyConstructors maps the names of policies to their constructors. All but module are baselines for comparison with
// it.
var policyConstructors map[string]func(r *instance) Policy

func init() {
	policyConstructors = map[string]func(r *instance) Policy{
		"module":      newModule,
		"primary":     newBaseline(primaryOnly),
		"any":         newBaseline(anyReplica),
		"window":      newBaseline(primaryForAWindow),
		"round-robin": newBaseline(roundRobin),
		"least":       newBaseline(leastAttempts),
		"two-choices": newBaseline(twoChoices),
		"ceiling": func(r *instance) Policy {
			b := newBaseline(omniscient)(r).(*baselinePolicy)
			b.seesBackends = true
			return b
		},
	}
}

// Policies returns the sorted names of all policies.
func Policies() []string {
	var names []string
	for n := range policyConstructors {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// module is the policy of the router module that is used in production.
type module struct {
	*inflight.Tracker
	router *router.Router
}

func newModule(r *instance) Policy {
	seed := rand.New(rand.NewPCG(r.world.seed, hashName("routers")+uint64(r.index)<<8+uint64(r.starts))).Uint64()
	m := router.New(r.config(), seed)
	return &module{inflight.New(m, r), m}
}

// ReviewDue implements Policy.
func (m *module) ReviewDue(now float64) (float64, []int) {
	next, work := m.Tracker.ReviewDue(now)
	return next, work.HealthCheck
}

// UpdateEndpoints implements Policy.
func (m *module) UpdateEndpoints(now float64, endpoints []router.EndpointInfo) {
	m.router.UpdateEndpoints(now, endpoints, true, false)
}

// HealthChecked implements Policy.
func (m *module) HealthChecked(now float64, endpoint int, ok bool, took, position float64, primary bool) {
	result := router.Answered
	if !ok {
		result = router.ConnectFailed
	}
	m.router.HealthChecked(now, endpoint, result, took, position, primary)
}
