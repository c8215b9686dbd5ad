package inflight_test

import (
	"container/heap"
	"fmt"
	"math"

	"stoatdale.example/stoatdale/internal/inflight"
	"stoatdale.example/stoatdale/internal/router"
)

const (
	callsPerDigest = 1000
	startTime      = 100.0
	// leastStep keeps the clock going where the module asks to be called again at once.
	leastStep = 1e-4
	floodStep = 5e-3
	// The seed of a flood of commands, most of a session of their own, which fills the memory of sessions.
	floodSeed = 1 << 20
)

// digest sums up calls and their answers.
type digest struct {
	seed  uint64
	sum   uint64
	calls int
	lines []string
}

// call is a kind of call or answer.
type call int

// Calls to the module, and its calls to what carries its decisions out.
const (
	callAdd call = iota
	callClientGone
	callAttemptEnded
	callUpdateEndpoints
	callEndpointListFailed
	callHealthChecked
	callReviewDue
	callSwitchRouter
	callForward
	callCancel
	callReject
	callFail
)

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// note adds one call or answer with its values.
func (d *digest) note(kind call, values ...float64) {
	d.mix(uint64(kind))
	for _, v := range values {
		d.mix(math.Float64bits(v))
	}
	d.calls++
	if d.calls%callsPerDigest == 0 {
		d.flush()
	}
}

func (d *digest) mix(word uint64) {
	for range 8 {
		d.sum = (d.sum ^ word&0xff) * fnvPrime
		word >>= 8
	}
}

func (d *digest) flush() {
	d.lines = append(d.lines, fmt.Sprintf("seed %d, calls up to %d: %016x", d.seed, d.calls, d.sum))
}

func flagged(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// random is splitmix64, whose numbers do not depend on the version of a library.
type random struct{ state uint64 }

func (r *random) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func (r *random) intn(n int) int               { return int(r.next() % uint64(n)) }
func (r *random) float() float64               { return float64(r.next()>>11) / (1 << 53) }
func (r *random) between(a, b float64) float64 { return a + (b-a)*r.float() }
func (r *random) chance(share float64) bool    { return r.float() < share }
func (r *random) exponential(mean float64) float64 {
	return -mean * math.Log(1-r.float())
}
func (r *random) of(values ...float64) float64 { return values[r.intn(len(values))] }

// event is something that happens at a time.
type event struct {
	at    float64
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation is one router's view of a fleet: clients, database servers and the service that lists them.
type simulation struct {
	*random
	digest
	now     float64
	queue   events
	order   int
	config  router.Config
	router  *router.Router // the one in force
	tracker *inflight.Tracker
	// The time by which the module wants to be asked again. A flood asks no sooner, others after every event.
	reviewAt float64
	nextID   uint32

	endpoints      []endpoint
	free           []int // indices that the module has given back
	shards         int
	following      bool
	gap            float64 // mean time between two commands
	leavers        float64 // share of clients that leave early
	sessions       int
	errorsAreFinal bool // an error can be the final answer
	flood          bool
	turbulence     float64 // mean time between two changes of the fleet
}

// simulate runs a fleet until so many calls have been made, and returns its digests.
func simulate(seed uint64, calls int) []string {
	s := &simulation{random: &random{state: seed}, digest: digest{seed: seed, sum: fnvOffset}, now: startTime}
	s.flood = seed == floodSeed
	s.drawTraffic()
	s.drawFleet()
	s.config = s.drawConfig()
	if s.flood {
		s.settleFlood()
	}
	s.router = router.New(s.config, s.next())
	s.tracker = inflight.New(s.router, s)
	s.publishAll(s.chance(0.5))
	s.after(0, s.arrive)
	s.after(s.exponential(s.turbulence), s.disturb)
	if !s.flood && s.chance(0.5) {
		s.after(s.of(0.2, 2, 20), s.switchRouter)
	}
	for s.calls < calls {
		s.step()
	}
	s.flush()
	return s.lines
}

func (s *simulation) after(delay float64, do func()) {
	s.order++
	heap.Push(&s.queue, event{at: s.now + delay, order: s.order, do: do})
}

// step lets the module do what is due, and then the next thing happen.
func (s *simulation) step() {
	if !s.flood || s.now >= s.reviewAt {
		s.review()
	}
	if len(s.queue) == 0 || s.queue[0].at > s.reviewAt {
		s.now = s.reviewAt
		return
	}
	e := heap.Pop(&s.queue).(event)
	s.now = math.Max(s.now, e.at)
	e.do()
}

func (s *simulation) review() {
	next, due := s.tracker.ReviewDue(s.now)
	s.note(callReviewDue, s.now, next, float64(s.tracker.Len()), flagged(due.Subscribe))
	s.maintain(due)
	step := leastStep
	if s.flood {
		step = floodStep
	}
	s.reviewAt = math.Max(next, s.now+step)
}

// maintain carries out what the module wants done besides commands.
func (s *simulation) maintain(due router.Maintenance) {
	for _, at := range due.HealthCheck {
		s.note(callHealthChecked, float64(at))
		s.probe(at)
	}
	for _, at := range due.Release {
		s.note(callHealthChecked, float64(at), -1)
		s.endpoints[at].released = true
		s.free = append(s.free, at)
	}
	if due.Subscribe {
		s.after(s.between(0.01, 0.4), s.answerList)
	}
}

func (s *simulation) answerList() {
	if s.chance(0.4) {
		s.failList()
		return
	}
	s.following = true
	s.publishAll(false)
}

func (s *simulation) failList() {
	s.following = false
	s.note(callEndpointListFailed, s.now)
	s.router.EndpointListFailed(s.now)
}

// probe asks an endpoint for its state, and hands the result in.
func (s *simulation) probe(at int) {
	e := &s.endpoints[at]
	elapsed := s.between(0.0005, 0.02)
	result, position := router.Answered, e.position(s.now, s.config.PositionEpoch)
	switch e.condition {
	case unreachable, hung:
		result, elapsed = s.failedProbe(), s.config.ConnectTimeout
	case refusing:
		result = router.Overloaded
	case erring:
		result = router.Errored
	case serving, breaking, slow:
	}
	if s.chance(0.1) {
		position = -1
	}
	primary := e.primary
	s.after(elapsed, func() {
		s.note(callHealthChecked, s.now, float64(at), float64(result), elapsed, position, flagged(primary))
		s.router.HealthChecked(s.now, at, result, elapsed, position, primary)
	})
}

func (s *simulation) failedProbe() router.Result {
	if s.chance(0.5) {
		return router.TimedOut
	}
	return router.ConnectFailed
}

// switchRouter puts other settings in force.
func (s *simulation) switchRouter() {
	s.config = s.drawConfig()
	seed := s.next()
	s.note(callSwitchRouter, s.now, float64(seed>>11)) // what a float64 holds of it
	s.router = router.New(s.config, seed)
	s.tracker.SwitchRouter(s.now, s.router)
	if s.chance(0.5) {
		s.after(s.of(0.2, 2, 20), s.switchRouter)
	}
}
