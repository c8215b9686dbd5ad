package invariant

import "fmt"

// Properties of client connections. Stored traces hold these texts.
const (
	AnswersInOrder  = "answers come in the order of the questions, each its own and whole"
	CommandEndsOnce = "a command that was taken is answered or let go, once"
)

// ClientChecker checks the answers that clients receive and how often each received command ends. The zero value is ready to use.
type ClientChecker struct {
	violated  string
	detail    string
	endCounts map[string]int // how often each command has ended
}

// Broken returns the first property that was violated and the details; both are empty if none was.
func (c *ClientChecker) Broken() (property, detail string) { return c.violated, c.detail }

func (c *ClientChecker) recordViolation(property, format string, args ...any) {
	if c.violated == "" {
		c.violated, c.detail = property, fmt.Sprintf(format, args...)
	}
}

// Answer is the parsed response to one client message.
type Answer struct {
	Value   string // value in the row; empty if there is no row
	Code    string // SQLSTATE of an error; empty if there is none
	Empty   bool   // the response is that to an empty query
	Garbled bool   // the bytes are not a valid message
}

// CheckAnswers checks all answers that a client has received so far. allowed holds one function for each message that the client
// has sent, in order. Each reports whether its message allows an answer.
func (c *ClientChecker) CheckAnswers(client int, answers []Answer, allowed []func(Answer) bool) {
	for i, answer := range answers {
		switch {
		case answer.Garbled:
			c.recordViolation(AnswersInOrder, "client %d cannot parse answer %d", client, i)
		case i >= len(allowed):
			c.recordViolation(AnswersInOrder, "client %d has received answer %d, but has sent %d messages", client, i, len(allowed))
		case !allowed[i](answer):
			c.recordViolation(AnswersInOrder, "client %d has received %+v as answer %d, which its message does not allow", client, answer, i)
		}
	}
}

// CommandEnded records the end of a received command: it was answered, or the frontend reported that its client is gone.
func (c *ClientChecker) CommandEnded(command string) {
	if c.endCounts == nil {
		c.endCounts = map[string]int{}
	}
	if c.endCounts[command]++; c.endCounts[command] > 1 {
		c.recordViolation(CommandEndsOnce, "command %s ends again", command)
	}
}

// CheckLeaks checks that nothing is held once all clients are gone. It is given the numbers of open descriptors, set timers,
// buffer blocks in use and commands in flight, which must all be 0.
func (c *ClientChecker) CheckLeaks(descriptors, timers, blocks, commands int) {
	if descriptors+timers+blocks > 0 {
		c.recordViolation(NoLeaks, "%d descriptors, %d timers and %d buffer blocks are still held", descriptors, timers, blocks)
	}
	if commands > 0 {
		c.recordViolation(CommandEndsOnce, "%d commands are in flight although all clients are gone", commands)
	}
}
