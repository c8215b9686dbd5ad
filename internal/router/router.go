// Package router decides where each command of a sharded, replicated database goes.
//
// New takes a Config. Route answers where to send a command (or not yet, or never), AttemptEnded what to do
// once an attempt has ended, Maintain how long until the next look and which maintenance is due. The others
// feed facts in. Values are plain (types.go), times seconds, ids small indices; docs/design.md has the why.
package router

import (
	"cmp"
	"math"
	"slices"
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

// session is a session's two positions, and how many of its writes are out.
type session struct{ lastWrite, highestRead, writesInFlight float64 }

// Router is one router's knowledge.
type Router struct {
	config                                     Config
	groups                                     []groupState
	endpoints                                  []endpoint
	shards                                     []shard
	z, w                                       uint32
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
	youngSessions, oldSessions map[uint64]session
	reads, fallbacks           [fallbackSlots]float64
	slotAt                     int64
	subscribed                 bool
	pollAt, pollFailures       float64 // when the list may be asked for again; failures in a row
	candidates                 []int
	healthyReplicas            int // replicas that are not doubted and may cover the read that was looked at last
}

// New returns a router that knows nothing but its site.
func New(s Config, seed uint64) *Router {
	r := &Router{config: s, z: uint32(seed) | 1, w: uint32(seed>>32) | 1, youngSessions: map[uint64]session{},
		oldSessions: map[uint64]session{}, maintainedAt: math.Inf(-1), reviewInterval: math.Inf(1)}
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

// chance draws from [0, n) with a multiply-with-carry generator.
func (r *Router) randomInt(n int) int {
	r.z = 36969*(r.z&0xffff) + r.z>>16
	r.w = 18000*(r.w&0xffff) + r.w>>16
	return int((r.z<<16 + r.w) % uint32(n))
}

// draw draws from [0, 1).
func (r *Router) random() float64 { return float64(r.randomInt(1<<16)) / (1 << 16) }

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

// EndpointListFailed says that a list call failed. The next waits, twice as long each time, so that the
// list service is not flooded when it can least bear it.
func (r *Router) EndpointListFailed(now float64) {
	r.subscribed = false
	gap := math.Min(pollRetryShare*r.config.PollWindow*math.Exp2(r.pollFailures), r.config.PollWindow/2)
	r.pollFailures++
	r.pollAt = now + gap*(1+r.random())/2
}

// HealthChecked takes in a probe's result. Only its report speaks for the node's data. An error tells nothing, and
// silence less than an answer meanwhile: hosts that served while probes failed counted as started anew.
func (r *Router) HealthChecked(now float64, at int, ending Result, took, position float64, primary bool) {
	n := &r.endpoints[at]
	switch ending {
	case Answered:
	case Errored, Overloaded, NotServed:
		return
	default:
		if n.answeredAt < now-took {
			n.recordUnreachable(now)
		}
		return
	}
	r.recordReachable(now, n)
	n.idleConnections = max(1, n.idleConnections) // the probe's connection stands
	if position < 0 || !r.config.LoadReports {
		return
	}
	position *= 1 - roundOff
	role, seenAt := RoleReplica, now-took
	if primary {
		role, seenAt = RolePrimary, r.config.PositionEpoch+position
	}
	r.recordReport(n, seenAt, position, role)
}

// tell notes a position and a role that held at a time.
func (r *Router) recordReport(n *endpoint, at, position float64, role Role) {
	if position >= 0 {
		p := r.config.PositionEpoch + position
		n.position = math.Max(n.position, p)
		if at > n.reportedAt {
			n.reportedAt, n.lag = at, math.Max(0, at-p)
		}
	}
	if role != RoleUnknown && at >= n.roleAt {
		n.role, n.roleAt = role, at
	}
}

func (n *endpoint) recordUnreachable(now float64) {
	n.unreachableSince, n.unreachableAt = math.Min(n.unreachableSince, now), now
}

// revive sees a node answer that was out of reach for longer than chance, by two failed contacts: it may have
// started anew before any list says so, and counts as cold. Harm: one behind a broken link does too.
func (r *Router) recordReachable(now float64, n *endpoint) {
	if n.unreachableAt-n.unreachableSince > r.longestObjective {
		n.startedAt = math.Max(n.startedAt, now)
	}
	if !math.IsInf(n.unreachableSince, 1) {
		// What was sent to it meanwhile never reached it, and its silence would shun it again at once.
		n.ejected, n.failureSum, n.unanswered, n.unreachableSince = false, 0, 0, math.Inf(1)
	}
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

// owed is the position that a session's read must cover if it is sent now: also what the session was told
// while it waited. A write that is out may stand in the log already, with its answer on its way.
func (r *Router) sessionPosition(now float64, c *Command) float64 {
	s := r.session(c.Session)
	need := math.Max(math.Max(s.lastWrite, s.highestRead), r.shards[c.Shard].positionFloor)
	if r.config.ClientTokens && c.LastWriteAge != 0 {
		need = math.Max(need, c.ArrivedAt-c.LastWriteAge)
	} else if s.writesInFlight > 0 && !r.config.ClientTokens {
		need = now
	}
	return need
}

// note keeps what a session has written or seen, and that one more of its writes is out, or one less.
func (r *Router) recordSession(c *Command, g *groupState, out, at float64) {
	s := r.session(c.Session)
	switch {
	case c.Session != 0 && g.Consistency == PrimaryOnly:
		s.writesInFlight, s.lastWrite = math.Max(0, s.writesInFlight+out), math.Max(s.lastWrite, at)
	case c.Session != 0 && g.Consistency == SessionConsistent && !math.IsInf(at, -1):
		s.highestRead = math.Max(s.highestRead, at)
	default:
		return
	}
	r.youngSessions[c.Session], r.shards[c.Shard].newestPosition = s, math.Max(r.shards[c.Shard].newestPosition, at)
}

// session is what is remembered of a session, if anything.
func (r *Router) session(id uint64) session {
	for _, generation := range []map[uint64]session{r.youngSessions, r.oldSessions} {
		if s, ok := generation[id]; ok {
			return s
		}
	}
	return session{lastWrite: math.Inf(-1), highestRead: math.Inf(-1)}
}

// horizon is how long a command is worth having: its target, and with late benefit a part of
// the time after it.
func (r *Router) usefulUntil(c *Command, g *groupState) float64 {
	if g.leaverShare > leaverThreshold {
		return math.Min(c.ArrivedAt+math.Min(g.LatencyObjective, g.leaverStay), c.ClientDeadline)
	}
	end := c.ArrivedAt + g.LatencyObjective
	return math.Min(end+g.LateValue*math.Max(0, c.ClientDeadline-end), c.ClientDeadline)
}

// mayGoAgain keeps rule 2: a repeat only of what is known not to have run, or within bounds.
func (r *Router) mayRetry(now float64, c *Command, g *groupState) bool {
	// A connection may still have to be made, so a keyed repeat must leave by that much earlier.
	return c.uncertainRuns == 0 || g.Idempotency == Idempotent ||
		g.Idempotency == IdempotentWithKey && now+r.config.ConnectTimeout+r.config.BatchInterval < c.uncertainAt+g.IdempotencyWindow
}

// never is the final answer of a command given up: throttled where a retry does no harm.
func (r *Router) giveUp(now float64, c *Command, g *groupState) Decision {
	if c.uncertainRuns > 0 && (g.Idempotency == NonIdempotent || g.Idempotency == IdempotentWithKey && g.KeyScope != GlobalScope) {
		return Decision{Action: Fail, CancelAttempt: -1}
	}
	a := Decision{Action: Reject, CancelAttempt: -1}
	// A try that comes too late for the target should come late; one in time may come at once.
	if r.config.RetryAfterAllowed && now+2*g.serviceTime*(1-latencySlack) > c.ArrivedAt+g.LatencyObjective {
		a.RetryAfter = r.config.MaxRetryAfter
	}
	return a
}

// usable says whether rule 3 lets anything new go to a node. With soft removal being gone does not bind.
func (r *Router) eligible(n *endpoint) bool {
	return n.shard >= 0 && !n.draining && (math.IsInf(n.removedAt, 1) || r.config.SoftRemoval)
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

// ask has one replica, this router's own, probed for a read that none is known to cover: all routers spread
// evenly, and keeping all fresh cost more probes than commands. It tells whether any may cover in time. One
// that is cold and has its share already is not asked: reads found that it covers, and waited for it in vain.
func (r *Router) checkPosition(now float64, c *Command, primary int) (may bool) {
	r.candidates = r.candidates[:0]
	for _, i := range r.shards[c.Shard].endpoints {
		if n := &r.endpoints[i]; i != primary && r.eligible(n) && !n.ejected && n.mayCatchUp(now, c.requiredPosition) {
			may = true
			if r.slowStartAdmits(now, i) {
				r.candidates = append(r.candidates, i)
			}
		}
	}
	at := r.heavyReadReplica(c.Shard)
	r.prefer(func(i int) bool { return i != at })
	r.preferOwnZone()
	if len(r.candidates) > 0 {
		i := r.candidates[r.config.Instance%len(r.candidates)]
		n := &r.endpoints[i]
		known := n.position >= c.requiredPosition || now-math.Max(n.reportedAt, n.checkedAt) < catchUpWait
		if r.config.LoadReports && !r.config.ReplicasCheckReads && !known { // a guarded one tells by turning the read away
			r.requestCheck(now, i)
		}
	}
	return may
}

// crowded says that a replica which may yet cover a read foretells an answer so much earlier than the primary
// that the read rather waits for it: reads that spill from hundreds of routers, each of which knows few
// positions, overran primaries with writes to do. Harm: such a read waits for a probe, or all of its wait.
func (r *Router) primaryCrowded(now float64, c *Command, g *groupState, primary int) bool {
	most := r.predictedResponse(primary, g) - latencySlack*g.LatencyObjective
	return slices.ContainsFunc(r.shards[c.Shard].endpoints, func(i int) bool {
		n := &r.endpoints[i]
		return i != primary && r.eligible(n) && !n.ejected && n.mayCatchUp(now, c.requiredPosition) && r.predictedResponse(i, g) < most
	})
}

// probe notes a probe for the upkeep that is due next.
func (r *Router) requestCheck(now float64, at int) {
	if r.config.HealthChecks {
		r.endpoints[at].checkedAt = now
		r.pendingChecks = append(r.pendingChecks, at)
	}
}

// mayCover says whether a member can have applied up to a position within the wait, at twice the log's pace.
func (n *endpoint) mayCatchUp(now, need float64) bool {
	return math.IsInf(n.reportedAt, -1) || need <= n.position+2*(now+catchUpWait-n.reportedAt)
}

// primary is the member whose own word for being the primary is the newest; the list counts
// only for a member that was never heard, since it may be seconds late or frozen.
func (r *Router) primary(s int) int {
	best, bestAt := -1, math.Inf(-1)
	for _, i := range r.shards[s].endpoints {
		if n := &r.endpoints[i]; r.eligible(n) && n.role == RolePrimary && n.roleAt > bestAt {
			best, bestAt = i, n.roleAt
		} else if r.eligible(n) && best < 0 && n.role == RoleUnknown && n.listedPrimary {
			best = i
		}
	}
	return best
}

// seekPrimary tests members with a write where no primary is known, or only a doubted one, since a miss is
// harmless and comes at once.
func (r *Router) testForPrimary(now float64, c *Command, p int) int {
	r.candidates = r.candidates[:0]
	for _, i := range r.shards[c.Shard].endpoints {
		n := &r.endpoints[i]
		if r.eligible(n) && i != p && !r.suspected(now, i) && now >= n.roleTestAt && len(c.Attempts) < r.config.MaxAttempts-1 &&
			now-n.roleAt > roleTestShare*r.longestObjective && r.slowStartAdmits(now, i) {
			r.candidates = append(r.candidates, i)
		}
	}
	if len(r.candidates) == 0 {
		// Few answers tell little, and there is no other primary. Where none is known it may be a doubted member:
		// with these left out, a set refused its writes until a read happened to try its new primary.
		for _, i := range r.shards[c.Shard].endpoints {
			n := &r.endpoints[i]
			if (i == p || p < 0 && r.eligible(n) && r.suspected(now, i)) && r.mayFailOpen(now, n) && r.slowStartAdmits(now, i) {
				n.recoveryAt = now + r.longestObjective
				return i
			}
		}
		return -1
	}
	at := r.candidates[r.randomInt(len(r.candidates))]
	// A hundred routers' tests push members that come back cold over.
	r.endpoints[at].roleTestAt = now + roleTestShare*r.longestObjective*math.Max(1, math.Sqrt(float64(r.config.RouterCount))/2)
	return at
}

// pick spreads reads uniformly over the replicas that cover a position, answer, and are not crowded.
func (r *Router) pickReplica(now float64, c *Command, g *groupState, need float64) int {
	if trial := r.collectCandidates(now, c, g, need); trial >= 0 {
		n := &r.endpoints[trial]
		// What was out of reach is left to probes. Where all are doubted the one that failed longest ago is
		// taken, or many bad members at once would leave nobody to send to, and nobody to learn from.
		due := now >= n.recoveryAt && now-c.ArrivedAt < latencySlack*g.LatencyObjective && now-r.recoveryAt >= r.recoveryInterval &&
			(math.IsInf(n.unreachableSince, 1) || !r.config.HealthChecks)
		if due || r.healthyReplicas == 0 && r.mayFailOpen(now, n) {
			n.recoveryAt, r.recoveryAt = now+r.longestObjective, now
			return trial
		}
	}
	if at := r.heavyReadReplica(c.Shard); r.heavy(g) {
		r.candidates = slices.DeleteFunc(r.candidates, func(i int) bool { return i != at })
	} else {
		r.prefer(func(i int) bool { return i != at })
	}
	return r.drawCandidate(now, c, g)
}

// gather is the first listed replica within reach, or -1. A heavy read can stop a replica's log while it
// runs: spread evenly such reads kept all replicas behind. All routers know one order, so heavy reads meet
// there and others, as long as another will do, do not. Harm: one is crowded, and of no use to fresh reads.
func (r *Router) heavyReadReplica(s int) int {
	if !slices.ContainsFunc(r.groups, func(g groupState) bool { return r.heavy(&g) }) {
		return -1
	}
	p := r.primary(s)
	for _, i := range r.shards[s].endpoints {
		if n := &r.endpoints[i]; i != p && r.eligible(n) && math.IsInf(n.unreachableSince, 1) {
			return i
		}
	}
	return -1
}

// heavy says that any age will do for a group and that its target is beyond that of all that need fresh data.
func (r *Router) heavy(g *groupState) bool { return g.LatencyObjective > r.longestObjective }

// lastHope says that a doubted node may be asked for want of a better one.
func (r *Router) mayFailOpen(now float64, n *endpoint) bool {
	return n.queued == 0 && math.IsInf(n.unreachableSince, 1) && now >= n.recoveryAt-(1-failOpenShare)*r.longestObjective
}

// leastBehind serves sites whose replicas check reads themselves.
func (r *Router) freshestReplica(now float64, c *Command, g *groupState) int {
	r.collectCandidates(now, c, g, math.Inf(-1))
	r.candidates = slices.DeleteFunc(r.candidates, func(i int) bool { // each is tried once
		return slices.ContainsFunc(c.Attempts, func(l Attempt) bool { return l.Endpoint == i })
	})
	least := math.Inf(1)
	for _, i := range r.candidates {
		least = math.Min(least, r.recentLag(now, i))
	}
	r.candidates = slices.DeleteFunc(r.candidates, func(i int) bool { return r.recentLag(now, i) > least+catchUpWait/2 })
	return r.drawCandidate(now, c, g)
}

// behind is how far a replica lagged lately; one not heard of late may have caught up since.
func (r *Router) recentLag(now float64, at int) float64 {
	if n := &r.endpoints[at]; now-n.reportedAt <= r.longestObjective {
		return n.lag
	}
	return 0
}

// qualify makes the spare nodes those that may take a read of the position needed. It returns the
// doubted node that is due for a trial first, or -1: a doubted primary too, whose data is excused.
func (r *Router) collectCandidates(now float64, c *Command, g *groupState, need float64) int {
	p, trial := r.primary(c.Shard), -1
	r.candidates, r.healthyReplicas = r.candidates[:0], 0
	for _, i := range r.shards[c.Shard].endpoints {
		n := &r.endpoints[i]
		doubted := r.suspected(now, i)
		if i != p && !doubted && r.eligible(n) && n.mayCatchUp(now, need) {
			r.healthyReplicas++
		}
		if i == p && !doubted || !r.eligible(n) || n.position < need && i != p || !r.slowStartAdmits(now, i) {
			continue
		}
		if !doubted {
			r.candidates = append(r.candidates, i)
		} else if n.queued == 0 && g.Idempotency == Idempotent && (trial < 0 || n.recoveryAt < r.endpoints[trial].recoveryAt) {
			trial = i
		}
	}
	return trial
}

// spread draws from the spare nodes that are not crowded, or gives -1 if the best has no room.
func (r *Router) drawCandidate(now float64, c *Command, g *groupState) int {
	if len(r.candidates) == 0 {
		return -1
	}
	best := slices.MinFunc(r.candidates, func(a, b int) int { return cmp.Compare(r.predictedResponse(a, g), r.predictedResponse(b, g)) })
	if !r.admits(now, c, g, best, g.queueLimit) {
		return -1
	}
	most := r.predictedResponse(best, g) + latencySlack*g.LatencyObjective
	r.candidates = slices.DeleteFunc(r.candidates, func(i int) bool { return r.predictedResponse(i, g) > most })
	// Hundreds of routers that each spread a few reads over all hosts open a connection for most of them, and
	// hear of a position twice nowhere. Harm: a router with several times the mean traffic leans on few.
	if r.preferOwnZone(); r.lowTraffic() {
		r.prefer(func(i int) bool { return r.endpoints[i].idleConnections > 0 })
	}
	return r.candidates[r.randomInt(len(r.candidates))]
}

// blind says that a target brings so few dispatches to a member that nothing is seen of it in time.
func (r *Router) lowTraffic() bool { return r.warmRate*r.longestObjective < lowTrafficAttempts }

// near keeps a blind router to its own zone: a slow way to another is over before it has seen it. Harm: load
// follows clients' zones until members there are foretold as crowded.
func (r *Router) preferOwnZone() {
	if r.lowTraffic() {
		r.prefer(func(i int) bool { return r.endpoints[i].zone == r.config.Zone })
	}
}

// narrow keeps the spare nodes that are better, if any are.
func (r *Router) prefer(better func(int) bool) {
	if slices.ContainsFunc(r.candidates, better) {
		r.candidates = slices.DeleteFunc(r.candidates, func(i int) bool { return !better(i) })
	}
}

// fit returns a primary if it has room for the command in time, else -1.
func (r *Router) admitPrimary(now float64, c *Command, g *groupState, at int) int {
	if !r.slowStartAdmits(now, at) || !r.admits(now, c, g, at, g.primaryQueueLimit) {
		return -1
	}
	return at
}

// fits sheds by benefit: a group joins only queues that leave room for what carries more benefit for its
// work, and nothing is sent too late. A client's repeat has spent its target on the first try.
func (r *Router) admits(now float64, c *Command, g *groupState, at int, room float64) bool {
	if c.ClientRetry && g.leaverShare <= leaverThreshold {
		room *= retryQueueShare
	}
	n := &r.endpoints[at]
	pace := r.expectedLatency(n, n.queued)
	// Many routers' free places are taken in turn: each rests for as long as the others need.
	rest := pace * (float64(r.config.RouterCount)/freeAttemptsTotal - 1)
	free := n.queued < freeAttempts && n.queued*r.config.RouterCount < freeAttemptsTotal && now-n.answeredAt >= rest
	// A queue that was full has a place again when some of it is done.
	return (pace-r.serviceTime <= room || free) && now-n.overloadedAt >= r.serviceTime && now+r.predictedResponse(at, g) <= r.usefulUntil(c, g)
}

// pace foretells a node's answer time over all command groups. The other routers' part of the
// queue shows only in its answer times; this router's own, one in so many, goes with what is out.
func (r *Router) expectedLatency(n *endpoint, ahead int) float64 {
	places := (n.queueSum + priorWeight*r.queueLength) / (n.answerSum + priorWeight)
	others := math.Sqrt(float64(r.config.RouterCount)) - 1
	return r.meanLatency(n) * (others + float64(ahead+1)/(places+1)) / (others + 1)
}

// mean is a node's mean answer time, leaning on its set's while there are few, and that on the fleet's. Thin
// routers hear a node every ten seconds, its set every second: leaning on the fleet alone, hundreds went on
// sending to sets that answered nothing in time. Harm: one slow node slows its set's others a little.
func (r *Router) meanLatency(n *endpoint) float64 {
	s := &r.shards[n.shard]
	return (n.latencySum + priorWeight*(s.latencySum+priorWeight*r.latency)/(s.answerSum+priorWeight)) / (n.answerSum + priorWeight)
}

// failing is a node's share of failures.
func (n *endpoint) failureShare() float64 { return n.failureSum / (n.resultSum + priorWeight) }

// sojourn foretells a node's answer time for a command group.
func (r *Router) predictedResponse(at int, g *groupState) float64 {
	n := &r.endpoints[at]
	t := math.Max(g.serviceTime, r.expectedLatency(n, n.queued)*g.tailFactor)
	if n.idleConnections == 0 && r.connectionsCostly() {
		t += r.connectCost
	}
	return t
}

// dear says that new connections cost much, so that those that stand are worth keeping.
func (r *Router) connectionsCostly() bool { return r.connectCost >= latencySlack*r.longestObjective }

// doubted says that a node takes work and answers none, or fails more than the fleet does; if hung it keeps
// its position. It stays so until it answers: a trial at a time, or a probe where it could not be reached.
func (r *Router) suspected(now float64, at int) bool {
	n := &r.endpoints[at]
	r.decay(now, n)
	// One that is not out any more tells little: hundreds of routers that each hear a node every few seconds
	// shut out a seventh of a healthy fleet on it.
	silent := n.unanswered > 1 || n.inFlight > 0 && n.unanswered > 0
	if silent && now-n.unansweredSince > r.silenceTimeout(n) || n.failureShare() > r.medianFailureShare+failureMargin {
		n.ejected = true
	}
	return n.ejected
}

// patience is how long a node may stay silent after a dispatch; lone lost answers do not count, nor silence
// that costs little of the target: where answers are quick a long one among them doubted healthy nodes.
func (r *Router) silenceTimeout(n *endpoint) float64 {
	mean, unheard := cmp.Or(r.meanLatency(n), assumedServiceShare*r.longestObjective), float64(max(1, n.unanswered))
	// A record of a second is no silence among answers of a tenth.
	mean += math.Max(0, n.unansweredWork/unheard-cmp.Or(r.serviceTime, mean))
	return math.Max(latencySlack*r.longestObjective, mean*(1+silenceFactor/unheard))
}

// workOf is a command group's work, or before its first answer what its target makes likely.
func (r *Router) expectedWork(g *groupState) float64 {
	return cmp.Or(g.serviceTime, assumedServiceShare*g.LatencyObjective)
}

// fadeNode lets the records of a node and of its set fade.
func (r *Router) decay(now float64, n *endpoint) {
	if now > n.decayedAt {
		f, quick := math.Exp((n.decayedAt-now)/r.decayTime), math.Exp(decayObjectives*(n.decayedAt-now)/r.decayTime)
		n.latencySum, n.queueSum, n.answerSum, n.attemptSum = n.latencySum*f, n.queueSum*f, n.answerSum*f, n.attemptSum*f
		n.failureSum, n.resultSum = n.failureSum*quick, n.resultSum*quick
		n.decayedAt = now
	}
	if s := &r.shards[n.shard]; now > s.decayedAt {
		f := math.Exp((s.decayedAt - now) / (decayObjectives * r.longestObjective))
		s.latencySum, s.answerSum, s.decayedAt = s.latencySum*f, s.answerSum*f, now
	}
}

func (r *Router) recordFailure(now float64, n *endpoint) {
	r.decay(now, n)
	n.failureSum++
	n.resultSum++
	n.recoveryAt = now + r.longestObjective
}

// coldRoom keeps rule 4: a node that has just started gets its share of what a warm one gets
// from this router, as far as its capacity has grown at the slowest. All routers do the same.
func (r *Router) slowStartAdmits(now float64, at int) bool {
	n := &r.endpoints[at]
	age := now - n.startedAt
	if age >= r.config.SlowStart {
		return true
	}
	part := r.config.SlowStartFloor + (1-r.config.SlowStartFloor)*math.Max(0, age)/r.config.SlowStart
	// A router that has just started, or meets no warm node, has no rate to go by: a node does one command at a
	// time at least. Where half of the fleet was new, hundreds of such routers left it idle.
	least := slowStartMargin * r.config.OverloadFactor * part / cmp.Or(r.serviceTime, r.config.SlowStart)
	least = math.Max(1/r.config.OverloadWindow, least)
	rate := math.Max(slowStartMargin*r.config.OverloadFactor*part*r.warmRate, least/float64(r.config.RouterCount))
	// Rounded at random and never saved up: the parts of a dispatch that many routers have add up
	// to the whole. One apiece at once, from a hundred routers, pushed a cold node over.
	if span := slowStartBurst * r.config.OverloadWindow; now-n.slowStartBudgetAt >= span {
		n.slowStartBudget, n.slowStartBudgetAt = math.Floor(rate*span+r.random()), now
	}
	return n.slowStartBudget >= 1
}

// maySpill keeps reads on the primary to one in five of the last second's.
func (r *Router) mayFallBack(now float64) bool {
	r.turnSlots(now)
	var reads, spills float64
	for i := range r.reads {
		reads += r.reads[i]
		spills += r.fallbacks[i]
	}
	return spills+1 <= fallbackShare*(reads+1)
}

func (r *Router) turnSlots(now float64) {
	at := int64(math.Floor(now * fallbackSlots))
	for k := max(r.slotAt+1, at-fallbackSlots+1); k <= at; k++ {
		r.reads[k%fallbackSlots], r.fallbacks[k%fallbackSlots] = 0, 0
	}
	r.slotAt = max(r.slotAt, at)
}

// send books a dispatch.
func (r *Router) forward(now float64, c *Command, g *groupState, at int, spilled bool) Decision {
	n := &r.endpoints[at]
	if n.unanswered++; n.unanswered == 1 {
		n.unansweredSince, n.unansweredWork = now, 0
	}
	n.unansweredWork += r.expectedWork(g)
	c.Attempts = append(c.Attempts, Attempt{Endpoint: at, SentAt: now, InFlight: true, queuePosition: n.queued, newConnection: n.idleConnections == 0})
	n.idleConnections = max(0, n.idleConnections-1)
	r.decay(now, n)
	n.queued, n.inFlight, n.attemptSum = n.queued+1, n.inFlight+1, n.attemptSum+1
	n.slowStartBudget = math.Max(0, n.slowStartBudget-1)
	r.recordSession(c, g, 1, math.Inf(-1))
	if g.Consistency != PrimaryOnly && len(c.Attempts) == 1 {
		r.turnSlots(now)
		r.reads[r.slotAt%fallbackSlots]++
		if spilled {
			r.fallbacks[r.slotAt%fallbackSlots]++
		}
	}
	until := c.ClientDeadline
	if c.uncertainRuns > 0 && g.Idempotency == IdempotentWithKey {
		until = math.Min(until, c.uncertainAt+g.IdempotencyWindow) // what is not whole there by then must not run any more
	}
	if g.Idempotency == Idempotent && g.LateValue == 0 && !r.connectionsCostly() {
		until = math.Min(until, c.ArrivedAt+g.LatencyObjective)
	}
	return Decision{Action: Forward, Endpoint: at, AttemptDeadline: until, CancelAttempt: -1,
		ReviewAt: now + math.Min(r.silenceTimeout(n), lostFactor*r.predictedResponse(at, g)) + r.config.BatchInterval}
}

// review looks at a dispatch that is still out. One that is overdue counts against its node
// (else a hang is never seen); one at a doubted node is called off where a repeat is allowed.
func (r *Router) reviewAttempt(now float64, c *Command, g *groupState, i int) Decision {
	l := &c.Attempts[i]
	n := &r.endpoints[l.Endpoint]
	wait := r.silenceTimeout(n)
	a := Decision{Action: Wait, ReviewAt: now + wait/2, CancelAttempt: -1}
	if now-l.SentAt > wait && !l.overdue && n.unanswered > 0 && now-n.unansweredSince > wait {
		l.overdue = true
		r.recordFailure(now, n)
	}
	// Its node has answered others since, so this answer is lost, or the command very costly: it
	// holds no place in the foretold queue any more.
	if lost := l.SentAt + lostFactor*r.predictedResponse(l.Endpoint, g); now < lost {
		a.ReviewAt = math.Min(a.ReviewAt, lost+r.config.BatchInterval)
	} else if !l.lost && n.answeredAt > l.SentAt {
		l.lost = true
		n.queued--
	}
	// With as much time left as it was given, a lost answer is worth another try, at the same node too: it
	// is its connection that fell silent. Harm: work done twice.
	lost := l.lost && now+lostFactor*r.predictedResponse(l.Endpoint, g) < r.usefulUntil(c, g)
	if r.config.CanCancel && !l.canceled && !r.connectionsCostly() && g.Idempotency != NonIdempotent && len(c.Attempts) < r.config.MaxAttempts &&
		(lost || l.overdue && r.suspected(now, l.Endpoint) && r.anotherAvailable(now, c, g, l.Endpoint)) {
		l.canceled = true
		a.CancelAttempt = i
	}
	return a
}

// elsewhere says whether another member may take a command that is called off.
func (r *Router) anotherAvailable(now float64, c *Command, g *groupState, at int) bool {
	p := r.primary(c.Shard)
	return slices.ContainsFunc(r.shards[c.Shard].endpoints, func(i int) bool {
		return i != at && (g.Consistency != PrimaryOnly || i == p) && r.eligible(&r.endpoints[i]) && !r.suspected(now, i)
	})
}

// ClientGone takes in that the client of an unfinished command has gone, and calls its dispatch off.
// Where many leave before their time, only what can be answered before then is worth sending.
func (r *Router) ClientGone(now float64, c *Command) int {
	g := &r.groups[c.Group]
	if age := now - c.ArrivedAt; now < c.ClientDeadline-r.config.BatchInterval && age > r.config.BatchInterval {
		g.leaverStay = cmp.Or(g.leaverStay, age)
		g.leaverShare += averageWeight * (1 - g.leaverShare)
		g.leaverStay += averageWeight * (age - g.leaverStay)
	}
	return r.cancelUnneeded(c)
}

// callOff names a dispatch that nobody waits for any more, or -1.
func (r *Router) cancelUnneeded(c *Command) int {
	for i := range c.Attempts {
		if l := &c.Attempts[i]; l.InFlight && !l.canceled && r.config.CanCancel {
			l.canceled = true
			return i
		}
	}
	return -1
}

// AttemptEnded takes in how a dispatch ended and says what to do.
func (r *Router) AttemptEnded(now float64, c *Command, o AttemptResult) Decision {
	g := &r.groups[c.Group]
	l := &c.Attempts[o.Attempt]
	n := &r.endpoints[l.Endpoint]
	l.InFlight, n.inFlight = false, n.inFlight-1
	r.recordSession(c, g, -1, math.Inf(-1))
	c.delivered = c.delivered || o.Result != ConnectFailed && o.Result != NeverSent
	if !l.lost {
		n.queued--
	}
	r.decay(now, n)
	switch o.Result {
	case Answered, Errored, Overloaded, NotServed:
		n.idleConnections++
		if n.ejected && o.Result != Overloaded {
			n.ejected, n.failureSum = false, n.failureSum/2
		}
		n.unanswered = 0
		r.recordReachable(now, n)
		position := o.Position
		if g.Consistency == PrimaryOnly && o.Result == Answered {
			position = -1 // the commit's, not the node's
		}
		r.recordReport(n, now, position, o.Role)
	}
	// Where new connections are slow and costly those that stand are worth more than an even spread;
	// a dispatch that ran out of time or was called off loses its own.
	if l.newConnection && o.Result == Answered {
		r.connectCost += averageWeight * (o.Elapsed - r.meanLatency(n) - r.connectCost)
	} else if o.Result == ConnectFailed && now-n.answeredAt < r.decayTime/decayObjectives {
		r.connectCost += connectFailureWeight * (o.Elapsed - r.connectCost)
	}
	switch o.Result {
	case Answered:
		r.recordAnswer(now, c, g, n, l, o)
	case Errored, ConnectionLost, TimedOut, ConnectFailed:
		if !l.overdue {
			r.recordFailure(now, n)
		}
		if o.Result == ConnectFailed {
			n.recordUnreachable(now)
		}
	case Overloaded: // a failure like others: a host that turns all away at once would look idle and draw more
		r.recordFailure(now, n)
		n.overloadedAt = now
		r.recordLatency(g, n, l, math.Max(o.Elapsed, g.LatencyObjective))
	case NotServed:
		n.resultSum++
		c.tooStale = c.tooStale || g.Consistency != PrimaryOnly
	}
	switch o.Result {
	case TimedOut, Canceled:
		// Its answer would have taken as much again in the mean. Where clients left early what they left had
		// counted as quick, and hundreds of routers went on sending to a primary that answered nobody.
		r.recordLatency(g, n, l, o.Elapsed+r.expectedLatency(n, l.queuePosition))
		fallthrough
	case Errored, ConnectionLost:
		if c.uncertainRuns++; c.uncertainRuns == 1 {
			c.uncertainAt, c.uncertainEndpoint = l.SentAt, l.Endpoint
		}
		r.recordSession(c, g, 0, now) // it may have been answered: a connection can break under its answer
	}
	if o.Final {
		return Decision{Action: None, CancelAttempt: r.cancelUnneeded(c)}
	}
	return r.Route(now, c)
}

// measure adds an answer time, or the least that it would have been.
func (r *Router) recordLatency(g *groupState, n *endpoint, l *Attempt, took float64) {
	if seen := r.expectedLatency(n, l.queuePosition); seen > 0 {
		g.tailFactor += averageWeight * (math.Min(took/seen, maxTailFactor) - g.tailFactor)
	}
	n.latencySum += r.normalizedLatency(g, took)
	n.queueSum += float64(l.queuePosition + 1)
	n.answerSum++
	s := &r.shards[n.shard]
	s.latencySum, s.answerSum = s.latencySum+r.normalizedLatency(g, took), s.answerSum+1
}

// asMean is an answer time as of a command of mean work. What a heavier one takes beyond its own work is
// chance of that work more than queue, so it counts in proportion.
func (r *Router) normalizedLatency(g *groupState, took float64) float64 {
	return math.Max(0, r.serviceTime+(took-g.serviceTime)*math.Min(1, r.serviceTime/math.Max(g.serviceTime, roundOff)))
}

// learn takes in an answer: the node's health and pace, the session's positions.
func (r *Router) recordAnswer(now float64, c *Command, g *groupState, n *endpoint, l *Attempt, o AttemptResult) {
	g.leaverShare -= averageWeight * g.leaverShare
	if now <= c.ArrivedAt+g.LatencyObjective {
		g.answeredInTime++
	}
	n.resultSum++
	n.answeredAt = now
	// The least mean time lately is the work: under load every answer holds a queue too.
	g.batchTime += o.Elapsed
	g.batchCount++
	switch mean := g.batchTime / g.batchCount; {
	case g.batchCount >= serviceBatch:
		drift := 1 - math.Exp((g.batchedAt-now)/(serviceObjectives*r.longestObjective))
		g.serviceTime = math.Min(mean, g.serviceTime+drift*(mean-g.serviceTime))
		g.batchTime, g.batchCount, g.batchedAt = 0, 0, now
	case g.batchedAt == 0:
		g.serviceTime = (g.batchTime + priorWeight*assumedServiceShare*g.LatencyObjective) / (g.batchCount + priorWeight)
	}
	if !r.heavy(g) {
		r.answers++ // the first answers count alike, or the first alone would stand for minutes
		w := math.Max(averageWeight, 1/r.answers)
		r.serviceTime += w * (g.serviceTime - r.serviceTime)
		r.latency += w * (math.Min(r.normalizedLatency(g, o.Elapsed), maxTailFactor*r.serviceTime) - r.latency)
		r.queueLength += w * (float64(l.queuePosition+1) - r.queueLength)
	}
	r.recordLatency(g, n, l, o.Elapsed)
	if o.Position >= 0 {
		r.recordSession(c, g, 0, r.config.PositionEpoch+o.Position)
	} else if g.Consistency == PrimaryOnly {
		r.recordSession(c, g, 0, now)
	}
}

// Maintain says how long until the next look, and what upkeep is due now.
func (r *Router) Maintain(now float64) (float64, Maintenance) {
	var up Maintenance
	if r.config.PollList && !r.subscribed && now >= r.pollAt {
		up.Subscribe = true
		r.pollAt = now + r.config.PollWindow/2
	}
	if now-r.maintainedAt >= r.reviewInterval/2 {
		// What clients left must be seen again and again: commands throttled before then tell nothing.
		f := math.Exp((r.maintainedAt - now) / r.decayTime)
		for i := range r.groups {
			r.groups[i].leaverShare *= f
		}
		r.connectCost, r.commands, r.maintainedAt = r.connectCost*f, r.commands*f, now
		r.updateFleet(now)
		r.expireSessions(now)
		for i := range r.endpoints {
			n := &r.endpoints[i]
			if n.shard < 0 {
				continue
			}
			doubted := r.suspected(now, i)
			// A flapping list, a cold start and what is still out are over by then; the row may be another's.
			if n.inFlight == 0 && now-math.Max(n.removedAt, n.answeredAt) > r.config.SlowStart+retentionTimeouts*r.longestTimeout {
				r.removeFromShard(i)
				*n = unknownEndpoint
				up.Release = append(up.Release, i)
			}
			// A position that was not told lately, or a sign of life from a doubted node. It tells nothing of one that
			// was reached and is silent or failing: a trial does.
			away, due := !math.IsInf(n.unreachableSince, 1), r.checkInterval
			if doubted {
				due = math.Max(r.checkInterval, r.recheckInterval)
			}
			if r.eligible(n) && (doubted && away && now-n.checkedAt >= r.recheckInterval || r.config.LoadReports &&
				!math.IsInf(r.checkInterval, 1) && now-math.Max(n.reportedAt, n.checkedAt) >= due) {
				r.requestCheck(now, i)
			}
		}
	}
	up.HealthCheck, r.pendingChecks = append(up.HealthCheck, r.pendingChecks...), r.pendingChecks[:0]
	if r.config.PollList && !r.subscribed { // a list that was missed binds, however rarely members are looked at
		return math.Max(0, math.Min(r.maintainedAt+r.reviewInterval/2, r.pollAt)-now), up
	}
	return r.maintainedAt + r.reviewInterval/2 - now, up
}

// weigh brings the fleet's figures up to date: the median share of failures, a warm node's
// rate, and each command group's share of its target by benefit for work.
func (r *Router) updateFleet(now float64) {
	var shares []float64
	var rate, warm, shunned float64
	for i := range r.endpoints {
		n := &r.endpoints[i]
		if !r.eligible(n) {
			continue
		}
		r.decay(now, n)
		shares = append(shares, n.failureShare())
		if n.ejected {
			shunned++
		} else if now-n.startedAt >= r.config.SlowStart {
			rate += n.attemptSum / r.decayTime
			warm++
		}
	}
	if len(shares) > 0 {
		slices.Sort(shares)
		r.medianFailureShare = shares[(len(shares)-1)/2]
	}
	if warm > 0 { // it falls no faster than a node warms: where most is doubted little is sent
		r.warmRate = math.Max(rate/warm, r.warmRate*(1-r.reviewInterval/r.config.SlowStart))
	}
	every := 1 / math.Max(r.commands/r.decayTime, 1/r.longestTimeout)
	// A position is looked up unasked only where each member gets a command while it is good. Hundreds of
	// routers with little traffic each asked every host in the first second, and few of the answers were used.
	if r.checkInterval = math.Max(r.reviewInterval, float64(len(shares))*every/checkShare); float64(len(shares))*every > r.reviewInterval {
		r.checkInterval = math.Inf(1)
	}
	r.recheckInterval = math.Max(r.longestObjective/2, shunned*every/checkShare)
	r.recoveryInterval = every / recoveryShare
	r.decayTime = decayObjectives * math.Max(r.longestObjective, math.Min(decayAttempts/r.warmRate, r.longestTimeout))
	r.favourWorstGroup()
	for i := range r.groups {
		r.groups[i].queueLimit = r.queueLimitOf(i, false)
		r.groups[i].primaryQueueLimit = r.queueLimitOf(i, true)
	}
}

// favour gives the worst-served group the weight that the site's goal gives it beside the whole.
func (r *Router) favourWorstGroup() {
	worst, least, sum, benefit := -1, math.Inf(1), 0.0, 0.0
	for i := range r.groups {
		g := &r.groups[i]
		g.fairnessWeight = 1
		served := (g.answeredInTime + priorWeight) / (g.arrivals + priorWeight)
		sum += g.answeredInTime * g.PriorityWeight
		benefit += g.arrivals * g.PriorityWeight
		if served < least {
			worst, least = i, served
		}
	}
	if worst >= 0 && least < sum/math.Max(benefit, 1) && r.config.TotalWeight > 0 {
		g := &r.groups[worst]
		g.fairnessWeight += r.config.WorstGroupWeight * benefit / (r.config.TotalWeight * g.arrivals * g.PriorityWeight)
	}
}

// density is a command group's benefit for its work.
func (r *Router) valueDensity(g *groupState) float64 {
	return g.fairnessWeight * g.PriorityWeight / math.Max(g.serviceTime, r.config.BatchInterval+roundOff)
}

// roomOf is the queueing time that a group may meet: what the groups of at least its density
// can bear, and less the less its own is. Writes count where the queue is a primary's.
func (r *Router) queueLimitOf(i int, primary bool) float64 {
	g := &r.groups[i]
	room, top, own := math.Inf(1), roundOff, r.valueDensity(g)
	for k := range r.groups {
		h := &r.groups[k]
		if h.Consistency == PrimaryOnly && !primary {
			continue
		}
		d := r.valueDensity(h)
		top = math.Max(top, d)
		if d >= own {
			room = math.Min(room, math.Max(0, h.LatencyObjective-h.serviceTime))
		}
	}
	share := queueShare + lowTrafficQueueShare*math.Max(0, 1-r.warmRate*r.longestObjective/lowTrafficAttempts)
	return share * room * (lowestQueueShare + (1-lowestQueueShare)*math.Min(1, own/top))
}

// forget lets the older generation of sessions go; their positions become their sets' floors.
func (r *Router) expireSessions(now float64) {
	if now-r.sessionsTurnedAt < retentionTimeouts*r.longestTimeout && len(r.youngSessions) < maxSessions/2 {
		return
	}
	r.sessionsTurnedAt = now
	for i := range r.shards {
		s := &r.shards[i]
		s.positionFloor, s.olderPosition, s.newestPosition = math.Max(s.positionFloor, s.olderPosition), s.newestPosition, math.Inf(-1)
	}
	for i := range r.groups { // how groups are served is remembered about as long
		r.groups[i].arrivals, r.groups[i].answeredInTime = r.groups[i].arrivals/2, r.groups[i].answeredInTime/2
	}
	r.oldSessions, r.youngSessions = r.youngSessions, map[uint64]session{}
}
