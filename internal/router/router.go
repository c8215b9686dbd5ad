package router

import (
	"math"
	"slices"

	"stoatdale.example/stoatdale/internal/router/mwc"
)

const (
	// A command that no endpoint has received is given up after this share of its client's time. A read
	// waits for a replica no longer than this share of the time in which its answer is useful.
	maxWaitShare = 0.5
	// Share of catchUpWait between two calls of Route for a command that waits.
	waitReviewShare = 0.05
	// Number of results that a prior counts for in an estimate. The prior is, for example, the mean of the
	// shard for an endpoint, and that of the fleet for a shard.
	priorWeight = 2.0
	// Relative rounding error of a reported position. It is also the least value of a divisor.
	roundOff = 1.0 / (1 << 23)
)

// New returns a router that knows only its configuration. Equal seeds give equal random choices.
func New(config Config, seed uint64) *Router {
	r := &Router{
		fleetState: newFleetState(), config: config, random: mwc.New(seed), lastReviewAt: math.Inf(-1),
	}
	r.current = r
	// Tightest staleness bound or session-read objective.
	interval := math.Inf(1)
	for _, g := range config.CommandGroups {
		r.groups = append(r.groups, newGroup(g))
		r.longestTimeout = max(r.longestTimeout, g.ClientTimeout)
		if g.Consistency != Eventual {
			r.longestObjective = max(r.longestObjective, g.LatencyObjective)
		}
		switch g.Consistency {
		case BoundedStaleness:
			interval = min(interval, g.MaxStaleness)
		case SessionConsistent:
			interval = min(interval, g.LatencyObjective)
		default:
		}
	}
	if r.longestObjective == 0 {
		r.longestObjective = r.longestTimeout
	}
	r.config.RouterCount = max(1, config.RouterCount)
	r.config.MaxAttempts = max(1, config.MaxAttempts)
	// Without a configured window, the router must not flood the list service.
	r.config.PollWindow = max(config.PollWindow, r.longestObjective)
	r.reviewInterval = max(config.BatchInterval, min(interval, r.longestObjective))
	r.decayTime = decayObjectives * r.longestObjective
	r.sessionRetention = retentionTimeouts * r.longestTimeout
	return r
}

// eligible reports whether an endpoint may get new commands. With Config.SoftRemoval, a removed endpoint
// may unless it was draining.
func (r *Router) eligible(e *endpoint) bool {
	listed := math.IsInf(e.removedAt, 1) || r.config.SoftRemoval
	return e.shard >= 0 && !e.draining && listed
}

// Route decides whether to send a command, and where, or to wait or give up. The caller calls it for a
// new command, and again at Decision.ReviewAt, also while an attempt is in flight.
func (r *Router) Route(now float64, c *Command) Decision {
	g := &r.groups[c.Group]
	r.countArrival(now, c, g)
	if k := slices.IndexFunc(c.Attempts, func(a Attempt) bool { return a.InFlight }); k >= 0 {
		return r.reviewAttempt(now, c, g, k)
	}
	if r.shouldGiveUp(now, c, g) {
		return r.giveUp(now, c, g)
	}
	i, fallback := r.chooseEndpoint(now, c, g)
	if i < 0 || !r.inKeyScope(c, g, i) {
		reviewAt := now + max(r.config.BatchInterval, waitReviewShare*catchUpWait)
		return Decision{Action: Wait, ReviewAt: reviewAt, CancelAttempt: noIndex}
	}
	return r.forward(now, c, g, i, fallback)
}

// shouldGiveUp reports whether a command has to be given up. One that no endpoint has received is given
// up by half of its client's time, so that the client can still try elsewhere. One for whose answer the
// caller lacks memory when it arrives is given up immediately, and so is one that only keeps the caller
// from finding out whether its client is still there.
func (r *Router) shouldGiveUp(now float64, c *Command, g *group) bool {
	switch {
	case now >= c.ClientDeadline, c.Shard < 0, c.Shard >= len(r.shards), c.NoBuffers, c.clientUnknown:
		return true
	case r.remainingAttempts(c) <= 0, c.uncertainRuns >= maxUncertainRuns, !r.mayRetry(now, c, g):
		return true
	case now+g.serviceTime*(1-latencySlack) > r.usefulUntil(c, g):
		return true
	}
	longestWait := maxWaitShare * (c.ClientDeadline - c.ArrivedAt)
	return !c.delivered && now+2*r.config.BatchInterval > c.ArrivedAt+longestWait
}
