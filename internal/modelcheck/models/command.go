package models

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"stoatdale.example/stoatdale/internal/inflight"
	"stoatdale.example/stoatdale/internal/lab/invariant"
	"stoatdale.example/stoatdale/internal/modelcheck"
	"stoatdale.example/stoatdale/internal/router"
)

var commandKind = Kind{
	Name: "command", Words: "commands in hand and the module, with members, a list, time and clients as the adversary",
	Faults: map[string]Fault{
		"answers-twice": {
			"a dispatch that ran out of time, and whose command was given up, answers its client all the same",
			Bounds{Members: 2, Commands: []string{"order"}, Ticks: 5},
		},
		"drain-overlooked": {
			"a draining notice that comes while a dispatch is out is not handed to the module",
			Bounds{Members: 2, Commands: []string{"look", "look"}, Ticks: 1, Faults: 1},
		},
		"long-memory": {
			"the module is told a memory span that is a step of time longer than it is",
			Bounds{Members: 1, Commands: []string{"keyed"}, Ticks: 3, Faults: 1},
		},
		"early-byte": {
			"a connection that broke after the last byte counts as one that broke before",
			Bounds{Members: 2, Commands: []string{"order"}, Ticks: 1, Faults: 1},
		},
		"spoilt-position": {
			"a report's position is taken to be two steps of time further than it is",
			Bounds{Members: 2, Commands: []string{"order", "own"}, Ticks: 2},
		},
		"held-back": {
			"what the module gives up is answered a step of time later",
			Bounds{Members: 1, Commands: []string{"order"}, Ticks: 5},
		},
		"no-age": {
			"the age of a write of this very moment is taken for none",
			Bounds{Members: 2, Commands: []string{"order", "own"}, Ticks: 1, Faults: 1},
		},
		"left-behind": {
			"a client that leaves is not told to the module, whose dispatches go on",
			Bounds{Members: 1, Commands: []string{"keyed"}, Ticks: 2, Faults: 2},
		},
		"forgotten-mark": {
			"what a session has seen is forgotten between two of its reads",
			Bounds{Members: 3, Commands: []string{"own", "own"}, Ticks: 1},
		},
		"reused-index": {
			"a member that is gone leaves its row to another at once, as it was",
			Bounds{Members: 2, Commands: []string{"order", "own"}, Ticks: 2, Faults: 1, Only: []string{"replace"}},
		},
		"two-out": {
			"a dispatch that was called off counts as ended before it has",
			Bounds{Members: 2, Commands: []string{"look"}, Ticks: 3, Faults: 1},
		},
		"lost-end": {
			"the end of a dispatch that was called off is not handed in",
			Bounds{Members: 1, Commands: []string{"look"}, Ticks: 1, Faults: 1, Only: []string{"leave"}},
		},
		"untold-primary": {
			"a change of primary is told by nobody: not by the list, nor by answers",
			Bounds{Members: 2, Commands: []string{"look"}, Ticks: 1, Faults: 1, Only: []string{"promote"}},
		},
		"far-keyed": {
			"a keyed command's repeat goes by a set that is not its own",
			Bounds{Members: 2, Commands: []string{"keyed"}, Ticks: 1, Faults: 1},
		},
	},
	New: func(b Bounds, fault string) func() modelcheck.System {
		return func() modelcheck.System { return newCommands(b, fault) }
	},
}

const (
	cmdTick    = 0.25 // seconds of a step of time
	cmdTimeout = 1.0
	cmdMemory  = 0.4
	cmdGrace   = 0.0
	cmdIdle    = 8.5 // seconds in which the module turns its sessions over and lets rows of members go
)

type commandGroup struct {
	name string
	g    router.CommandGroup
	e    invariant.Idempotency
}

// Names of command groups in bounds, and what they are.
var commandGroups = []commandGroup{
	{"look", router.CommandGroup{Consistency: router.Eventual, Idempotency: router.Idempotent}, invariant.Idempotent},
	{"own", router.CommandGroup{Consistency: router.SessionConsistent, Idempotency: router.Idempotent}, invariant.Idempotent},
	{"order", router.CommandGroup{Consistency: router.PrimaryOnly, Idempotency: router.NonIdempotent}, invariant.NonIdempotent},
	{"keyed", router.CommandGroup{Consistency: router.PrimaryOnly, Idempotency: router.IdempotentWithKey, KeyScope: router.ShardScope}, invariant.IdempotentWithKey},
}

// commands is the system: one router, one set whose member 0 is the primary at first, and one session.
type commands struct {
	bounds            Bounds
	fault             string
	now               float64
	ticks             int
	faults            int
	router            *router.Router
	tracker           *inflight.Tracker
	nextReviewAt      float64
	endpoints         []simulatedEndpoint
	cmds              []*clientCommand
	healthChecks      map[int]bool // that the module waits for
	check             invariant.CommandChecker
	lastWrite         float64  // position of the session's last write
	readHighWaterMark float64  // the furthest position that its reads have shown at this router
	starts            int      // of the router
	heldAnswers       []int    // commands whose answer is held back by a fault
	freeRows          []int    // indices of members that the module has let go
	endedEarly        [][2]int // dispatches that a fault has ended before they have
}

type simulatedEndpoint struct {
	invariant.Backend
	primary     bool
	listedState router.EndpointState
}

type clientCommand struct {
	invariant.Command
	name     string
	group    int
	received bool
	answered bool // its answer is a member's
	attempts []*attempt
}

type attempt struct {
	number, endpoint int
	sentAt, deadline float64
	canceled         bool
	ghost            bool // its command was told that it ran out of time
}

// groupOf finds a command group, or returns -1.
func groupOf(name string) int {
	return slices.IndexFunc(commandGroups, func(g commandGroup) bool { return g.name == name })
}

func newCommands(b Bounds, fault string) *commands {
	c := &commands{
		bounds: b, fault: fault, healthChecks: map[int]bool{}, check: invariant.CommandChecker{DrainGrace: cmdGrace}, lastWrite: math.Inf(-1),
		readHighWaterMark: math.Inf(-1),
	}
	for range b.Members {
		c.endpoints = append(c.endpoints, simulatedEndpoint{listedState: router.Ready, Backend: invariant.Backend{AppliedPosition: 10}})
	}
	c.endpoints[0].primary = true
	for i, name := range b.Commands {
		c.cmds = append(c.cmds, &clientCommand{name: fmt.Sprint(name, " ", i), group: groupOf(name)})
	}
	c.now = 10
	c.startRouter()
	return c
}

// startRouter starts the router, for the first time or anew: it knows only the list that it had last.
func (c *commands) startRouter() {
	s := router.Config{
		RouterCount: 1, TotalWeight: 1, BatchInterval: 0.005, ClientTokens: true, LoadReports: true, CanCancel: true, HealthChecks: true, RetryAfterAllowed: true, MaxRetryAfter: 1,
		MaxAttempts: 3, ConnectTimeout: 0.05, SlowStartFloor: 0.2, SlowStart: 0.1, OverloadFactor: 2, OverloadWindow: 1,
	}
	for _, x := range commandGroups {
		g := x.g
		g.LatencyObjective, g.ClientTimeout, g.PriorityWeight, g.LateValue, g.IdempotencyWindow = cmdTimeout/2, cmdTimeout, 1, 0.5, cmdMemory
		if c.fault == "long-memory" {
			g.IdempotencyWindow += cmdTick
		}
		s.CommandGroups = append(s.CommandGroups, g)
	}
	c.starts++
	c.router = router.New(s, uint64(c.starts)<<48) // a new seed with each start, that draws otherwise
	c.tracker = inflight.New(c.router, c)
	c.sendList(true)
	c.settle()
}

func (c *commands) sendList(cached bool) {
	var l []router.EndpointInfo
	for i, m := range c.endpoints {
		l = append(l, router.EndpointInfo{Index: i, State: m.listedState, StartedAt: math.Inf(-1), Primary: m.primary})
	}
	c.router.UpdateEndpoints(c.now, l, true, cached)
}

// settle lets the module go on by itself up to now.
func (c *commands) settle() {
	next, keep := c.tracker.ReviewDue(c.now)
	for _, e := range c.endedEarly {
		c.tracker.AttemptEnded(c.now, uint32(e[0]), router.AttemptResult{Attempt: e[1], Result: router.Canceled, Position: -1})
	}
	c.endedEarly, c.nextReviewAt = nil, next
	c.freeRows = append(c.freeRows, keep.Release...)
	for _, n := range keep.HealthCheck {
		c.healthChecks[n] = true
	}
}

// Forward implements inflight.Executor.
func (c *commands) Forward(id uint32, number, node int, until float64) {
	x := c.cmds[id]
	m := c.endpoints[node].Backend
	if c.fault == "far-keyed" && number > 0 {
		m.Shard++
	}
	c.check.AttemptSent(c.now, x.name, &x.Command, node, &m)
	x.attempts = append(x.attempts, &attempt{number: number, endpoint: node, sentAt: c.now, deadline: until})
}

// Cancel implements inflight.Executor.
func (c *commands) Cancel(id uint32, number int) {
	for _, l := range c.cmds[id].attempts {
		if l.number == number {
			l.canceled = true
			if c.fault == "two-out" {
				c.endedEarly = append(c.endedEarly, [2]int{int(id), number})
			}
		}
	}
}

// Reject implements inflight.Executor.
func (c *commands) Reject(id uint32, _ float64) { c.Fail(id) }

// Fail implements inflight.Executor.
func (c *commands) Fail(id uint32) {
	if c.fault == "held-back" {
		c.heldAnswers = append(c.heldAnswers, int(id))
		return
	}
	c.check.CommandAnswered(c.now, c.cmds[id].name, &c.cmds[id].Command)
}

// Steps implements modelcheck.System.
func (c *commands) Steps() []string {
	if c.Ended() && !c.hasAttemptsInFlight() && len(c.heldAnswers) == 0 {
		return nil // nothing more can come of them
	}
	may := func(kind string) bool { return c.bounds.may(kind, c.faults) }
	var s stepList
	for i, x := range c.cmds {
		s.addIf(!x.received, "take %d", i)
		s.addIf(x.received && x.Open() && may("leave"), "leave %d", i)
		for k, l := range x.attempts {
			c.addEndings(&s, l, i, k)
		}
	}
	for i := range c.endpoints {
		c.addMemberSteps(&s, i)
	}
	s.addIf(may("restart"), "restart")
	s.addIf(slices.Contains(c.bounds.Only, "idle") && may("idle"), "idle") // costly, and of use in few bounds
	s.addIf(c.ticks < c.bounds.Ticks, "tick")
	return s
}

// addEndings adds how a dispatch may end.
func (c *commands) addEndings(s *stepList, l *attempt, i, k int) {
	s.addIf(l.canceled && !l.ghost, "recalled %d %d", i, k) // the race with its answer
	s.add("answered %d %d", i, k)
	if l.ghost || l.canceled {
		return
	}
	for _, kind := range []string{"errored", "full", "unreached", "broken"} {
		s.addIf(c.bounds.may(kind, c.faults), "%s %d %d", kind, i, k)
	}
}

// addMemberSteps adds what a member may do, and what may become of it.
func (c *commands) addMemberSteps(s *stepList, i int) {
	may := func(kind string) bool { return c.bounds.may(kind, c.faults) }
	m := &c.endpoints[i]
	isReady, isReadyReplica := m.listedState == router.Ready, m.listedState == router.Ready && !m.primary
	s.addIf(c.healthChecks[i], "report %d", i)
	s.addIf(!m.primary && m.AppliedPosition < c.now && m.listedState != router.Removed, "apply %d", i)
	s.addIf(may("drain") && isReady, "drain %d", i)
	s.addIf(may("replace") && isReadyReplica, "replace %d", i)
	s.addIf(may("promote") && isReadyReplica && m.AppliedPosition >= c.lastWrite, "promote %d", i)
}

// Commute implements modelcheck.Commuter: a replica that applies its log touches nothing but itself, and most steps
// do not look at it.
func (c *commands) Commute(a, b string) bool {
	if modelcheck.Kind(a) != "apply" {
		a, b = b, a
	}
	if modelcheck.Kind(a) != "apply" {
		return false
	}
	switch modelcheck.Kind(b) {
	case "apply", "take": // what may end the last command is not among them: nothing comes after that
		return a != b
	case "report":
		return strings.TrimPrefix(a, "apply") != strings.TrimPrefix(b, "report")
	}
	return false
}

var attemptResults = map[string]router.Result{
	"answered": router.Answered, "errored": router.Errored, "full": router.Overloaded,
	"unreached": router.ConnectFailed, "broken": router.ConnectionLost, "recalled": router.Canceled, "timed": router.TimedOut,
}

// Take implements modelcheck.System.
func (c *commands) Take(step string) {
	kind, n, k := parseStep(step)
	switch kind {
	case "take":
		c.take(n)
	case "leave":
		c.leave(n)
	case "report":
		c.report(n)
	case "apply":
		c.endpoints[n].AppliedPosition = c.now
	case "drain":
		c.drain(n)
	case "replace":
		c.faults++
		c.replace(n)
	case "promote":
		c.promote(n)
	case "restart":
		c.restart()
	case "tick":
		c.ticks++
		c.passTime(cmdTick)
	case "idle":
		c.faults++
		c.passTime(cmdIdle)
	default:
		c.endAttempt(n, k, kind)
	}
	c.settle()
}

func (c *commands) leave(n int) {
	c.faults++
	c.check.CommandAbandoned(&c.cmds[n].Command)
	if c.fault != "left-behind" {
		c.tracker.ClientGone(c.now, uint32(n))
	}
}

// report has a member answer a probe.
func (c *commands) report(n int) {
	delete(c.healthChecks, n)
	m := c.endpoints[n]
	at := m.AppliedPosition
	if c.fault == "spoilt-position" {
		at += 2 * cmdTick
	}
	c.router.HealthChecked(c.now, n, router.Answered, 0, at, m.primary)
}

func (c *commands) drain(n int) {
	c.faults++
	m := &c.endpoints[n]
	m.listedState, m.Draining, m.DrainingSince = router.Draining, true, c.now
	if c.fault != "drain-overlooked" || !c.hasAttemptsInFlight() {
		c.sendList(false)
	}
}

func (c *commands) promote(n int) {
	c.faults++
	for i := range c.endpoints {
		c.endpoints[i].primary = i == n
	}
	c.endpoints[n].AppliedPosition = c.now
	if c.fault != "untold-primary" {
		c.sendList(false)
	}
}

// restart has the router end and start anew; its clients' commands end with it.
func (c *commands) restart() {
	c.faults++
	for _, x := range c.cmds {
		if x.received {
			c.check.CommandAbandoned(&x.Command)
			x.attempts = nil
		}
	}
	c.healthChecks, c.heldAnswers, c.readHighWaterMark = map[int]bool{}, nil, math.Inf(-1)
	c.startRouter()
}

// replace has a replica go for good, and another come that has nothing yet, under an index that the module has let go
// if there is one.
func (c *commands) replace(n int) {
	m := &c.endpoints[n]
	if c.fault == "reused-index" {
		m.AppliedPosition = 0
	} else {
		m.listedState, m.Draining, m.DrainingSince = router.Removed, true, c.now
		if len(c.freeRows) > 0 {
			c.endpoints[c.freeRows[0]] = simulatedEndpoint{listedState: router.Ready}
			c.freeRows = c.freeRows[1:]
		} else {
			c.endpoints = append(c.endpoints, simulatedEndpoint{listedState: router.Ready})
		}
	}
	c.sendList(false)
}

func (c *commands) hasAttemptsInFlight() bool {
	for _, x := range c.cmds {
		if len(x.attempts) > 0 {
			return true
		}
	}
	return false
}

func (c *commands) take(n int) {
	if c.fault == "forgotten-mark" && !c.hasAttemptsInFlight() {
		c.startRouter()
	}
	x := c.cmds[n]
	x.received = true
	g := commandGroups[x.group]
	x.Idempotency, x.ClientDeadline, x.IdempotencyWindow, x.RequiredPosition = g.e, c.now+cmdTimeout, cmdMemory, math.Inf(-1)
	in := router.Command{Group: x.group, Session: 7, ArrivedAt: c.now, ClientDeadline: x.ClientDeadline}
	x.SeenPosition = math.Inf(-1)
	if g.g.Consistency == router.SessionConsistent {
		x.SeenPosition = c.readHighWaterMark
	}
	if g.g.Consistency == router.SessionConsistent && !math.IsInf(c.lastWrite, -1) {
		x.RequiredPosition, in.LastWriteAge = c.lastWrite, cmp.Or(c.now-c.lastWrite, -math.SmallestNonzeroFloat64) // as the front makes it
		if c.fault == "no-age" {
			in.LastWriteAge = math.Max(0, c.now-c.lastWrite)
		}
	}
	c.tracker.Add(c.now, uint32(n), in)
}

// endAttempt has a dispatch endAttempt.
func (c *commands) endAttempt(n, k int, kind string) {
	x := c.cmds[n]
	l := x.attempts[k]
	if l.ghost {
		c.check.CommandAnswered(c.now, x.name, &x.Command)
	}
	if c.fault == "answers-twice" && kind == "timed" && !l.ghost {
		l.ghost = true
		defer func() { x.attempts = append(x.attempts, l) }()
	}
	x.attempts = slices.Delete(slices.Clone(x.attempts), k, k+1)
	if isFault(kind) {
		c.faults++
	}
	result := attemptResults[kind]
	m := &c.endpoints[l.endpoint]
	missed := result == router.Answered && x.consistency() == router.PrimaryOnly && !m.primary // a replica turns it away
	c.check.AttemptEnded(&x.Command, l.sentAt, m.Shard, mayHaveRun(result) && !missed)
	o := c.outcome(l, result, missed)
	if o.Result == router.Answered {
		c.serve(x, l, &o)
	}
	wasOpen := x.Open()
	if c.fault != "lost-end" || result != router.Canceled {
		c.tracker.AttemptEnded(c.now, uint32(n), o)
	}
	if o.Result == router.Answered && wasOpen {
		x.answered = true
		c.check.CommandAnswered(c.now, x.name, &x.Command)
	}
}

// isFault tells whether an ending of a dispatch is a fault of the adversary's.
func isFault(ending string) bool {
	return ending != "answered" && ending != "recalled" && ending != "timed"
}

func (x *clientCommand) consistency() router.Consistency { return commandGroups[x.group].g.Consistency }

// mayHaveRun tells whether a command may have run whose dispatch ended so.
func mayHaveRun(result router.Result) bool {
	switch result {
	case router.Answered, router.Errored, router.ConnectionLost, router.TimedOut, router.Canceled:
		return true
	default:
		return false
	}
}

// outcome is what the module is told of the end of a dispatch.
func (c *commands) outcome(l *attempt, result router.Result, missed bool) router.AttemptResult {
	o := router.AttemptResult{Attempt: l.number, Result: result, Elapsed: c.now - l.sentAt, Final: result == router.Answered, Position: -1}
	hasAnswer := result == router.Answered || result == router.Errored
	if hasAnswer && c.fault != "untold-primary" { // an answer says what its member is
		o.Role = router.RoleReplica
		if c.endpoints[l.endpoint].primary {
			o.Role = router.RolePrimary
		}
	}
	switch {
	case missed:
		o.Result, o.Final = router.NotServed, false
	case c.fault == "early-byte" && result == router.ConnectionLost:
		o.Result = router.ConnectFailed
	}
	return o
}

// serve has a member's answer take effect: a write moves its position, a read shows it.
func (c *commands) serve(x *clientCommand, l *attempt, o *router.AttemptResult) {
	m := &c.endpoints[l.endpoint]
	if x.consistency() == router.PrimaryOnly {
		c.lastWrite, m.AppliedPosition = c.now, c.now
		o.Position = c.now
		return
	}
	o.Position = m.AppliedPosition
	c.check.ReadServed(x.name, &x.Command, l.endpoint, &m.Backend)
	if x.consistency() == router.SessionConsistent {
		c.readHighWaterMark = math.Max(c.readHighWaterMark, m.AppliedPosition)
	}
}

// passTime lets time passTime. The module has its say at each moment that it asked for, and dispatches run out
// of time at theirs.
func (c *commands) passTime(span float64) {
	held := c.heldAnswers
	c.heldAnswers = nil
	end := c.now + span
	for c.now < end {
		at := math.Min(end, math.Max(c.nextReviewAt, c.now+0.001))
		for _, x := range c.cmds {
			for _, l := range x.attempts {
				if !l.ghost {
					at = math.Min(at, math.Max(l.deadline, c.now))
				}
			}
		}
		c.now = at
		for i, x := range c.cmds {
			for k := 0; k < len(x.attempts); k++ {
				if x.attempts[k].deadline <= c.now && !x.attempts[k].ghost {
					c.endAttempt(i, k, "timed")
					k--
				}
			}
		}
		c.settle()
		for i := range c.endpoints {
			if c.endpoints[i].primary {
				c.endpoints[i].AppliedPosition = c.now
			}
		}
	}
	for _, n := range held {
		c.check.CommandAnswered(c.now, c.cmds[n].name, &c.cmds[n].Command)
	}
	for _, x := range c.cmds {
		if x.received {
			c.check.CheckDeadline(c.now, x.name, &x.Command)
		}
	}
}

// commandRules leave out to whom the tracker reports, and the numbers that tell reviews of one time apart.
var commandRules = &modelcheck.Rules{FloatGrain: 1e-9, Ignored: modelcheck.Fields{
	"inflight.Tracker":     {"executor"},
	"inflight.review":      {"order"},
	"inflight.reviewQueue": {"count"},
}}

// Fingerprint implements modelcheck.System. Nothing of the module is left out, chance included; what the world
// looks like follows from what is here.
func (c *commands) Fingerprint(h *modelcheck.Hash) {
	h.Rules = commandRules
	h.Float(c.now)
	h.Uint(uint64(c.faults))
	h.Value(c.tracker)
	h.Value(c.endpoints)
	h.Value(c.cmds)
	h.Value(c.healthChecks)
	h.Value(c.check)
	h.Float(c.lastWrite)
	h.Float(c.readHighWaterMark)
	h.Value(c.heldAnswers)
	h.Value(c.freeRows)
}

// Broken implements modelcheck.System.
func (c *commands) Broken() (string, string) { return c.check.Broken() }

// Ended implements modelcheck.System: every command has had its end.
func (c *commands) Ended() bool {
	for _, x := range c.cmds {
		if !x.received || x.Open() {
			return false
		}
	}
	return true
}
