package invariant

import "fmt"

// Properties of attempts over backend connections. Stored traces hold these texts; in them, a dispatch is an attempt.
const (
	AttemptEndsOnce      = "a dispatch ends exactly once"
	NeverRanIffUnwritten = "a dispatch counts as one that never ran if and only if its last byte was not written"
	OwnAnswer            = "an answer is that of the command it is given to"
	NoLeaks              = "no descriptor, timer or block is left behind"
)

// AttemptChecker checks attempts over backend connections. The zero value is ready to use.
type AttemptChecker struct {
	violated string
	detail   string
	ended    map[int]bool // attempts that have ended
}

// Broken returns the first property that was violated and the details; both are empty if none was.
func (c *AttemptChecker) Broken() (property, detail string) { return c.violated, c.detail }

func (c *AttemptChecker) recordViolation(property, format string, args ...any) {
	if c.violated == "" {
		c.violated, c.detail = property, fmt.Sprintf(format, args...)
	}
}

// AttemptEnded checks and records the end of an attempt. neverRan is true if its result says that the command never ran.
// fullyWritten is true if the network took the last byte of its statement.
func (c *AttemptChecker) AttemptEnded(id int, neverRan, fullyWritten bool) {
	if c.ended == nil {
		c.ended = map[int]bool{}
	}
	if c.ended[id] {
		c.recordViolation(AttemptEndsOnce, "attempt %d ends again", id)
	}
	c.ended[id] = true
	if neverRan && fullyWritten {
		c.recordViolation(NeverRanIffUnwritten, "attempt %d is reported as never run, but all of its statement was written", id)
	}
	if !neverRan && !fullyWritten {
		c.recordViolation(NeverRanIffUnwritten,
			"attempt %d is reported as possibly run, but the last byte of its statement was not written", id)
	}
}

// AttemptAnswered checks that the value that an attempt got is the answer to its own command.
func (c *AttemptChecker) AttemptAnswered(id int, got string, want string) {
	if got != want {
		c.recordViolation(OwnAnswer, "attempt %d got %q, but its own answer is %q", id, got, want)
	}
}

// CheckLeaks checks that nothing is held once all attempts have ended. It is given the numbers of open descriptors, set timers
// and buffer blocks in use, which must all be 0.
func (c *AttemptChecker) CheckLeaks(descriptors, timers, blocks int) {
	if descriptors+timers+blocks > 0 {
		c.recordViolation(NoLeaks, "%d descriptors, %d timers and %d buffer blocks are still held", descriptors, timers, blocks)
	}
}
