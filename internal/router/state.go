package router

import (
	"math"
	"slices"

	"stoatdale.example/stoatdale/internal/router/generational"
	"stoatdale.example/stoatdale/internal/router/mwc"
	"stoatdale.example/stoatdale/internal/router/rolling"
)

// This file has what a router remembers, as plain data with their bookkeeping. It holds no tuned value.
// Times are in seconds on the caller's clock; a time that never was is negative infinity where the comment
// does not say otherwise.

// noIndex stands for no endpoint, and for no attempt.
const noIndex = -1

// group is what the router has learned of a command group.
type group struct {
	CommandGroup

	serviceTime       float64 // mean time of an answer without a queue
	batchLatencySum         float64 // sum of the answer times of the batch that is being measured,
	batchAnswers        float64 // and their number
	batchEndedAt         float64 // end of the last complete batch; 0: none yet
	earlyLeaveShare       float64 // share of clients that leave before their time
	earlyLeaveDelay        float64 // mean time after which those leave
	tailFactor        float64 // its answer times over what queues alone explain
	queueLimit        float64 // longest queueing time that it may join at a replica,
	primaryQueueLimit float64 // and at a primary
	arrivalCount          float64 // commands, without clients' retries; halved when sessions expire
	inTimeAnswerCount    float64 // answers within the latency objective; halved alike
	fairnessWeight    float64 // factor on its priority weight: above 1 for the worst-served group
}

// newGroup is a group of which nothing is known yet.
func newGroup(g CommandGroup) group {
	return group{
		CommandGroup: g, tailFactor: 1, fairnessWeight: 1,
		queueLimit: g.LatencyObjective, primaryQueueLimit: g.LatencyObjective,
	}
}

// endpoint is what the router knows of one endpoint.
type endpoint struct {
	shard, zone       int
	draining          bool
	listedPrimary     bool    // the list says that it is the primary
	startedAt         float64 // by the list, or by what the router saw of it
	startFromList       bool    // startedAt is the list's
	removedAt         float64 // when the list dropped it; positive infinity: it did not
	positionReportedAt        float64 // time of the last report with a position
	position          float64 // highest position reported
	reportedLag               float64 // how far behind it was at reportedAt
	role              Role    // by its own word
	roleHeldAt            float64 // when that held
	queued            int     // attempts that count as in its queue
	inFlight          int     // all attempts in flight
	idleConnections   int     // connections that should stand open without an attempt
	unansweredAttempts        int     // attempts since its last answer
	unansweredWorkSum    float64 // sum of their service times
	unansweredSince   float64 // when the first of them was sent
	decayedAt         float64 // the time that the following seven sums hold for
	latencySum        float64 // answer times,
	queuePositionSum          float64 // queue positions
	answerCount         float64 // and number of answers
	attemptCount        float64 // attempts
	answeredWorkSum         float64 // work that it answered, in commands of the mean service time
	failureCount        float64 // failures
	resultCount         float64 // results, failures included
	lastAnswerAt        float64 // last answer
	ejected           bool    // takes no new commands until it has answered
	nextRecoveryAt        float64 // when it is due for a recovery attempt
	nextRoleTestAt        float64 // when a write may test again whether it is the primary
	lastCheckAt         float64 // last health check that was asked for
	slowStartBudget   float64 // commands of mean service time that it may get while it warms up; below 0: owed,
	slowStartBudgetSetAt float64 // and when those were granted
	lastOverloadAt      float64 // last time that it turned a command away as overloaded
	unreachableSince  float64 // first failed contact since its last answer; positive infinity: none
	lastUnreachableAt     float64 // last failed contact
}

// shard is the endpoints that hold the same data.
type shard struct {
	endpoints      []int
	positionFloor  float64 // highest position of a session that was forgotten
	newestPosition float64 // highest position of a session in the younger generation,
	olderPosition  float64 // and in the older one
	decayedAt      float64 // the time that the following two sums hold for
	latencySum     float64 // answer times of its endpoints
	answerCount      float64 // and their number
}

// session is what is remembered of a client's session. Positions are times.
type session struct {
	lastWrite      float64 // position of its last write
	highestRead    float64 // highest position that it has read
	writesInFlight float64
}

// Router decides for one proxy. It is not safe for concurrent use.
type Router struct {
	config    Config
	groups    []group
	endpoints []endpoint
	shards    []shard
	random    mwc.Source

	longestObjective float64 // of the groups that need fresh data
	longestTimeout   float64 // of all clients
	reviewInterval   float64 // the tightest staleness bound or objective of a session read
	decayTime        float64 // time over which endpoints' sums decay

	fleetLatency            float64 // mean answer time of the fleet,
	fleetQueueLength        float64 // mean queue position
	fleetServiceTime        float64 // mean service time,
	fleetAnswerCount            float64 // and the number of answers that they are taken from
	medianFailureShare float64 // of the endpoints
	connectCost        float64 // what a new connection adds to an answer time
	warmAttemptRate           float64 // attempts per second to an endpoint that is warm,
	warmThroughput     float64 // and what it answers of them, in commands of the mean service time
	commandCount           float64 // decaying number of commands

	checkInterval    float64 // between two health checks of an endpoint that is not heard of,
	ejectedCheckInterval  float64 // and of one that is ejected
	recoveryInterval float64 // between two recovery attempts
	pendingChecks    []int   // health checks to ask for with the next maintenance
	lastReviewAt     float64
	lastRecoveryAt       float64 // last recovery attempt

	sessions         generational.Map[uint64, session]
	sessionsRotatedAt float64
	readCounter            rolling.Counter // first attempts of reads; marked are those that fell back to a primary

	subscribed   bool    // changes of the endpoint list come by themselves
	nextPollAt       float64 // when the list may be polled again
	pollFailures float64 // in a row

	candidates      []int // endpoints for the command that is being decided on
	healthyReplicas int   // replicas that are not ejected and may cover the read that was looked at last
}

// unknownEndpoint is an endpoint of which nothing is known.
var unknownEndpoint = endpoint{
	shard: noIndex, startedAt: math.Inf(-1), removedAt: math.Inf(1),
	positionReportedAt: math.Inf(-1), position: math.Inf(-1),
	reportedLag: math.Inf(1), roleHeldAt: math.Inf(-1), lastAnswerAt: math.Inf(-1), nextRoleTestAt: math.Inf(-1),
	lastCheckAt: math.Inf(-1), lastOverloadAt: math.Inf(-1), unreachableSince: math.Inf(1),
}

// unknownShard is a shard of which nothing is known.
var unknownShard = shard{
	positionFloor: math.Inf(-1), newestPosition: math.Inf(-1), olderPosition: math.Inf(-1),
}

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

func (r *Router) removeFromShard(i int) {
	if e := &r.endpoints[i]; e.shard >= 0 {
		s := &r.shards[e.shard]
		s.endpoints = slices.DeleteFunc(s.endpoints, func(k int) bool { return k == i })
	}
}

// decay lets the sums decay: those of latency over one time, those of health over another.
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

// decay lets the sums decay over a time.
func (s *shard) decay(now, time float64) {
	if now <= s.decayedAt {
		return
	}
	factor := math.Exp((s.decayedAt - now) / time)
	s.latencySum *= factor
	s.answerCount *= factor
	s.decayedAt = now
}

// recordReport notes a position after an epoch, if it is not negative, and a role that held at a time.
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

func (e *endpoint) recordUnreachable(now float64) {
	e.unreachableSince = min(e.unreachableSince, now)
	e.lastUnreachableAt = now
}

// UpdateEndpoints takes in the complete endpoint list, or only the rows that changed. A cached list was not
// told by the list service, so that it says nothing of the subscription.
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

// isSuperseded says that a row of an older list calls an endpoint ready of which a newer one has said, in
// the same life, that it drains or is gone.
func (r *Router) isSuperseded(info EndpointInfo) bool {
	if !info.Outdated || info.State != Ready || info.Index >= len(r.endpoints) {
		return false
	}
	e := &r.endpoints[info.Index]
	unused := e.draining || !math.IsInf(e.removedAt, 1)
	return e.shard >= 0 && unused && info.StartedAt <= e.startedAt
}

// session is what is remembered of a session, if anything.
func (r *Router) session(id uint64) session {
	if s, ok := r.sessions.Get(id); ok {
		return s
	}
	return session{lastWrite: math.Inf(-1), highestRead: math.Inf(-1)}
}

// startAttempt books an attempt that is sent to this endpoint, with its expected service time.
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

// endAttempt books the end of an attempt.
func (e *endpoint) endAttempt(a *Attempt) {
	a.InFlight = false
	e.inFlight--
	if !a.lost {
		e.queued--
	}
}

// recordUncertainRun notes that an attempt may have run though no answer to it came.
func (c *Command) recordUncertainRun(a *Attempt) {
	c.uncertainRuns++
	if c.uncertainRuns == 1 {
		c.firstUncertainAt = a.SentAt
		c.firstUncertainEndpoint = a.Endpoint
	}
}

// rotateSessions forgets the older generation of sessions; its highest positions become its shards' floors.
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

// countArrival counts a command when it is routed for the first time.
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

// countRead counts the first attempt of a read.
func (r *Router) countRead(now float64, c *Command, g *group, fallback bool) {
	if g.Consistency == PrimaryOnly || len(c.Attempts) != 1 {
		return
	}
	r.readCounter.Add(now, fallback)
}

// median is the lower median of at least one value. It sorts them.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
