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
		return func() modelcheck.System { return newCommandSystem(b, fault) }
	},
}

const (
	commandTickSeconds       = 0.25 // seconds of a step of time
	commandTimeoutSeconds    = 1.0
	commandWindowSeconds     = 0.4
	commandDrainGraceSeconds = 0.0
	commandIdleSeconds       = 8.5 // seconds in which the module turns its sessions over and lets rows of members go
)

type commandGroup struct {
	name        string
	config      router.CommandGroup
	idempotency invariant.Effect
}

// Names of command groups in bounds, and what they are.
var commandGroups = []commandGroup{
	{"look", router.CommandGroup{Consistency: router.Eventual, Idempotency: router.Idempotent}, invariant.Replayable},
	{"own", router.CommandGroup{Consistency: router.SessionConsistent, Idempotency: router.Idempotent}, invariant.Replayable},
	{"order", router.CommandGroup{Consistency: router.PrimaryOnly, Idempotency: router.NonIdempotent}, invariant.Mutating},
	{"keyed", router.CommandGroup{Consistency: router.PrimaryOnly, Idempotency: router.IdempotentWithKey, KeyScope: router.ShardScope}, invariant.Keyed},
}

// commandSystem is the system: one router, one set whose member 0 is the primary at first, and one session.
type commandSystem struct {
	bounds            Bounds
	fault             string
	now               float64
	ticks             int
	faults            int
	router            *router.Router
	tracker           *inflight.Tracker
	nextReviewAt      float64
	endpoints         []simulatedEndpoint
	commands          []*clientCommand
	healthChecks      map[int]bool // that the module waits for
	checker           invariant.Commands
	lastWritePosition float64  // position of the session's last write
	readHighWaterMark float64  // the furthest position that its reads have shown at this router
	routerStarts      int      // of the router
	heldAnswers       []int    // commands whose answer is held back by a fault
	freeRows          []int    // indices of members that the module has let go
	endedEarly        [][2]int // dispatches that a fault has ended before they have
}

type simulatedEndpoint struct {
	invariant.Member
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
	timedOut         bool // its command was told that it ran out of time
}

// groupOf finds a command group, or returns -1.
func groupOf(name string) int {
	return slices.IndexFunc(commandGroups, func(g commandGroup) bool { return g.name == name })
}

func newCommandSystem(b Bounds, fault string) *commandSystem {
	c := &commandSystem{
		bounds: b, fault: fault, healthChecks: map[int]bool{}, checker: invariant.Commands{Grace: commandDrainGraceSeconds}, lastWritePosition: math.Inf(-1),
		readHighWaterMark: math.Inf(-1),
	}
	for range b.Members {
		c.endpoints = append(c.endpoints, simulatedEndpoint{listedState: router.Ready, Member: invariant.Member{Covers: 10}})
	}
	c.endpoints[0].primary = true
	for i, name := range b.Commands {
		c.commands = append(c.commands, &clientCommand{name: fmt.Sprint(name, " ", i), group: groupOf(name)})
	}
	c.now = 10
	c.startRouter()
	return c
}

// startRouter starts the router, for the first time or anew: it knows only the list that it had last.
func (c *commandSystem) startRouter() {
	s := router.Config{
		RouterCount: 1, TotalWeight: 1, BatchInterval: 0.005, ClientTokens: true, LoadReports: true, CanCancel: true, HealthChecks: true, RetryAfterAllowed: true, MaxRetryAfter: 1,
		MaxAttempts: 3, ConnectTimeout: 0.05, SlowStartFloor: 0.2, SlowStart: 0.1, OverloadFactor: 2, OverloadWindow: 1,
	}
	for _, x := range commandGroups {
		g := x.config
		g.LatencyObjective, g.ClientTimeout, g.PriorityWeight, g.LateValue, g.IdempotencyWindow = commandTimeoutSeconds/2, commandTimeoutSeconds, 1, 0.5, commandWindowSeconds
		if c.fault == "long-memory" {
			g.IdempotencyWindow += commandTickSeconds
		}
		s.CommandGroups = append(s.CommandGroups, g)
	}
	c.routerStarts++
	c.router = router.New(s, uint64(c.routerStarts)<<48) // a new seed with each start, that draws otherwise
	c.tracker = inflight.New(c.router, c)
	c.sendList(true)
	c.runReviews()
}

func (c *commandSystem) sendList(cached bool) {
	var l []router.EndpointInfo
	for i, m := range c.endpoints {
		l = append(l, router.EndpointInfo{Index: i, State: m.listedState, StartedAt: math.Inf(-1), Primary: m.primary})
	}
	c.router.UpdateEndpoints(c.now, l, true, cached)
}

// runReviews lets the module go on by itself up to now.
func (c *commandSystem) runReviews() {
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
func (c *commandSystem) Forward(id uint32, number, node int, until float64) {
	x := c.commands[id]
	m := c.endpoints[node].Member
	if c.fault == "far-keyed" && number > 0 {
		m.Set++
	}
	c.checker.Sent(c.now, x.name, &x.Command, node, &m)
	x.attempts = append(x.attempts, &attempt{number: number, endpoint: node, sentAt: c.now, deadline: until})
}

// Cancel implements inflight.Executor.
func (c *commandSystem) Cancel(id uint32, number int) {
	for _, l := range c.commands[id].attempts {
		if l.number == number {
			l.canceled = true
			if c.fault == "two-out" {
				c.endedEarly = append(c.endedEarly, [2]int{int(id), number})
			}
		}
	}
}

// Reject implements inflight.Executor.
func (c *commandSystem) Reject(id uint32, _ float64) { c.Fail(id) }

// Fail implements inflight.Executor.
func (c *commandSystem) Fail(id uint32) {
	if c.fault == "held-back" {
		c.heldAnswers = append(c.heldAnswers, int(id))
		return
	}
	c.checker.Answered(c.now, c.commands[id].name, &c.commands[id].Command)
}

// Steps implements modelcheck.System.
func (c *commandSystem) Steps() []string {
	if c.Ended() && !c.hasAttemptsInFlight() && len(c.heldAnswers) == 0 {
		return nil // nothing more can come of them
	}
	may := func(kind string) bool { return c.bounds.mayInject(kind, c.faults) }
	var s stepList
	for i, x := range c.commands {
		s.addIf(!x.received, "take %d", i)
		s.addIf(x.received && x.Open() && may("leave"), "leave %d", i)
		for k, l := range x.attempts {
			c.addAttemptSteps(&s, l, i, k)
		}
	}
	for i := range c.endpoints {
		c.addEndpointSteps(&s, i)
	}
	s.addIf(may("restart"), "restart")
	s.addIf(slices.Contains(c.bounds.Only, "idle") && may("idle"), "idle") // costly, and of use in few bounds
	s.addIf(c.ticks < c.bounds.Ticks, "tick")
	return s
}

// addAttemptSteps adds how a dispatch may end.
func (c *commandSystem) addAttemptSteps(s *stepList, l *attempt, i, k int) {
	s.addIf(l.canceled && !l.timedOut, "recalled %d %d", i, k) // the race with its answer
	s.add("answered %d %d", i, k)
	if l.timedOut || l.canceled {
		return
	}
	for _, kind := range []string{"errored", "full", "unreached", "broken"} {
		s.addIf(c.bounds.mayInject(kind, c.faults), "%s %d %d", kind, i, k)
	}
}

// addEndpointSteps adds what a member may do, and what may become of it.
func (c *commandSystem) addEndpointSteps(s *stepList, i int) {
	may := func(kind string) bool { return c.bounds.mayInject(kind, c.faults) }
	m := &c.endpoints[i]
	isReady, isReadyReplica := m.listedState == router.Ready, m.listedState == router.Ready && !m.primary
	s.addIf(c.healthChecks[i], "report %d", i)
	s.addIf(!m.primary && m.Covers < c.now && m.listedState != router.Removed, "apply %d", i)
	s.addIf(may("drain") && isReady, "drain %d", i)
	s.addIf(may("replace") && isReadyReplica, "replace %d", i)
	s.addIf(may("promote") && isReadyReplica && m.Covers >= c.lastWritePosition, "promote %d", i)
}

// Commute implements modelcheck.Commuter: a replica that applies its log touches nothing but itself, and most steps
// do not look at it.
func (c *commandSystem) Commute(a, b string) bool {
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
func (c *commandSystem) Take(step string) {
	kind, n, k := parseStep(step)
	switch kind {
	case "take":
		c.receiveCommand(n)
	case "leave":
		c.leaveClient(n)
	case "report":
		c.answerHealthCheck(n)
	case "apply":
		c.endpoints[n].Covers = c.now
	case "drain":
		c.drainEndpoint(n)
	case "replace":
		c.faults++
		c.replaceReplica(n)
	case "promote":
		c.promoteReplica(n)
	case "restart":
		c.restartRouter()
	case "tick":
		c.ticks++
		c.passTime(commandTickSeconds)
	case "idle":
		c.faults++
		c.passTime(commandIdleSeconds)
	default:
		c.endAttempt(n, k, kind)
	}
	c.runReviews()
}

func (c *commandSystem) leaveClient(n int) {
	c.faults++
	c.checker.Ended(&c.commands[n].Command)
	if c.fault != "left-behind" {
		c.tracker.ClientGone(c.now, uint32(n))
	}
}

// answerHealthCheck has a member answer a probe.
func (c *commandSystem) answerHealthCheck(n int) {
	delete(c.healthChecks, n)
	m := c.endpoints[n]
	at := m.Covers
	if c.fault == "spoilt-position" {
		at += 2 * commandTickSeconds
	}
	c.router.HealthChecked(c.now, n, router.Answered, 0, at, m.primary)
}

func (c *commandSystem) drainEndpoint(n int) {
	c.faults++
	m := &c.endpoints[n]
	m.listedState, m.Away, m.AwaySince = router.Draining, true, c.now
	if c.fault != "drain-overlooked" || !c.hasAttemptsInFlight() {
		c.sendList(false)
	}
}

func (c *commandSystem) promoteReplica(n int) {
	c.faults++
	for i := range c.endpoints {
		c.endpoints[i].primary = i == n
	}
	c.endpoints[n].Covers = c.now
	if c.fault != "untold-primary" {
		c.sendList(false)
	}
}

// restartRouter has the router end and start anew; its clients' commands end with it.
func (c *commandSystem) restartRouter() {
	c.faults++
	for _, x := range c.commands {
		if x.received {
			c.checker.Ended(&x.Command)
			x.attempts = nil
		}
	}
	c.healthChecks, c.heldAnswers, c.readHighWaterMark = map[int]bool{}, nil, math.Inf(-1)
	c.startRouter()
}

// replaceReplica has a replica go for good, and another come that has nothing yet, under an index that the module has let go
// if there is one.
func (c *commandSystem) replaceReplica(n int) {
	m := &c.endpoints[n]
	if c.fault == "reused-index" {
		m.Covers = 0
	} else {
		m.listedState, m.Away, m.AwaySince = router.Removed, true, c.now
		if len(c.freeRows) > 0 {
			c.endpoints[c.freeRows[0]] = simulatedEndpoint{listedState: router.Ready}
			c.freeRows = c.freeRows[1:]
		} else {
			c.endpoints = append(c.endpoints, simulatedEndpoint{listedState: router.Ready})
		}
	}
	c.sendList(false)
}

func (c *commandSystem) hasAttemptsInFlight() bool {
	for _, x := range c.commands {
		if len(x.attempts) > 0 {
			return true
		}
	}
	return false
}

func (c *commandSystem) receiveCommand(n int) {
	if c.fault == "forgotten-mark" && !c.hasAttemptsInFlight() {
		c.startRouter()
	}
	x := c.commands[n]
	x.received = true
	g := commandGroups[x.group]
	x.Effect, x.GiveUp, x.Memory, x.Needs = g.idempotency, c.now+commandTimeoutSeconds, commandWindowSeconds, math.Inf(-1)
	in := router.Command{Group: x.group, Session: 7, ArrivedAt: c.now, ClientDeadline: x.GiveUp}
	x.Seen = math.Inf(-1)
	if g.config.Consistency == router.SessionConsistent {
		x.Seen = c.readHighWaterMark
	}
	if g.config.Consistency == router.SessionConsistent && !math.IsInf(c.lastWritePosition, -1) {
		x.Needs, in.LastWriteAge = c.lastWritePosition, cmp.Or(c.now-c.lastWritePosition, -math.SmallestNonzeroFloat64) // as the front makes it
		if c.fault == "no-age" {
			in.LastWriteAge = math.Max(0, c.now-c.lastWritePosition)
		}
	}
	c.tracker.Add(c.now, uint32(n), in)
}

// endAttempt has a dispatch endAttempt.
func (c *commandSystem) endAttempt(n, k int, kind string) {
	x := c.commands[n]
	l := x.attempts[k]
	if l.timedOut {
		c.checker.Answered(c.now, x.name, &x.Command)
	}
	if c.fault == "answers-twice" && kind == "timed" && !l.timedOut {
		l.timedOut = true
		defer func() { x.attempts = append(x.attempts, l) }()
	}
	x.attempts = slices.Delete(slices.Clone(x.attempts), k, k+1)
	if isInjectedResult(kind) {
		c.faults++
	}
	result := attemptResults[kind]
	m := &c.endpoints[l.endpoint]
	missed := result == router.Answered && x.consistency() == router.PrimaryOnly && !m.primary // a replica turns it away
	c.checker.Back(&x.Command, l.sentAt, m.Set, mayHaveRun(result) && !missed)
	o := c.attemptResult(l, result, missed)
	if o.Result == router.Answered {
		c.applyAnswer(x, l, &o)
	}
	wasOpen := x.Open()
	if c.fault != "lost-end" || result != router.Canceled {
		c.tracker.AttemptEnded(c.now, uint32(n), o)
	}
	if o.Result == router.Answered && wasOpen {
		x.answered = true
		c.checker.Answered(c.now, x.name, &x.Command)
	}
}

// isInjectedResult tells whether an ending of a dispatch is a fault of the adversary's.
func isInjectedResult(ending string) bool {
	return ending != "answered" && ending != "recalled" && ending != "timed"
}

func (x *clientCommand) consistency() router.Consistency {
	return commandGroups[x.group].config.Consistency
}

// mayHaveRun tells whether a command may have run whose dispatch ended so.
func mayHaveRun(result router.Result) bool {
	switch result {
	case router.Answered, router.Errored, router.ConnectionLost, router.TimedOut, router.Canceled:
		return true
	default:
		return false
	}
}

// attemptResult is what the module is told of the end of a dispatch.
func (c *commandSystem) attemptResult(l *attempt, result router.Result, missed bool) router.AttemptResult {
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

// applyAnswer has a member's answer take effect: a write moves its position, a read shows it.
func (c *commandSystem) applyAnswer(x *clientCommand, l *attempt, o *router.AttemptResult) {
	m := &c.endpoints[l.endpoint]
	if x.consistency() == router.PrimaryOnly {
		c.lastWritePosition, m.Covers = c.now, c.now
		o.Position = c.now
		return
	}
	o.Position = m.Covers
	c.checker.Served(x.name, &x.Command, l.endpoint, &m.Member)
	if x.consistency() == router.SessionConsistent {
		c.readHighWaterMark = math.Max(c.readHighWaterMark, m.Covers)
	}
}

// passTime lets time passTime. The module has its say at each moment that it asked for, and dispatches run out
// of time at theirs.
func (c *commandSystem) passTime(span float64) {
	held := c.heldAnswers
	c.heldAnswers = nil
	end := c.now + span
	for c.now < end {
		at := math.Min(end, math.Max(c.nextReviewAt, c.now+0.001))
		for _, x := range c.commands {
			for _, l := range x.attempts {
				if !l.timedOut {
					at = math.Min(at, math.Max(l.deadline, c.now))
				}
			}
		}
		c.now = at
		for i, x := range c.commands {
			for k := 0; k < len(x.attempts); k++ {
				if x.attempts[k].deadline <= c.now && !x.attempts[k].timedOut {
					c.endAttempt(i, k, "timed")
					k--
				}
			}
		}
		c.runReviews()
		for i := range c.endpoints {
			if c.endpoints[i].primary {
				c.endpoints[i].Covers = c.now
			}
		}
	}
	for _, n := range held {
		c.checker.Answered(c.now, c.commands[n].name, &c.commands[n].Command)
	}
	for _, x := range c.commands {
		if x.received {
			c.checker.Overdue(c.now, x.name, &x.Command)
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
func (c *commandSystem) Fingerprint(h *modelcheck.Hash) {
	h.Rules = commandRules
	h.Float(c.now)
	h.Uint(uint64(c.faults))
	h.Value(c.tracker)
	h.Value(c.endpoints)
	h.Value(c.commands)
	h.Value(c.healthChecks)
	h.Value(c.checker)
	h.Float(c.lastWritePosition)
	h.Float(c.readHighWaterMark)
	h.Value(c.heldAnswers)
	h.Value(c.freeRows)
}

// Broken implements modelcheck.System.
func (c *commandSystem) Broken() (string, string) { return c.checker.Broken() }

// Ended implements modelcheck.System: every command has had its end.
func (c *commandSystem) Ended() bool {
	for _, x := range c.commands {
		if !x.received || x.Open() {
			return false
		}
	}
	return true
}
