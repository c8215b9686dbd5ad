package router

import (
	"math"
	"slices"

	"stoatdale.example/stoatdale/internal/router/generational"
	"stoatdale.example/stoatdale/internal/router/rolling"
)

// fleetState is what one process knows of its endpoints, shards and sessions, and what is left of the
// budgets that bind the process as a whole. All routers of the process share it, so that a result which
// ends a command of earlier settings counts for the commands of the current ones and the other way round,
// and no budget is spent twice. It holds nothing that depends on command groups; that belongs to each
// Router.
type fleetState struct {
	current   *Router    // the router of the current settings: gets new commands, maintains the endpoints
	endpoints []endpoint // by endpoint index
	shards    []shard    // by shard index

	medianFailureShare   float64 // median of the endpoints' failure shares
	connectCost          float64 // seconds that a new connection adds to an answer time
	connectCostDecayedAt float64 // time to which connectCost has been decayed
	pendingChecks        []int   // endpoints for which the next Maintain requests a health check
	lastRecoveryAt       float64 // when an endpoint was last chosen for a recovery attempt

	sessions generational.Map[uint64, session] // by session id
	// When the older generation of sessions was last dropped, and for how many seconds one is kept at least.
	sessionsRotatedAt, sessionRetention float64
	readCounter                         rolling.Counter // first attempts of reads; fallbacks are marked

	subscribed   bool    // the list service sends changes of the endpoint list without a poll
	nextPollAt   float64 // when the list may be polled again
	pollFailures float64 // number of failed polls in a row
}

// newFleetState returns the state of a process that knows no endpoint yet.
func newFleetState() *fleetState {
	return &fleetState{
		sessions: generational.New[uint64, session](), readCounter: rolling.New(fallbackSlots),
		connectCostDecayedAt: math.Inf(-1),
	}
}

// endpoint is the state of one endpoint. The two fields after decayedAt decay with age.
type endpoint struct {
	index                int     // its position in fleetState.endpoints
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
	decayedAt            float64 // time to which the next two fields have been decayed
	failureCount         float64 // number of failures
	resultCount          float64 // number of results, failures included
	lastAnswerAt         float64 // when it last answered a command
	ejected              bool    // gets only recovery attempts until it has answered
	nextRecoveryAt       float64 // when it may get a recovery attempt while ejected
	nextRoleTestAt       float64 // when a write may test again whether it is the primary
	lastCheckAt          float64 // when a health check was last requested
	slowStartBudget      float64 // relativeWork it may still get in slow start; negative if overdrawn
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
}

// session is what the router remembers of a client's session.
type session struct {
	lastWrite      float64 // position of its last write, as a time
	highestRead    float64 // highest position that it has read, as a time
	writesInFlight float64 // number of its writes in flight
}

// unknownEndpoint returns the state of the endpoint with the given index before anything is known about it.
func unknownEndpoint(index int) endpoint {
	return endpoint{
		index: index,
		shard: noIndex, startedAt: math.Inf(-1), removedAt: math.Inf(1),
		positionReportedAt: math.Inf(-1), position: math.Inf(-1),
		reportedLag: math.Inf(1), roleHeldAt: math.Inf(-1),
		lastAnswerAt: math.Inf(-1), nextRoleTestAt: math.Inf(-1),
		lastCheckAt: math.Inf(-1), lastOverloadAt: math.Inf(-1), unreachableSince: math.Inf(1),
	}
}

// unknownShard is the state of a shard before anything is known about it.
var unknownShard = shard{
	positionFloor: math.Inf(-1), newestPosition: math.Inf(-1), olderPosition: math.Inf(-1),
}

// updateEndpoint applies one row of the endpoint list.
func (r *Router) updateEndpoint(now float64, info EndpointInfo) {
	for len(r.endpoints) <= info.Index {
		r.endpoints = append(r.endpoints, unknownEndpoint(len(r.endpoints)))
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

// decay reduces the counts of results by their age with the given time constant in seconds.
func (e *endpoint) decay(now, time float64) {
	if now <= e.decayedAt {
		return
	}
	factor := math.Exp((e.decayedAt - now) / time)
	e.failureCount *= factor
	e.resultCount *= factor
	e.decayedAt = now
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
