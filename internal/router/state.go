package router

import (
	"math"
	"slices"

	"stoatdale.example/stoatdale/internal/router/generational"
	"stoatdale.example/stoatdale/internal/router/mwc"
	"stoatdale.example/stoatdale/internal/router/rolling"
)

// This file holds the state of a router as plain data, with the functions that update it. It holds no
// tuned value. Times are seconds on the caller's clock. A time at which something last happened is
// negative infinity as long as it has not happened, unless its comment says otherwise. A log position is
// kept as a time: an endpoint at a position has applied what was written to the log until then.

// noIndex is used in place of an endpoint's or an attempt's index where there is none.
const noIndex = -1

// group is the configuration of a command group and what the router has measured of it. Times are in
// seconds.
type group struct {
	CommandGroup

	serviceTime       float64 // estimated answer time at an endpoint without a queue; 0 before any answer
	batchLatencySum   float64 // sum of the answer times in the current batch of serviceBatchSize answers
	batchAnswers      float64 // number of answers in the current batch
	batchEndedAt      float64 // when the last complete batch ended; 0 if none is complete
	earlyLeaveShare   float64 // share of clients that disconnect before their timeout
	earlyLeaveDelay   float64 // mean time from a command's arrival until such a client disconnects
	tailFactor        float64 // mean ratio of answer times to the answer times expected from the queues
	queueLimit        float64 // longest queueing time at a replica that its commands may join
	primaryQueueLimit float64 // longest queueing time at a primary that its commands may join
	arrivalCount      float64 // number of commands except clients' retries; halved when sessions expire
	inTimeAnswerCount float64 // number of answers within LatencyObjective; halved when sessions expire
	fairnessWeight    float64 // factor on PriorityWeight: above 1 for the worst-served group, else 1
}

// newGroup returns a group for which nothing has been measured yet.
func newGroup(g CommandGroup) group {
	return group{
		CommandGroup: g, tailFactor: 1, fairnessWeight: 1,
		queueLimit: g.LatencyObjective, primaryQueueLimit: g.LatencyObjective,
	}
}

// endpoint is the state of one endpoint. The seven fields after decayedAt decay with age.
type endpoint struct {
	shard, zone          int     // indexes; shard is noIndex while nothing is known about the endpoint
	draining             bool    // the list marks it as draining
	listedPrimary        bool    // the list marks it as the primary
	startedAt            float64 // when it started, from the list or as observed by this router
	startFromList        bool    // startedAt comes from the list
	removedAt            float64 // when the list dropped it; positive infinity while it is listed
	positionReportedAt   float64 // when its last reported position was current
	position             float64 // highest position it has reported, as a time
	reportedLag          float64 // seconds by which its data was behind at positionReportedAt
	role                 Role    // role that it stated itself
	roleHeldAt           float64 // latest time at which it is known to have held that role
	queued               int     // attempts in flight that are counted as its queue: those not lost
	inFlight             int     // all attempts in flight
	idleConnections      int     // number of its connections expected to be open and unused
	unansweredAttempts   int     // number of attempts sent since its last answer
	unansweredWorkSum    float64 // sum of the expected service times of those attempts, in seconds
	unansweredSince      float64 // when the first of those attempts was sent
	decayedAt            float64 // time to which the next seven fields have been decayed
	latencySum           float64 // sum of normalized answer times, in seconds
	queuePositionSum     float64 // sum of queue positions, each plus 1, of the attempts in answerCount
	answerCount          float64 // number of attempts in latencySum
	attemptCount         float64 // number of attempts sent
	answeredWorkSum      float64 // answered commands, each weighted by its group's relativeWork
	failureCount         float64 // number of failures
	resultCount          float64 // number of results, failures included
	lastAnswerAt         float64 // when it last answered a command
	ejected              bool    // gets only recovery attempts until it has answered
	nextRecoveryAt       float64 // when it may get a recovery attempt while ejected
	nextRoleTestAt       float64 // when a write may test again whether it is the primary
	lastCheckAt          float64 // when a health check was last requested
	slowStartBudget      float64 // work it may still get in slow start, in relativeWork; negative if overdrawn
	slowStartBudgetSetAt float64 // when that budget was last granted
	lastOverloadAt       float64 // when it last rejected a command as overloaded
	unreachableSince     float64 // when contact first failed since its last answer; else positive infinity
	lastUnreachableAt    float64 // when contact last failed
}

// shard is the state of one shard: the endpoints that hold the same data.
type shard struct {
	endpoints      []int   // indexes of its endpoints
	positionFloor  float64 // highest position of all sessions that have been forgotten, as a time
	newestPosition float64 // highest position of the sessions in the younger generation, as a time
	olderPosition  float64 // highest position of the sessions in the older generation, as a time
	decayedAt      float64 // time to which latencySum and answerCount have been decayed
	latencySum     float64 // decaying sum of its endpoints' normalized answer times, in seconds
	answerCount    float64 // decaying number of attempts in latencySum
}

// session is what the router remembers of a client's session.
type session struct {
	lastWrite      float64 // position of its last write, as a time
	highestRead    float64 // highest position that it has read, as a time
	writesInFlight float64 // number of its writes in flight; a fraction after a migration
}

// Router makes the routing decisions of one process. It is not safe for concurrent use.
type Router struct {
	config    Config     // with defaults applied
	groups    []group    // by index in Config.CommandGroups
	endpoints []endpoint // by endpoint index
	shards    []shard    // by shard index
	random    mwc.Source // for all random choices

	longestObjective float64 // longest LatencyObjective of groups that are not Eventual, in seconds; see New
	longestTimeout   float64 // longest ClientTimeout of all groups, in seconds
	reviewInterval   float64 // seconds; Maintain reviews all endpoints every half of it; see New
	decayTime        float64 // time constant with which the sums of an endpoint decay, in seconds

	fleetLatency       float64 // mean normalized answer time without heavy groups, in seconds
	fleetQueueLength   float64 // mean queue length, the attempt itself included, that an attempt found
	fleetServiceTime   float64 // mean service time of the answered commands, in seconds
	fleetAnswerCount   float64 // number of answers in these three means
	medianFailureShare float64 // median of the endpoints' failure shares
	connectCost        float64 // seconds that a new connection adds to an answer time
	warmAttemptRate    float64 // attempts per second that this router sends to a warm endpoint
	warmThroughput     float64 // commands of mean service time per second that a warm endpoint answers to it
	commandCount       float64 // decaying number of commands

	checkInterval        float64 // seconds after a position report until a check; infinite for none
	ejectedCheckInterval float64 // seconds between health checks of an ejected endpoint
	recoveryInterval     float64 // seconds between two recovery attempts to any endpoints
	pendingChecks        []int   // endpoints for which the next Maintain requests a health check
	lastReviewAt         float64 // when Maintain last reviewed all endpoints
	lastRecoveryAt       float64 // when an endpoint was last chosen for a recovery attempt

	sessions          generational.Map[uint64, session] // by session id
	sessionsRotatedAt float64                           // when the older generation of sessions was last dropped
	readCounter       rolling.Counter                   // first attempts of reads; fallbacks are marked

	subscribed   bool    // the list service sends changes of the endpoint list without a poll
	nextPollAt   float64 // when the list may be polled again
	pollFailures float64 // number of failed polls in a row

	candidates      []int // indexes of the endpoints considered for the current command
	healthyReplicas int   // number of replicas, not ejected, that may cover the read considered last
}

// unknownEndpoint is the state of an endpoint before anything is known about it.
var unknownEndpoint = endpoint{
	shard: noIndex, startedAt: math.Inf(-1), removedAt: math.Inf(1),
	positionReportedAt: math.Inf(-1), position: math.Inf(-1),
	reportedLag: math.Inf(1), roleHeldAt: math.Inf(-1), lastAnswerAt: math.Inf(-1), nextRoleTestAt: math.Inf(-1),
	lastCheckAt: math.Inf(-1), lastOverloadAt: math.Inf(-1), unreachableSince: math.Inf(1),
}

// unknownShard is the state of a shard before anything is known about it.
var unknownShard = shard{
	positionFloor: math.Inf(-1), newestPosition: math.Inf(-1), olderPosition: math.Inf(-1),
}

// updateEndpoint applies one row of the endpoint list.
func (r *Router) updateEndpoint(now float64, info EndpointInfo) {
	for len(r.endpoints) <= info.Index {
		r.endpoints = append(r.endpoints, unknownEndpoint)
	}
	for len(r.shards) <= info.Shard {
		r.shards = append(r.shards, unknownShard)
	}
	e := &r.endpoints[info.Index]
	if e.shard != info.Shard {
		r.removeFromShard(info.Index)
		e.shard = info.Shard
		r.shards[info.Shard].endpoints = append(r.shards[info.Shard].endpoints, info.Index)
	}
	e.zone = info.Zone
	e.listedPrimary = info.Primary
	if info.StartedAt >= e.startedAt {
		e.startedAt = info.StartedAt
		e.startFromList = true
	}
	if info.State == Removed {
		e.removedAt = min(e.removedAt, now)
		return
	}
	e.draining = info.State == Draining
	e.removedAt = math.Inf(1)
}

// removeFromShard removes endpoint i from its shard, if it belongs to one.
func (r *Router) removeFromShard(i int) {
	if e := &r.endpoints[i]; e.shard >= 0 {
		s := &r.shards[e.shard]
		s.endpoints = slices.DeleteFunc(s.endpoints, func(k int) bool { return k == i })
	}
}

// decay reduces the sums by their age: those of latency with one time constant, those of health with
// another.
func (e *endpoint) decay(now, latencyTime, healthTime float64) {
	if now <= e.decayedAt {
		return
	}
	factor := math.Exp((e.decayedAt - now) / latencyTime)
	e.latencySum *= factor
	e.queuePositionSum *= factor
	e.answerCount *= factor
	e.attemptCount *= factor
	e.answeredWorkSum *= factor
	factor = math.Exp((e.decayedAt - now) / healthTime)
	e.failureCount *= factor
	e.resultCount *= factor
	e.decayedAt = now
}

// decay reduces the sums by their age with the given time constant in seconds.
func (s *shard) decay(now, time float64) {
	if now <= s.decayedAt {
		return
	}
	factor := math.Exp((s.decayedAt - now) / time)
	s.latencySum *= factor
	s.answerCount *= factor
	s.decayedAt = now
}

// recordReport records a reported position, in seconds after epoch and ignored if negative, and a
// reported role. The report was true at the given time; an older role than the known one is ignored.
func (e *endpoint) recordReport(at, epoch, position float64, role Role) {
	if position >= 0 {
		reached := epoch + position
		e.position = max(e.position, reached)
		if at > e.positionReportedAt {
			e.positionReportedAt = at
			e.reportedLag = max(0, at-reached)
		}
	}
	if role != RoleUnknown && at >= e.roleHeldAt {
		e.role = role
		e.roleHeldAt = at
	}
}

// recordUnreachable records a failed contact with the endpoint.
func (e *endpoint) recordUnreachable(now float64) {
	e.unreachableSince = min(e.unreachableSince, now)
	e.lastUnreachableAt = now
}

// UpdateEndpoints applies the complete endpoint list, or only the rows that changed. A cached list does
// not come from the list service, so it does not show that the subscription works.
func (r *Router) UpdateEndpoints(now float64, list []EndpointInfo, complete, cached bool) {
	if !cached {
		r.subscribed = true
		r.pollFailures = 0
	}
	list = slices.DeleteFunc(slices.Clone(list), r.isSuperseded)
	if complete {
		for i := range r.endpoints {
			r.endpoints[i].removedAt = min(r.endpoints[i].removedAt, now)
		}
	}
	for _, info := range list {
		r.updateEndpoint(now, info)
	}
}

// isSuperseded reports whether an outdated row calls an endpoint ready although a newer list has marked
// the same process as draining or removed. A later start time means a new process.
func (r *Router) isSuperseded(info EndpointInfo) bool {
	if !info.Outdated || info.State != Ready || info.Index >= len(r.endpoints) {
		return false
	}
	e := &r.endpoints[info.Index]
	unused := e.draining || !math.IsInf(e.removedAt, 1)
	return e.shard >= 0 && unused && info.StartedAt <= e.startedAt
}

// session returns the state of a session; the state of an unknown one has no positions.
func (r *Router) session(id uint64) session {
	if s, ok := r.sessions.Get(id); ok {
		return s
	}
	return session{lastWrite: math.Inf(-1), highestRead: math.Inf(-1)}
}

// startAttempt records an attempt sent to this endpoint; work is its expected service time in seconds.
func (e *endpoint) startAttempt(now float64, index int, work float64) Attempt {
	a := Attempt{
		Endpoint: index, SentAt: now, InFlight: true,
		queuePosition: e.queued, newConnection: e.idleConnections == 0,
	}
	if e.unansweredAttempts == 0 {
		e.unansweredSince = now
		e.unansweredWorkSum = 0
	}
	e.unansweredAttempts++
	e.unansweredWorkSum += work
	e.idleConnections = max(0, e.idleConnections-1)
	e.queued++
	e.inFlight++
	e.attemptCount++
	return a
}

// endAttempt records the end of an attempt.
func (e *endpoint) endAttempt(a *Attempt) {
	a.InFlight = false
	e.inFlight--
	if !a.lost {
		e.queued--
	}
}

// recordUncertainRun records that an attempt may have run although no answer to it came.
func (c *Command) recordUncertainRun(a *Attempt) {
	c.uncertainRuns++
	if c.uncertainRuns == 1 {
		c.firstUncertainAt = a.SentAt
		c.firstUncertainEndpoint = a.Endpoint
	}
}

// rotateSessions forgets the older generation of sessions. A shard's floor rises to the highest position
// forgotten.
func (r *Router) rotateSessions(now float64) {
	r.sessions.Rotate()
	r.sessionsRotatedAt = now
	for i := range r.shards {
		s := &r.shards[i]
		s.positionFloor = max(s.positionFloor, s.olderPosition)
		s.olderPosition = s.newestPosition
		s.newestPosition = math.Inf(-1)
	}
}

// countArrival counts a command when Route is called for it for the first time.
func (r *Router) countArrival(c *Command, g *group) {
	if c.routed {
		return
	}
	c.routed = true
	c.requiredPosition = math.Inf(-1)
	r.commandCount++
	if !c.ClientRetry {
		g.arrivalCount++
	}
}

// countRead counts a read when its first attempt is sent.
func (r *Router) countRead(now float64, c *Command, g *group, fallback bool) {
	if g.Consistency == PrimaryOnly || len(c.Attempts) != 1 {
		return
	}
	r.readCounter.Add(now, fallback)
}

// median returns the lower median of values, which must not be empty. It sorts them in place.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
