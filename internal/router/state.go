package router

import (
	"math"
	"slices"

	"stoatdale.example/stoatdale/internal/router/mwc"
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
	patienceSampledAt float64 // when samplesPatience last chose a command
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
		patienceSampledAt: math.Inf(-1),
	}
}

// traffic is what a router has measured of its attempts at one endpoint, or at all endpoints of a shard. Its
// sums decay with age. Those of answer times are normalized; see normalizedLatency.
type traffic struct {
	decayedAt        float64 // time to which the sums have been decayed
	latencySum       float64 // sum of normalized answer times, in seconds
	queuePositionSum float64 // sum of queue positions, each plus 1, of the attempts in answerCount
	answerCount      float64 // number of attempts in latencySum
	attemptCount     float64 // number of attempts sent
	answeredWorkSum  float64 // answered commands, each weighted by its group's relativeWork
}

// decay reduces the sums by their age with the given time constant in seconds.
func (t *traffic) decay(now, time float64) {
	if now <= t.decayedAt {
		return
	}
	factor := math.Exp((t.decayedAt - now) / time)
	t.latencySum *= factor
	t.queuePositionSum *= factor
	t.answerCount *= factor
	t.attemptCount *= factor
	t.answeredWorkSum *= factor
	t.decayedAt = now
}

// addLatency adds the normalized answer time, in seconds, of an attempt that found a queue of the given
// length.
func (t *traffic) addLatency(normalized float64, queuePosition int) {
	t.latencySum += normalized
	t.queuePositionSum += float64(queuePosition + 1)
	t.answerCount++
}

// Router makes the routing decisions on the commands of one configuration. It is not safe for concurrent use,
// nor are the routers of one process that share a fleetState.
type Router struct {
	*fleetState

	config Config     // with defaults applied
	groups []group    // by index in Config.CommandGroups
	random mwc.Source // for all random choices

	endpointTraffic []traffic // by endpoint index; see trafficAt
	shardTraffic    []traffic // by shard index; see trafficOfShard

	longestObjective float64 // longest LatencyObjective of groups that are not Eventual, in seconds; see New
	longestTimeout   float64 // longest ClientTimeout of all groups, in seconds
	reviewInterval   float64 // seconds; Maintain reviews all endpoints every half of it; see New
	decayTime        float64 // time constant with which endpointTraffic decays, in seconds

	fleetLatency     float64 // mean normalized answer time without heavy groups, in seconds
	fleetQueueLength float64 // mean queue length, the attempt itself included, that an attempt found
	fleetServiceTime float64 // mean service time of the answered commands, in seconds
	fleetAnswerCount float64 // number of answers in these three means
	warmAttemptRate  float64 // attempts per second that this router sends to a warm endpoint
	warmThroughput   float64 // commands of mean service time per second that a warm endpoint answers to it
	commandCount     float64 // decaying number of commands

	checkInterval        float64 // seconds after a position report until a check; infinite for none
	ejectedCheckInterval float64 // seconds between health checks of an ejected endpoint
	recoveryInterval     float64 // seconds between two recovery attempts to any endpoints
	lastReviewAt         float64 // when Maintain last reviewed all endpoints

	candidates      []int // indexes of the endpoints considered for the current command
	healthyReplicas int   // number of replicas, not ejected, that may cover the read considered last
}

// trafficAt returns what this router has measured at endpoint e.
func (r *Router) trafficAt(e *endpoint) *traffic {
	for len(r.endpointTraffic) <= e.index {
		r.endpointTraffic = append(r.endpointTraffic, traffic{})
	}
	return &r.endpointTraffic[e.index]
}

// trafficOfShard returns what this router has measured at the endpoints of a shard.
func (r *Router) trafficOfShard(shard int) *traffic {
	for len(r.shardTraffic) <= shard {
		r.shardTraffic = append(r.shardTraffic, traffic{})
	}
	return &r.shardTraffic[shard]
}

// recordUncertainRun records that an attempt may have run although no answer to it came.
func (c *Command) recordUncertainRun(a *Attempt) {
	c.uncertainRuns++
	if c.uncertainRuns == 1 {
		c.firstUncertainAt = a.SentAt
		c.firstUncertainEndpoint = a.Endpoint
	}
}

// countArrival counts a command when Route is called for it for the first time.
func (r *Router) countArrival(now float64, c *Command, g *group) {
	if c.routed {
		return
	}
	c.routed = true
	c.requiredPosition = math.Inf(-1)
	r.commandCount++
	c.patient = r.samplesPatience(now, g)
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
