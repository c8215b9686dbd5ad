// Package router decides where each command of a sharded, replicated database goes.
//
// New takes a Config. Route answers where to send a command (or not yet, or never), AttemptEnded what to do
// once an attempt has ended, Maintain how long until the next look and which maintenance is due. The others
// feed facts in. Values are plain (types.go), times seconds, ids small indices; docs/design.md has the why.
package router

import (
	"math"
	"slices"

	"stoatdale.example/stoatdale/internal/router/generational"
	"stoatdale.example/stoatdale/internal/router/mwc"
	"stoatdale.example/stoatdale/internal/router/rolling"
)

// Tuned values: shares and multiples of what the site states or the router sees.
const (
	fallbackShare        = 0.2     // of this router's reads in the last second may go to the primary
	fallbackSlots        = 10      // in which that second is counted
	catchUpWait          = 0.1     // seconds that a read waits for a replica
	holdShare            = 0.5     // of its client's time after which a command that was never sent is given up
	reviewShare          = 0.05    // of catchUp between two looks at a waiting command
	latencySlack         = 0.1     // of the response target by which a member may be slower than the best
	lowestQueueShare     = 0.4     // of the queueing room that the least beneficial group has
	queueShare           = 0.4     // of the tightest bearable queueing time; the rest waits at the router
	lowTrafficQueueShare = 0.3     // more of it where targets bring fewer dispatches than
	lowTrafficAttempts   = 0.5     // this to a member: nothing is seen of its queue then
	leaverThreshold      = 0.5     // of a group's clients leave before their time: then only their stay counts
	retryQueueShare      = 0.2     // of its room that a client's repeat has
	decayObjectives      = 4       // longest response targets over which a node's pace fades; its health does in one,
	decayAttempts        = 2       // or in the time of so many dispatches to it, where these are rare
	silenceFactor        = 8.0     // mean answer times, shared by the dispatches since the last answer, beyond one
	lostFactor           = 5.0     // foretold answer times after which an answer that others overtook is lost
	maxUncertainRuns     = 2       // dispatches without an answer, after which a command is itself at fault
	maxTailFactor        = 3.0     // times what was foretold that one answer tells of at most
	failureMargin        = 0.35    // a share of failures this far above the fleet's median is doubted: not one alone
	recoveryShare        = 0.05    // of this router's commands may be trials of doubted nodes
	failOpenShare        = 0.25    // of the longest target after a failure until a doubted node is better than none
	priorWeight          = 2.0     // answers' worth of the fleet's mean in a node's own mean
	averageWeight        = 0.05    // of one answer in the fleet's means
	connectFailureWeight = 0.2     // of one failed connection in what a new one costs
	freeAttempts         = 2       // dispatches out at a node that need no room: its pace must show at some load,
	freeAttemptsTotal    = 3       // as long as as many routers do not add up to more than this
	serviceBatch         = 8.0     // answers whose mean stands for a command group's work if it is the least yet
	serviceObjectives    = 25      // longest targets in which it follows batches that are above it
	slowStartMargin      = 0.5     // of the overload factor: what a cold node gets over its share of a warm one's rate
	slowStartBurst       = 0.25    // of the fall span whose budget is given out at once
	maxSessions          = 1 << 16 // sessions remembered before the older half is let go
	retentionTimeouts    = 8       // longest client timeouts after which they, and members that are gone, are let go
	checkShare           = 0.25    // probes a command for positions, and as many for signs of life, unasked
	pollRetryShare       = 0.0625  // of the asking rule's span before a failed list call is repeated
	assumedServiceShare  = 0.25    // of its target that a group's work is taken for until answers tell
	roleTestShare        = 0.25    // of the longest target between two role tests of one member, of few routers
	roundOff             = 1.0 / (1 << 23)
)

// group is a command group's row.
type groupState struct {
	CommandGroup
	serviceTime                   float64 // mean time of an answer without a queue
	batchTime, batchCount         float64 // answers since work was last weighed: time, number
	batchedAt                     float64 // when the last whole batch was
	leaverShare, leaverStay       float64 // share of clients that leave early; after how long
	tailFactor                    float64 // its answer times over what queues alone foretell
	queueLimit, primaryQueueLimit float64 // queueing time that it may meet, by benefit
	arrivals, answeredInTime      float64 // first tries, and answers within the target
	fairnessWeight                float64 // of its benefit: more for the worst-served
}

// node is what this router knows of a member.
type endpoint struct {
	shard, zone                                   int
	draining, listedPrimary                       bool
	startedAt, decayedAt                          float64
	reportedAt, position                          float64 // last sign with a position, and the highest position told
	lag                                           float64 // how far behind it was then
	role                                          Role    // by its own word
	roleAt                                        float64
	removedAt                                     float64 // when the list dropped it; +Inf: it did not
	queued, inFlight                              int     // dispatches in its foretold queue, and all that are out
	idleConnections                               int     // connections that should stand open without a dispatch
	unanswered                                    int     // dispatches since its last answer
	unansweredWork                                float64 // their work
	unansweredSince                               float64 // when the first of those was sent
	latencySum, queueSum, answerSum               float64 // fading sums over answers: time, places in its queue, number
	failureSum, resultSum                         float64 // fading sums: failures, outcomes
	attemptSum                                    float64 // fading number of dispatches
	answeredAt, recoveryAt, roleTestAt, checkedAt float64
	slowStartBudget, slowStartBudgetAt            float64 // dispatches that a cold node may still get
	overloadedAt                                  float64 // when it last turned a command away as full
	ejected                                       bool    // was doubted, and has not answered since
	unreachableSince, unreachableAt               float64 // first and latest failed contact since its last answer, or +Inf
}

// blank is a node of which nothing is known, a reused row too.
var unknownEndpoint = endpoint{shard: -1, removedAt: math.Inf(1), position: math.Inf(-1), reportedAt: math.Inf(-1), lag: math.Inf(1),
	roleAt: math.Inf(-1), answeredAt: math.Inf(-1), startedAt: math.Inf(-1), unreachableSince: math.Inf(1),
	checkedAt: math.Inf(-1), roleTestAt: math.Inf(-1), overloadedAt: math.Inf(-1)}

// set is the nodes that hold the same data.
type shard struct {
	endpoints                        []int
	positionFloor                    float64 // the highest position owed to a session that was let go
	newestPosition, olderPosition    float64 // the highest of the young and old generations
	latencySum, answerSum, decayedAt float64 // fading sums over its nodes' answers (time, number), as of then
}

// Router is one router's knowledge.
type Router struct {
	config                                     Config
	groups                                     []groupState
	endpoints                                  []endpoint
	shards                                     []shard
	random                                     mwc.Source
	longestObjective, longestTimeout           float64 // the longest target of what needs fresh data, and client timeout of all
	decayTime                                  float64 // over which records fade
	reviewInterval                             float64 // between two looks at a node: the tightest bound or session target
	latency                                    float64 // fleet's mean answer time
	answers                                    float64 // answers so far
	queueLength                                float64 // and of this router's places in a queue
	serviceTime                                float64 // fleet's mean work
	medianFailureShare                         float64 // fleet's median share of failures
	connectCost                                float64 // what a new connection costs, in time beyond an answer's
	warmRate                                   float64 // dispatches a second that a warm node gets from this router
	commands                                   float64 // fading number of commands
	checkInterval                              float64 // between two probes of a member that is not heard,
	recheckInterval                            float64 // and of a doubted one
	recoveryInterval                           float64 // between two trials of doubted nodes
	pendingChecks                              []int   // nodes whose position a read in hand asks for
	maintainedAt, recoveryAt, sessionsTurnedAt float64
	// Sessions in two generations: the older is dropped whole, and raises its sets' floors.
	sessions             generational.Map[uint64, session]
	reads, fallbacks     rolling.Counter
	subscribed           bool
	pollAt, pollFailures float64 // when the list may be asked for again; failures in a row
	candidates           []int
	healthyReplicas      int // replicas that are not doubted and may cover the read that was looked at last
}

// New returns a router that knows nothing but its site.
func New(s Config, seed uint64) *Router {
	r := &Router{config: s, random: mwc.New(seed), sessions: generational.New[uint64, session](),
		reads: rolling.New(fallbackSlots), fallbacks: rolling.New(fallbackSlots), maintainedAt: math.Inf(-1), reviewInterval: math.Inf(1)}
	for _, g := range s.CommandGroups {
		r.groups = append(r.groups, groupState{CommandGroup: g, tailFactor: 1, fairnessWeight: 1, queueLimit: g.LatencyObjective,
			primaryQueueLimit: g.LatencyObjective})
		r.longestTimeout = math.Max(r.longestTimeout, g.ClientTimeout)
		if g.Consistency != Eventual {
			r.longestObjective = math.Max(r.longestObjective, g.LatencyObjective)
		}
		switch g.Consistency {
		case BoundedStaleness:
			r.reviewInterval = math.Min(r.reviewInterval, g.MaxStaleness)
		case SessionConsistent:
			r.reviewInterval = math.Min(r.reviewInterval, g.LatencyObjective)
		}
	}
	if r.longestObjective == 0 {
		r.longestObjective = r.longestTimeout
	}
	r.config.RouterCount, r.config.MaxAttempts = max(1, s.RouterCount), max(1, s.MaxAttempts)
	r.config.PollWindow = math.Max(s.PollWindow, r.longestObjective) // where it is not stated the list is not flooded
	r.reviewInterval = math.Max(s.BatchInterval, math.Min(r.reviewInterval, r.longestObjective))
	r.decayTime = decayObjectives * r.longestObjective
	return r
}

// UpdateEndpoints takes in the list: the whole of it or only what changed.
func (r *Router) UpdateEndpoints(now float64, list []EndpointInfo, whole, cached bool) {
	if !cached {
		r.subscribed, r.pollFailures = true, 0
	}
	if whole {
		for i := range r.endpoints {
			r.endpoints[i].removedAt = math.Min(r.endpoints[i].removedAt, now)
		}
	}
	for _, l := range list {
		for len(r.endpoints) <= l.Index {
			r.endpoints = append(r.endpoints, unknownEndpoint)
		}
		for len(r.shards) <= l.Shard {
			r.shards = append(r.shards, shard{positionFloor: math.Inf(-1), newestPosition: math.Inf(-1), olderPosition: math.Inf(-1)})
		}
		n := &r.endpoints[l.Index]
		if n.shard != l.Shard {
			r.removeFromShard(l.Index)
			n.shard = l.Shard
			r.shards[l.Shard].endpoints = append(r.shards[l.Shard].endpoints, l.Index)
		}
		n.zone, n.listedPrimary, n.startedAt = l.Zone, l.Primary, math.Max(n.startedAt, l.StartedAt)
		if l.State == Removed {
			n.removedAt = math.Min(n.removedAt, now)
			continue
		}
		n.draining, n.removedAt = l.State == Draining, math.Inf(1)
	}
}

// unplace takes a node out of its set.
func (r *Router) removeFromShard(at int) {
	if s := r.endpoints[at].shard; s >= 0 {
		r.shards[s].endpoints = slices.DeleteFunc(r.shards[s].endpoints, func(i int) bool { return i == at })
	}
}

// usable says whether rule 3 lets anything new go to a node. With soft removal being gone does not bind.
func (r *Router) eligible(n *endpoint) bool {
	return n.shard >= 0 && !n.draining && (math.IsInf(n.removedAt, 1) || r.config.SoftRemoval)
}

// Route answers where to send a command, or not yet, or never. What nobody could take by half of its
// client's time is given back while the client can still try elsewhere. Harm: some would have found a place.
func (r *Router) Route(now float64, c *Command) Decision {
	g := &r.groups[c.Group]
	if !c.routed {
		c.routed, c.requiredPosition = true, math.Inf(-1)
		r.commands++
		if !c.ClientRetry {
			g.arrivals++
		}
	}
	if i := slices.IndexFunc(c.Attempts, func(l Attempt) bool { return l.InFlight }); i >= 0 {
		return r.reviewAttempt(now, c, g, i)
	}
	if now >= c.ClientDeadline || c.Shard < 0 || c.Shard >= len(r.shards) || len(c.Attempts) >= r.config.MaxAttempts ||
		c.uncertainRuns >= maxUncertainRuns || !r.mayRetry(now, c, g) || now+g.serviceTime*(1-latencySlack) > r.usefulUntil(c, g) ||
		!c.delivered && now+2*r.config.BatchInterval > c.ArrivedAt+holdShare*(c.ClientDeadline-c.ArrivedAt) {
		return r.giveUp(now, c, g)
	}
	at, spilled := r.chooseEndpoint(now, c, g)
	// A keyed repeat may have to stay in its zone: it would not be known elsewhere.
	if at < 0 || c.uncertainRuns > 0 && g.Idempotency == IdempotentWithKey && g.KeyScope == ZoneScope &&
		r.endpoints[at].zone != r.endpoints[c.uncertainEndpoint].zone {
		return Decision{Action: Wait, ReviewAt: now + math.Max(r.config.BatchInterval, reviewShare*catchUpWait), CancelAttempt: -1}
	}
	return r.forward(now, c, g, at, spilled)
}

// choose picks a node, or -1, and tells a read spilled onto the primary.
func (r *Router) chooseEndpoint(now float64, c *Command, g *groupState) (at int, spilled bool) {
	p := r.primary(c.Shard)
	open := p >= 0 && !r.suspected(now, p)
	switch {
	case open && (g.Consistency == PrimaryOnly || g.Consistency == Linearizable):
		return r.admitPrimary(now, c, g, p), false
	case g.Consistency == PrimaryOnly:
		return r.testForPrimary(now, c, p), false
	case g.Consistency == Linearizable:
		c.requiredPosition = c.ArrivedAt // a replica that covers it will do
	case g.Consistency == BoundedStaleness:
		c.requiredPosition = now - g.MaxStaleness
	case g.Consistency == SessionConsistent:
		c.requiredPosition = r.sessionPosition(now, c)
	}
	if at = r.pickReplica(now, c, g, c.requiredPosition); at >= 0 {
		return at, false
	}
	if open && r.mayFallBack(now) && !r.primaryCrowded(now, c, g, p) {
		if at = r.admitPrimary(now, c, g, p); at >= 0 {
			return at, true
		}
	}
	futile := !r.checkPosition(now, c, p) || c.tooStale
	if r.config.ReplicasCheckReads && (!futile || !open) {
		if at = r.freshestReplica(now, c, g); at >= 0 {
			return at, false
		}
	}
	// No longer than half of the time in which it earns: an answer must fit in after the wait.
	if open && (futile || now-c.ArrivedAt >= math.Min(catchUpWait, holdShare*(r.usefulUntil(c, g)-c.ArrivedAt))) {
		return r.admitPrimary(now, c, g, p), true
	}
	return -1, false
}
