package invariant

import "fmt"

// Names of the properties of client connections, in words.
const (
	InOrder   = "answers come in the order of the questions, each its own and whole"
	EndsOrLet = "a command that was taken is answered or let go, once"
)

// Clients watches what clients asked and were answered, and what became of commands that were taken.
type Clients struct {
	broken string
	how    string
	ends   map[string]int
}

// Broken names the first property that was broken, and how.
func (c *Clients) Broken() (property, how string) { return c.broken, c.how }

func (c *Clients) breaks(property, format string, args ...any) {
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

// Read notes all that a client was sent so far, and what each of its questions may be answered with.
func (c *Clients) Read(client int, got []Answer, may []func(Answer) bool) {
	for i, a := range got {
		switch {
		case a.Garbled:
			c.breaks(InOrder, "client %d cannot read answer %d", client, i)
		case i >= len(may):
			c.breaks(InOrder, "client %d has answer %d, and asked %d questions", client, i, len(may))
		case !may[i](a):
			c.breaks(InOrder, "client %d has %+v as answer %d", client, a, i)
		}
	}
}

// Ended notes that a taken command was answered, or that the core was told that its client left.
func (c *Clients) Ended(name string) {
	if c.ends == nil {
		c.ends = map[string]int{}
	}
	if c.ends[name]++; c.ends[name] > 1 {
		c.breaks(EndsOrLet, "command %s has ended before", name)
	}
}

// Left notes what is held when all clients are gone, and how many commands are still in hand.
func (c *Clients) Left(descriptors, timers, blocks, commands int) {
	if descriptors+timers+blocks > 0 {
		c.breaks(NoneIsLeft, "%d descriptors, %d timers and %d blocks are held", descriptors, timers, blocks)
	}
	if commands > 0 {
		c.breaks(EndsOrLet, "%d commands are in hand, and no client is left", commands)
	}
}
