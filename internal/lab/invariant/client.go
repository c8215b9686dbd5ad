package invariant

import "fmt"

// Names of the properties of client connections, in words.
const (
	AnswersInOrder   = "answers come in the order of the questions, each its own and whole"
	CommandEndsOnce = "a command that was taken is answered or let go, once"
)

// ClientChecker watches what clients asked and were answered, and what became of commands that were taken.
type ClientChecker struct {
	broken string
	how    string
	ends   map[string]int
}

// Broken names the first property that was broken, and how.
func (c *ClientChecker) Broken() (property, how string) { return c.broken, c.how }

func (c *ClientChecker) breaks(property, format string, args ...any) {
	if c.broken == "" {
		c.broken, c.how = property, fmt.Sprintf(format, args...)
	}
}

// Answer is what a client was sent for one question; Garbled if it could not be read.
type Answer struct {
	Value   string
	Code    string
	Empty   bool
	Garbled bool
}

// CheckAnswers notes all that a client was sent so far, and what each of its questions may be answered with.
func (c *ClientChecker) CheckAnswers(client int, got []Answer, may []func(Answer) bool) {
	for i, a := range got {
		switch {
		case a.Garbled:
			c.breaks(AnswersInOrder, "client %d cannot read answer %d", client, i)
		case i >= len(may):
			c.breaks(AnswersInOrder, "client %d has answer %d, and asked %d questions", client, i, len(may))
		case !may[i](a):
			c.breaks(AnswersInOrder, "client %d has %+v as answer %d", client, a, i)
		}
	}
}

// CommandEnded notes that a taken command was answered, or that the core was told that its client left.
func (c *ClientChecker) CommandEnded(name string) {
	if c.ends == nil {
		c.ends = map[string]int{}
	}
	if c.ends[name]++; c.ends[name] > 1 {
		c.breaks(CommandEndsOnce, "command %s has ended before", name)
	}
}

// CheckLeaks notes what is held when all clients are gone, and how many commands are still in hand.
func (c *ClientChecker) CheckLeaks(descriptors, timers, blocks, commands int) {
	if descriptors+timers+blocks > 0 {
		c.breaks(NoLeaks, "%d descriptors, %d timers and %d blocks are held", descriptors, timers, blocks)
	}
	if commands > 0 {
		c.breaks(CommandEndsOnce, "%d commands are in hand, and no client is left", commands)
	}
}
