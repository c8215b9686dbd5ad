package invariant

import "fmt"

// Names of the properties of connections to members, in words.
const (
	AttemptEndsOnce   = "a dispatch ends exactly once"
	NeverRanIffUnwritten   = "a dispatch counts as one that never ran if and only if its last byte was not written"
	OwnAnswer  = "an answer is that of the command it is given to"
	NoLeaks = "no descriptor, timer or block is left behind"
)

// AttemptChecker watches dispatches over connections.
type AttemptChecker struct {
	broken string
	how    string
	ended  map[int]bool
}

// Broken names the first property that was broken, and how.
func (d *AttemptChecker) Broken() (property, how string) { return d.broken, d.how }

func (d *AttemptChecker) breaks(property, format string, args ...any) {
	if d.broken == "" {
		d.broken, d.how = property, fmt.Sprintf(format, args...)
	}
}

// AttemptEnded notes how a dispatch ended: as one that never ran or may have, and what the wire saw of it.
func (d *AttemptChecker) AttemptEnded(id int, never, whole bool) {
	if d.ended == nil {
		d.ended = map[int]bool{}
	}
	if d.ended[id] {
		d.breaks(AttemptEndsOnce, "dispatch %d has ended before", id)
	}
	d.ended[id] = true
	if never && whole {
		d.breaks(NeverRanIffUnwritten, "dispatch %d is told to have never run, and all of it was written", id)
	}
	if !never && !whole {
		d.breaks(NeverRanIffUnwritten, "dispatch %d is told to have perhaps run, and its last byte was not written", id)
	}
}

// AttemptAnswered notes whose answer a dispatch got.
func (d *AttemptChecker) AttemptAnswered(id int, value string, own string) {
	if value != own {
		d.breaks(OwnAnswer, "dispatch %d got %q, and its own is %q", id, value, own)
	}
}

// CheckLeaks notes what is held when nothing is under way any more.
func (d *AttemptChecker) CheckLeaks(descriptors, timers, blocks int) {
	if descriptors+timers+blocks > 0 {
		d.breaks(NoLeaks, "%d descriptors, %d timers and %d blocks are held", descriptors, timers, blocks)
	}
}
