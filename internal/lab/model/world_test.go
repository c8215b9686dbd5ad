package model

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"stoatdale.example/stoatdale/internal/lab/invariant"
	"stoatdale.example/stoatdale/internal/router"
)

// faultyPolicy is a baseline with a bug, which makes it violate one property.
type faultyPolicy struct {
	*baselinePolicy
	bug string
}

func (b *faultyPolicy) Add(now float64, id uint32, c router.Command) {
	b.baselinePolicy.Add(now, id, c)
	tracked := b.commands[id]
	if tracked != nil && b.bug == "after the end" {
		b.instance.Reject(id, 0)
	}
	if tracked != nil && (b.bug == "after the end" || b.bug == "two at once") {
		b.startAttempt(tracked)
	}
}

func (b *faultyPolicy) AttemptEnded(now float64, id uint32, result router.AttemptResult) {
	tracked := b.commands[id]
	switch {
	case tracked == nil || result.Result == router.Answered:
	case b.bug == "silent":
		delete(b.commands, id)
		return
	case b.bug == "again" && result.Result == router.ConnectionLost:
		b.startAttempt(tracked)
		return
	}
	b.baselinePolicy.AttemptEnded(now, id, result)
}

// A checker that cannot fail proves nothing. Each property is violated by a policy with the bug for it, in a simulation in
// which the policy without a bug violates none.
func TestEveryCheckerFails(t *testing.T) {
	spec := func() *Spec {
		return &Spec{
			Name: "rules", Seconds: 6, Seeds: []int{1},
			Fleet: Fleet{
				Routers: 2, Shards: 1, Replicas: 1, Slots: 2, Queue: 20, Sessions: 20, NetworkDelay: 0.002, ConnectTimeout: 0.1, ShipDelay: 0.01, ApplyTime: 0.001, ListDelay: 0.2,
				ColdShare: 0.2, WarmUp: 1, OverloadFactor: 9, OverloadWindow: 0.5,
			},
			Groups: []Group{
				{Name: "order", Consistency: "write", Idempotency: "mutating", Rate: 40, WorkTime: 0.02, Target: 0.2, Timeout: 0.5, Benefit: 1},
				{Name: "keyed", Consistency: "write", Idempotency: "keyed", Rate: 40, WorkTime: 0.02, Target: 0.2, Timeout: 0.5, Benefit: 1, IdempotencyWindow: 5},
				{Name: "look", Consistency: "any", Idempotency: "replayable", Rate: 40, WorkTime: 0.02, Target: 0.2, Timeout: 0.5, Benefit: 1},
			},
			Faults: []Fault{{Kind: "drain", Backend: 1, At: 1, Duration: 1}, {Kind: "hang", Backend: 0, At: 2.5, Duration: 1}, {Kind: "crash", Backend: 0, At: 4, Duration: 0.5}},
		}
	}
	defer delete(policyConstructors, "reckless")
	for bug, property := range map[string]string{
		"careful": "", "two at once": invariant.OneAttemptInFlight, "after the end": invariant.NothingSentAfterEnd,
		"silent": invariant.OneAnswer, "again": invariant.NoUnsafeRetry, "drains": invariant.NothingSentToDraining,
	} {
		policyConstructors["reckless"] = func(r *instance) Policy {
			choose := anyReplica
			if bug == "drains" {
				choose = func(*baselinePolicy, *baselineCommand) []int { return []int{1} }
			}
			return &faultyPolicy{newBaseline(choose)(r).(*baselinePolicy), bug}
		}
		_, violations := New(spec(), "reckless", 1).Run()
		if property == "" {
			assert.Empty(t, violations, bug)
			continue
		}
		assert.Contains(t, violations, property, bug)
	}
	policyConstructors["reckless"] = func(r *instance) Policy { return &faultyPolicy{newBaseline(anyReplica)(r).(*baselinePolicy), "again"} }
	s := spec()
	s.Groups[0].Rate, s.Groups[1].Rate, s.Groups[1].IdempotencyWindow = 0, 80, 0.001
	_, violations := New(s, "reckless", 1).Run()
	assert.Contains(t, violations, invariant.KeyedRetryInWindow)
}
