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
	Name:        "command",
	Description: "commands in flight at one router; the adversary controls backends, the endpoint list, time and clients",
	Faults: map[string]Fault{
		"answers-twice": {
			"an attempt that timed out, and whose command was failed, still answers the client",
			Bounds{Members: 2, Commands: []string{"order"}, Ticks: 5},
		},
		"drain-overlooked": {
			"a draining notice that comes while an attempt is in flight does not reach the router",
			Bounds{Members: 2, Commands: []string{"look", "look"}, Ticks: 1, Faults: 1},
		},
		"long-memory": {
			"the router's idempotency window is one time step longer than the backends'",
			Bounds{Members: 1, Commands: []string{"keyed"}, Ticks: 3, Faults: 1},
		},
		"early-byte": {
			"a connection that broke after the last byte was written counts as one that broke before",
			Bounds{Members: 2, Commands: []string{"order"}, Ticks: 1, Faults: 1},
		},
		"spoilt-position": {
			"a load report's position counts as two time steps newer than it is",
			Bounds{Members: 2, Commands: []string{"order", "own"}, Ticks: 2},
		},
		"held-back": {
			"a command that the router fails is answered one time step later",
			Bounds{Members: 1, Commands: []string{"order"}, Ticks: 5},
		},
		"no-age": {
			"a write of this very moment gets age 0, which means no write",
			Bounds{Members: 2, Commands: []string{"order", "own"}, Ticks: 1, Faults: 1},
		},
		"left-behind": {
			"the router does not learn that a client left, and goes on with its attempts",
			Bounds{Members: 1, Commands: []string{"keyed"}, Ticks: 2, Faults: 2},
		},
		"forgotten-mark": {
			"the position that a session has seen is forgotten between two of its reads",
			Bounds{Members: 3, Commands: []string{"own", "own"}, Ticks: 1},
		},
		"reused-index": {
			"a new backend takes a removed endpoint's row at once, with the old state in the router",
			Bounds{Members: 2, Commands: []string{"order", "own"}, Ticks: 2, Faults: 1, Only: []string{"replace"}},
		},
		"two-out": {
			"a canceled attempt counts as ended before it has ended",
			Bounds{Members: 2, Commands: []string{"look"}, Ticks: 3, Faults: 1},
		},
		"lost-end": {
			"the end of a canceled attempt is not reported to the router",
			Bounds{Members: 1, Commands: []string{"look"}, Ticks: 1, Faults: 1, Only: []string{"leave"}},
		},
		"untold-primary": {
			"the router learns of a change of primary neither from the list nor from answers",
			Bounds{Members: 2, Commands: []string{"look"}, Ticks: 1, Faults: 1, Only: []string{"promote"}},
		},
		"lost-at-a-move": {
			"after a change of settings, the router does not learn the role in answers to commands of the earlier settings",
			Bounds{Members: 2, Commands: []string{"order", "order", "strong"}, Ticks: 1, Faults: 2, Depth: 9, Only: []string{"move", "promote"}},
		},
		"far-keyed": {
			"a keyed command is retried at a shard that is not its own",
			Bounds{Members: 2, Commands: []string{"keyed"}, Ticks: 1, Faults: 1},
		},
	},
	New: func(b Bounds, fault string) func() modelcheck.System {
		return func() modelcheck.System { return newCommandSystem(b, fault) }
	},
}

const (
	commandTickSeconds       = 0.25 // length of one time step
	commandTimeoutSeconds    = 1.0  // client timeout of every command
	commandWindowSeconds     = 0.4  // idempotency window of keyed commands
	commandDrainGraceSeconds = 0.0  // time after a draining notice in which attempts may still be sent
	commandIdleSeconds       = 8.5  // long enough for the router to forget old sessions and release endpoint rows
)

// commandGroup is a command group that bounds may name.
type commandGroup struct {
	name        string
	config      router.CommandGroup
	idempotency invariant.Idempotency
}

// commandGroups are the command groups that bounds may name.
var commandGroups = []commandGroup{
	{"look", router.CommandGroup{Consistency: router.Eventual, Idempotency: router.Idempotent}, invariant.Idempotent},
	{"own", router.CommandGroup{Consistency: router.SessionConsistent, Idempotency: router.Idempotent}, invariant.Idempotent},
	{"order", router.CommandGroup{Consistency: router.PrimaryOnly, Idempotency: router.NonIdempotent}, invariant.NonIdempotent},
	{
		"keyed",
		router.CommandGroup{Consistency: router.PrimaryOnly, Idempotency: router.IdempotentWithKey, KeyScope: router.ShardScope},
		invariant.IdempotentWithKey,
	},
	{"strong", router.CommandGroup{Consistency: router.Linearizable, Idempotency: router.Idempotent}, invariant.Idempotent},
}

// commandSystem is the system "command": the tracker and router module of one router, one shard whose primary is endpoint 0 at
// first, and one session. Times are in seconds; a position is the time of the last write that it covers.
type commandSystem struct {
	bounds            Bounds
	fault             string
	now               float64
	ticks             int
	faults            int
	router            *router.Router
	tracker           *inflight.Tracker
	nextReviewAt      float64 // when the tracker's next review is due
	endpoints         []simulatedEndpoint
	commands          []*clientCommand
	healthChecks      map[int]bool // endpoints whose health check the router waits for
	checker           invariant.CommandChecker
	lastWritePosition float64  // position of the session's last write; -Inf if it has not written
	readHighWaterMark float64  // highest position that the session's reads have shown at this router
	routerStarts      int      // routers started, also the seed of the newest one; a change of settings starts one too
	heldAnswers       []int    // commands whose answer the fault held-back delays
	freeRows          []int    // endpoint indices that the router has released
	endedEarly        [][2]int // command and number of canceled attempts that the fault two-out ends early
}

// simulatedEndpoint is a row of the endpoint list, with the true state of its backend.
type simulatedEndpoint struct {
	invariant.Backend
	primary       bool
	statedPrimary bool // it has stated in an answer that it is the primary
	listedState   router.EndpointState
}

// clientCommand is a command of the session's client.
type clientCommand struct {
	invariant.Command
	name     string
	group    int
	received bool // the router has received it
	answered bool // a backend has answered it, rather than the router with an error
	earlier  bool // the settings have changed since the router received it
	attempts []*attempt
}

// attempt is an attempt in flight. Its number and deadline come from the router.
type attempt struct {
	number, endpoint int
	sentAt, deadline float64
	canceled         bool
	timedOut         bool // the fault answers-twice has reported it as timed out and will still answer it
}

// groupOf returns the index of a command group in commandGroups, or -1.
func groupOf(name string) int {
	return slices.IndexFunc(commandGroups, func(g commandGroup) bool { return g.name == name })
}

func newCommandSystem(b Bounds, fault string) *commandSystem {
	c := &commandSystem{
		bounds: b, fault: fault, healthChecks: map[int]bool{}, checker: invariant.CommandChecker{DrainGrace: commandDrainGraceSeconds},
		lastWritePosition: math.Inf(-1), readHighWaterMark: math.Inf(-1),
	}
	for range b.Members {
		c.endpoints = append(c.endpoints, simulatedEndpoint{listedState: router.Ready, Backend: invariant.Backend{AppliedPosition: 10}})
	}
	c.endpoints[0].primary = true
	for i, name := range b.Commands {
		c.commands = append(c.commands, &clientCommand{name: fmt.Sprint(name, " ", i), group: groupOf(name)})
	}
	c.now = 10
	c.startRouter()
	return c
}

// startRouter starts the router, or restarts it with nothing but a cached endpoint list.
func (c *commandSystem) startRouter() {
	c.router = c.newRouter()
	c.tracker = inflight.New(c.router, c)
	for i := range c.endpoints {
		c.endpoints[i].FormerPrimary = false
	}
	c.sendList(true)
	c.runReviews()
}

// newRouter returns a router that draws from a seed of its own.
func (c *commandSystem) newRouter() *router.Router {
	config := router.Config{
		RouterCount: 1, TotalWeight: 1, BatchInterval: 0.005, ClientTokens: true, LoadReports: true, CanCancel: true,
		HealthChecks: true, RetryAfterAllowed: true, MaxRetryAfter: 1, MaxAttempts: 3,
		ConnectTimeout: 0.05, SlowStartFloor: 0.2, SlowStart: 0.1, OverloadFactor: 2, OverloadWindow: 1,
	}
	for _, group := range commandGroups {
		groupConfig := group.config
		groupConfig.LatencyObjective, groupConfig.ClientTimeout, groupConfig.PriorityWeight, groupConfig.LateValue,
			groupConfig.IdempotencyWindow = commandTimeoutSeconds/2, commandTimeoutSeconds, 1, 0.5, commandWindowSeconds
		if c.fault == "long-memory" {
			groupConfig.IdempotencyWindow += commandTickSeconds
		}
		config.CommandGroups = append(config.CommandGroups, groupConfig)
	}
	c.routerStarts++
	return router.New(config, uint64(c.routerStarts)<<48)
}

// moveSettings changes the settings, to equal ones, while commands are in flight.
func (c *commandSystem) moveSettings() {
	c.faults++
	c.router = c.newRouter()
	c.tracker.SwitchRouter(c.router)
	for _, cmd := range c.commands {
		cmd.earlier = cmd.received
	}
}

func (c *commandSystem) sendList(cached bool) {
	var list []router.EndpointInfo
	for i, e := range c.endpoints {
		list = append(list, router.EndpointInfo{Index: i, State: e.listedState, StartedAt: math.Inf(-1), Primary: e.primary})
	}
	c.router.UpdateEndpoints(c.now, list, true, cached)
}

// runReviews lets the tracker and the router do everything that is due by now.
func (c *commandSystem) runReviews() {
	next, maintenance := c.tracker.ReviewDue(c.now)
	for _, ended := range c.endedEarly {
		c.tracker.AttemptEnded(c.now, uint32(ended[0]), router.AttemptResult{Attempt: ended[1], Result: router.Canceled, Position: -1})
	}
	c.endedEarly, c.nextReviewAt = nil, next
	c.freeRows = append(c.freeRows, maintenance.Release...)
	for _, endpoint := range maintenance.HealthCheck {
		c.healthChecks[endpoint] = true
	}
}

// Forward implements inflight.Executor.
func (c *commandSystem) Forward(id uint32, number, endpoint int, deadline float64) {
	cmd := c.commands[id]
	backend := c.endpoints[endpoint].Backend
	if c.fault == "far-keyed" && number > 0 {
		backend.Shard++
	}
	c.checker.AttemptSent(c.now, cmd.name, &cmd.Command, endpoint, &backend)
	cmd.attempts = append(cmd.attempts, &attempt{number: number, endpoint: endpoint, sentAt: c.now, deadline: deadline})
}

// Cancel implements inflight.Executor.
func (c *commandSystem) Cancel(id uint32, number int) {
	for _, a := range c.commands[id].attempts {
		if a.number == number {
			a.canceled = true
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
	c.checker.CommandAnswered(c.now, c.commands[id].name, &c.commands[id].Command)
}

// Steps implements modelcheck.System.
func (c *commandSystem) Steps() []string {
	if c.Ended() && !c.hasAttemptsInFlight() && len(c.heldAnswers) == 0 {
		return nil // no command can change any more
	}
	mayInject := func(kind string) bool { return c.bounds.mayInject(kind, c.faults) }
	var steps stepList
	for i, cmd := range c.commands {
		steps.addIf(!cmd.received, "take %d", i)
		steps.addIf(cmd.received && cmd.Open() && mayInject("leave"), "leave %d", i)
		for k, a := range cmd.attempts {
			c.addAttemptSteps(&steps, a, i, k)
		}
	}
	for i := range c.endpoints {
		c.addEndpointSteps(&steps, i)
	}
	steps.addIf(mayInject("restart"), "restart")
	// The steps idle and move multiply the states, and few bounds need them.
	for _, kind := range []string{"idle", "move"} {
		steps.addIf(slices.Contains(c.bounds.Only, kind) && mayInject(kind), "%s", kind)
	}
	steps.addIf(c.ticks < c.bounds.Ticks, "tick")
	return steps
}

// addAttemptSteps adds the ways in which an attempt may end.
func (c *commandSystem) addAttemptSteps(steps *stepList, a *attempt, command, index int) {
	steps.addIf(a.canceled && !a.timedOut, "recalled %d %d", command, index) // the cancellation races with the answer
	steps.add("answered %d %d", command, index)
	if a.timedOut || a.canceled {
		return
	}
	for _, kind := range []string{"errored", "full", "unreached", "broken"} {
		steps.addIf(c.bounds.mayInject(kind, c.faults), "%s %d %d", kind, command, index)
	}
}

// addEndpointSteps adds what may happen to an endpoint and its backend.
func (c *commandSystem) addEndpointSteps(steps *stepList, i int) {
	mayInject := func(kind string) bool { return c.bounds.mayInject(kind, c.faults) }
	e := &c.endpoints[i]
	isReady, isReadyReplica := e.listedState == router.Ready, e.listedState == router.Ready && !e.primary
	steps.addIf(c.healthChecks[i], "report %d", i)
	steps.addIf(!e.primary && e.AppliedPosition < c.now && e.listedState != router.Removed, "apply %d", i)
	steps.addIf(mayInject("drain") && isReady, "drain %d", i)
	steps.addIf(mayInject("replace") && isReadyReplica, "replace %d", i)
	steps.addIf(mayInject("promote") && isReadyReplica && e.AppliedPosition >= c.lastWritePosition, "promote %d", i)
}

// Commute implements modelcheck.Commuter. A replica that applies its log changes only itself, and most steps do not read it.
func (c *commandSystem) Commute(a, b string) bool {
	if modelcheck.Kind(a) != "apply" {
		a, b = b, a
	}
	if modelcheck.Kind(a) != "apply" {
		return false
	}
	switch modelcheck.Kind(b) {
	case "apply", "take": // not the steps that may end the last command: after its end, no step is possible
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
		c.endpoints[n].AppliedPosition = c.now
	case "drain":
		c.drainEndpoint(n)
	case "replace":
		c.faults++
		c.replaceReplica(n)
	case "promote":
		c.promoteReplica(n)
	case "restart":
		c.restartRouter()
	case "move":
		c.moveSettings()
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
	c.checker.CommandAbandoned(&c.commands[n].Command)
	if c.fault != "left-behind" {
		c.tracker.ClientGone(c.now, uint32(n))
	}
}

// answerHealthCheck has a backend answer a health check with its load report.
func (c *commandSystem) answerHealthCheck(n int) {
	delete(c.healthChecks, n)
	e := c.endpoints[n]
	position := e.AppliedPosition
	if c.fault == "spoilt-position" {
		position += 2 * commandTickSeconds
	}
	c.router.HealthChecked(c.now, n, router.Answered, 0, position, e.primary)
}

func (c *commandSystem) drainEndpoint(n int) {
	c.faults++
	e := &c.endpoints[n]
	e.listedState, e.Draining, e.DrainingSince = router.Draining, true, c.now
	if c.fault != "drain-overlooked" || !c.hasAttemptsInFlight() {
		c.sendList(false)
	}
}

func (c *commandSystem) promoteReplica(n int) {
	c.faults++
	for i := range c.endpoints {
		c.endpoints[i].primary = i == n
	}
	c.endpoints[n].AppliedPosition = c.now
	if c.fault != "untold-primary" {
		c.sendList(false)
	}
}

// restartRouter stops the router, which ends the commands that it has, and starts it again.
func (c *commandSystem) restartRouter() {
	c.faults++
	for _, cmd := range c.commands {
		if cmd.received {
			c.checker.CommandAbandoned(&cmd.Command)
			cmd.attempts = nil
		}
	}
	c.healthChecks, c.heldAnswers, c.readHighWaterMark = map[int]bool{}, nil, math.Inf(-1)
	c.startRouter()
}

// replaceReplica removes a replica for good and adds an empty one, in a released row if there is one.
func (c *commandSystem) replaceReplica(n int) {
	e := &c.endpoints[n]
	if c.fault == "reused-index" {
		e.AppliedPosition = 0
	} else {
		e.listedState, e.Draining, e.DrainingSince = router.Removed, true, c.now
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
	for _, cmd := range c.commands {
		if len(cmd.attempts) > 0 {
			return true
		}
	}
	return false
}

func (c *commandSystem) receiveCommand(n int) {
	if c.fault == "forgotten-mark" && !c.hasAttemptsInFlight() {
		c.startRouter()
	}
	cmd := c.commands[n]
	cmd.received = true
	group := commandGroups[cmd.group]
	cmd.Idempotency, cmd.ClientDeadline, cmd.IdempotencyWindow, cmd.RequiredPosition = group.idempotency,
		c.now+commandTimeoutSeconds, commandWindowSeconds, math.Inf(-1)
	request := router.Command{Group: cmd.group, Session: 7, ArrivedAt: c.now, ClientDeadline: cmd.ClientDeadline}
	cmd.SeenPosition = math.Inf(-1)
	if group.config.Consistency == router.Linearizable {
		cmd.CurrentPosition = c.now
	}
	if group.config.Consistency == router.SessionConsistent {
		cmd.SeenPosition = c.readHighWaterMark
	}
	if group.config.Consistency == router.SessionConsistent && !math.IsInf(c.lastWritePosition, -1) {
		// The frontend also avoids the age 0, which would mean no write.
		cmd.RequiredPosition, request.LastWriteAge = c.lastWritePosition, cmp.Or(c.now-c.lastWritePosition, -math.SmallestNonzeroFloat64)
		if c.fault == "no-age" {
			request.LastWriteAge = math.Max(0, c.now-c.lastWritePosition)
		}
	}
	c.tracker.Add(c.now, uint32(n), request)
}

// endAttempt ends an attempt in the way that a step names.
func (c *commandSystem) endAttempt(n, index int, kind string) {
	cmd := c.commands[n]
	a := cmd.attempts[index]
	if a.timedOut {
		c.checker.CommandAnswered(c.now, cmd.name, &cmd.Command)
	}
	if c.fault == "answers-twice" && kind == "timed" && !a.timedOut {
		a.timedOut = true
		defer func() { cmd.attempts = append(cmd.attempts, a) }()
	}
	cmd.attempts = slices.Delete(slices.Clone(cmd.attempts), index, index+1)
	if isInjectedResult(kind) {
		c.faults++
	}
	result := attemptResults[kind]
	e := &c.endpoints[a.endpoint]
	notServed := result == router.Answered && cmd.consistency() == router.PrimaryOnly && !e.primary // a replica rejects it
	c.checker.AttemptEnded(&cmd.Command, a.sentAt, e.Shard, mayHaveRun(result) && !notServed)
	reported := c.attemptResult(a, result, notServed)
	c.recordRole(cmd, a.endpoint, &reported)
	if reported.Result == router.Answered {
		c.applyAnswer(cmd, a, &reported)
	}
	wasOpen := cmd.Open()
	if c.fault != "lost-end" || result != router.Canceled {
		c.tracker.AttemptEnded(c.now, uint32(n), reported)
	}
	if reported.Result == router.Answered && wasOpen {
		cmd.answered = true
		c.checker.CommandAnswered(c.now, cmd.name, &cmd.Command)
	}
}

// recordRole records which backends have told the router that they are no primary any more.
func (c *commandSystem) recordRole(cmd *clientCommand, endpoint int, reported *router.AttemptResult) {
	e := &c.endpoints[endpoint]
	switch reported.Role {
	case router.RolePrimary:
		e.FormerPrimary, e.statedPrimary = false, true
	case router.RoleReplica:
		e.FormerPrimary = e.statedPrimary
	case router.RoleUnknown:
	}
	if c.fault == "lost-at-a-move" && cmd.earlier {
		reported.Role = router.RoleUnknown
	}
}

// isInjectedResult reports whether an attempt's end counts against the bound of faults.
func isInjectedResult(kind string) bool {
	return kind != "answered" && kind != "recalled" && kind != "timed"
}

func (cmd *clientCommand) consistency() router.Consistency {
	return commandGroups[cmd.group].config.Consistency
}

// mayHaveRun reports whether a command may have run after an attempt with this result.
func mayHaveRun(result router.Result) bool {
	switch result {
	case router.Answered, router.Errored, router.ConnectionLost, router.TimedOut, router.Canceled:
		return true
	default:
		return false
	}
}

// attemptResult returns the result of an attempt that is reported to the router.
func (c *commandSystem) attemptResult(a *attempt, result router.Result, notServed bool) router.AttemptResult {
	reported := router.AttemptResult{
		Attempt: a.number, Result: result, Elapsed: c.now - a.sentAt, Final: result == router.Answered, Position: -1,
	}
	hasAnswer := result == router.Answered || result == router.Errored
	if hasAnswer && c.fault != "untold-primary" { // an answer holds its backend's role
		reported.Role = router.RoleReplica
		if c.endpoints[a.endpoint].primary {
			reported.Role = router.RolePrimary
		}
	}
	switch {
	case notServed:
		reported.Result, reported.Final = router.NotServed, false
	case c.fault == "early-byte" && result == router.ConnectionLost:
		reported.Result = router.ConnectFailed
	}
	return reported
}

// applyAnswer applies a backend's answer: a write moves the backend's position, a read shows it.
func (c *commandSystem) applyAnswer(cmd *clientCommand, a *attempt, reported *router.AttemptResult) {
	e := &c.endpoints[a.endpoint]
	if cmd.consistency() == router.PrimaryOnly {
		c.lastWritePosition, e.AppliedPosition = c.now, c.now
		reported.Position = c.now
		return
	}
	reported.Position = e.AppliedPosition
	c.checker.ReadServed(cmd.name, &cmd.Command, a.endpoint, &e.Backend)
	if cmd.consistency() == router.SessionConsistent {
		c.readHighWaterMark = math.Max(c.readHighWaterMark, e.AppliedPosition)
	}
}

// passTime lets seconds pass. The router reviews its commands whenever a review is due, and attempts time out at their
// deadlines.
func (c *commandSystem) passTime(span float64) {
	heldAnswers := c.heldAnswers
	c.heldAnswers = nil
	end := c.now + span
	for c.now < end {
		next := math.Min(end, math.Max(c.nextReviewAt, c.now+0.001))
		for _, cmd := range c.commands {
			for _, a := range cmd.attempts {
				if !a.timedOut {
					next = math.Min(next, math.Max(a.deadline, c.now))
				}
			}
		}
		c.now = next
		for i, cmd := range c.commands {
			for k := 0; k < len(cmd.attempts); k++ {
				if cmd.attempts[k].deadline <= c.now && !cmd.attempts[k].timedOut {
					c.endAttempt(i, k, "timed")
					k--
				}
			}
		}
		c.runReviews()
		for i := range c.endpoints {
			if c.endpoints[i].primary {
				c.endpoints[i].AppliedPosition = c.now
			}
		}
	}
	for _, n := range heldAnswers {
		c.checker.CommandAnswered(c.now, c.commands[n].name, &c.commands[n].Command)
	}
	for _, cmd := range c.commands {
		if cmd.received {
			c.checker.CheckDeadline(c.now, cmd.name, &cmd.Command)
		}
	}
}

// commandRules ignore the receiver of the tracker's decisions and the counters that only order reviews of the same time.
var commandRules = &modelcheck.Rules{FloatGrain: 1e-9, Ignored: modelcheck.Fields{
	"router.fleetState":    {"current"}, // the tracker's router
	"inflight.Tracker":     {"executor"},
	"inflight.review":      {"order"},
	"inflight.reviewQueue": {"count"},
}}

// Fingerprint implements modelcheck.System. It covers the router module's whole state, including its random numbers; what it
// leaves out of this system follows from that.
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

// Ended implements modelcheck.System: every command has arrived and ended.
func (c *commandSystem) Ended() bool {
	for _, cmd := range c.commands {
		if !cmd.received || cmd.Open() {
			return false
		}
	}
	return true
}
