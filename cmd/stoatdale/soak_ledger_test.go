package main

import (
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"time"
)

// Slack that the protocol allows on top of each time limit. The ledger's longest stall is added to it.
const (
	answerSlack    = 500 * time.Millisecond // after a command's deadline; an answer within it is useless but no violation
	departureSlack = 100 * time.Millisecond // after a client has left or canceled, within which an attempt may still begin
	waitSlack      = 150 * time.Millisecond // by which an attempt may state a longer wait than its client has left
	windowSlack    = 150 * time.Millisecond // after an idempotency window, for a router that was stalled
	graceSlack     = 50 * time.Millisecond  // for every time limit on sockets
	crossingSlack  = 250 * time.Millisecond // within which a command may cross the end of its connection
	shutdownSlack  = 700 * time.Millisecond // after SIGTERM; a command sent later than this must not be unanswered at SIGKILL
)

// soakGroup is a command group of the soak's deployment.
type soakGroup struct {
	name     string
	effect   string
	deadline time.Duration // client timeout, from sending a command
	window   time.Duration // idempotency window, of a group with idempotency keys

	staleness time.Duration // greatest age of the data that its reads may see; 0: no bound
}

// soakCommand is one command and the events that concern it.
type soakCommand struct {
	group            *soakGroup
	sentAt           time.Time
	answers          int
	answeredAt       time.Time
	clientLeftAt     time.Time // when its client left; zero if it did not
	canceledAt       time.Time // when the router had taken its client's cancel request; zero if there was none
	endedAt          time.Time // when its connection ended without its answer; zero if it did not
	killedAt         time.Time // when its connection ended because the router was killed; zero if it was not
	termAt           time.Time // when the router got SIGTERM, if its connection ended after that; zero otherwise
	previousAnswerAt time.Time // time of the last answer on its connection
	arrivals         []soakArrival
}

// soakArrival is an attempt that arrived at a backend.
type soakArrival struct {
	at         time.Time
	backend    string
	statedWait time.Duration // remaining wait stated in the statement
	notRun     bool          // the backend has answered that it did not run the command
}

// soakLedger records what clients and backends saw on the wire, and checks it. It uses nothing that the router reports
// about itself.
type soakLedger struct {
	mu           sync.Mutex
	commands     map[string]*soakCommand
	violations   []string
	longestStall time.Duration // the longest time for which the machine kept the test from running
}

func newSoakLedger() *soakLedger { return &soakLedger{commands: map[string]*soakCommand{}} }

// measureStalls measures for how long the machine keeps the test from running, until a channel is closed.
func (l *soakLedger) measureStalls(stop <-chan struct{}) {
	const step = 2 * time.Millisecond
	for {
		select {
		case <-stop:
			return
		default:
		}
		before := time.Now()
		time.Sleep(step)
		late := time.Since(before) - step
		l.mu.Lock()
		l.longestStall = max(l.longestStall, late)
		l.mu.Unlock()
	}
}

// recordSent records a command just before its first byte is written.
func (l *soakLedger) recordSent(id string, group *soakGroup) *soakCommand {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &soakCommand{group: group, sentAt: time.Now()}
	l.commands[id] = c
	return c
}

// update runs a change of the ledger's contents under its lock.
func (l *soakLedger) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

var soakStatement = regexp.MustCompile(`/\* id=([0-9a-f]+),c=[a-z]+,d=(\d+),`)

// recordArrival records an attempt that has arrived at a backend. The backend calls the returned function if it rejects
// the command without running it.
func (l *soakLedger) recordArrival(backend, statement string) (markNotRun func()) {
	found := soakStatement.FindStringSubmatch(statement)
	l.mu.Lock()
	defer l.mu.Unlock()
	if found == nil || l.commands[found[1]] == nil {
		l.violations = append(l.violations, "a backend got a statement that no client sent: "+statement)
		return func() {}
	}
	waitMs, _ := strconv.Atoi(found[2])
	c := l.commands[found[1]]
	c.arrivals = append(c.arrivals, soakArrival{at: time.Now(), backend: backend, statedWait: time.Duration(waitMs) * time.Millisecond})
	number := len(c.arrivals) - 1
	return func() { l.update(func() { c.arrivals[number].notRun = true }) }
}

// check returns all violations found.
func (l *soakLedger) check() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	violations := l.violations
	for id, c := range l.commands {
		for _, violation := range c.check(l.longestStall) {
			violations = append(violations, fmt.Sprintf("%s %s, deadline %v: %s", c.group.name, id, c.group.deadline, violation))
		}
	}
	return violations
}

func (c *soakCommand) check(stall time.Duration) (violations []string) {
	if violation := c.checkAnswer(stall); violation != "" {
		violations = append(violations, violation)
	}
	for i, arrival := range c.arrivals {
		if remaining := c.group.deadline - arrival.at.Sub(c.sentAt); arrival.statedWait > remaining+waitSlack+stall {
			violations = append(violations, fmt.Sprintf("an attempt states a wait of %v, its client has %v left", arrival.statedWait, remaining))
		}
		if !c.clientLeftAt.IsZero() && arrival.at.Sub(c.clientLeftAt) > departureSlack+stall {
			violations = append(violations, fmt.Sprintf("an attempt came %v after its client had gone", arrival.at.Sub(c.clientLeftAt)))
		}
		if !c.canceledAt.IsZero() && arrival.at.Sub(c.canceledAt) > departureSlack+stall {
			violations = append(violations, fmt.Sprintf("an attempt came %v after its command was canceled", arrival.at.Sub(c.canceledAt)))
		}
		if c.answers > 0 && arrival.at.Sub(c.answeredAt) > stall+departureSlack {
			violations = append(violations, fmt.Sprintf("an attempt came %v after its final answer", arrival.at.Sub(c.answeredAt)))
		}
		if first := c.firstRun(i); first != nil {
			violations = append(violations, c.checkRepeat(arrival.at.Sub(first.at), stall)...)
		}
	}
	return violations
}

// firstRun returns the first of the arrivals before the given index whose command may have run, or nil.
func (c *soakCommand) firstRun(number int) *soakArrival {
	for i := range c.arrivals[:number] {
		if !c.arrivals[i].notRun {
			return &c.arrivals[i]
		}
	}
	return nil
}

// checkRepeat returns the violations of an attempt, given the time since the first attempt that may have run.
func (c *soakCommand) checkRepeat(after, stall time.Duration) (violations []string) {
	switch {
	case c.group.effect == "side_effect":
		violations = append(violations, fmt.Sprintf("sent again %v after an attempt that may have run", after))
	case c.group.effect == "token" && after > c.group.window+windowSlack+stall:
		violations = append(violations, fmt.Sprintf("a repeat came %v after the first, window %v", after, c.group.window))
	}
	return violations
}

// checkAnswer returns a violation concerning the command's final answer, or "" if there is none.
func (c *soakCommand) checkAnswer(stall time.Duration) string {
	latest := c.group.deadline + answerSlack + stall
	switch {
	case c.answers > 1:
		return fmt.Sprintf("%d answers", c.answers)
	case c.answers == 1:
		sincePrevious := c.answeredAt.Sub(c.previousAnswerAt) // time since the answer before it on its connection
		if took := c.answeredAt.Sub(c.sentAt); took > latest && sincePrevious > graceSlack+stall {
			return fmt.Sprintf("answered after %v", took)
		}
		return ""
	case !c.clientLeftAt.IsZero():
		return ""
	case !c.killedAt.IsZero():
		if !c.termAt.IsZero() && c.killedAt.Sub(c.sentAt) > c.group.deadline+stall {
			return "unanswered at SIGKILL, after its deadline"
		}
		if !c.termAt.IsZero() && c.sentAt.Sub(c.termAt) > shutdownSlack+stall {
			return fmt.Sprintf("unanswered at SIGKILL, although sent %v after SIGTERM", c.sentAt.Sub(c.termAt))
		}
		return ""
	case c.endedAt.IsZero():
		return "no answer, and its connection stays open"
	case len(c.arrivals) > 0:
		return "its connection ended without an answer after an attempt"
	case c.endedAt.Sub(c.sentAt) > crossingSlack+stall && c.endedAt.Sub(c.previousAnswerAt) > crossingSlack+stall:
		return fmt.Sprintf("its connection ended without an answer after %v", c.endedAt.Sub(c.sentAt))
	}
	return ""
}
