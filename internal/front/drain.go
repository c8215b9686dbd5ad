package front

import (
	"math"
)

// End stops listening once what waits to be accepted is taken in, and ends connections between commands. Who came
// late, or is in the middle of a message, has until the last call to say what it came for.
func (f *Front) End() {
	if f.lastCall > 0 {
		return
	}
	f.lastCall = f.loop.Now() + f.limits.Durations.DrainDeadline
	f.endOn()
}

// endOn goes on with the end. Where all descriptors are taken those that are spared make room in a moment: a
// listener that is closed resets whom it has not accepted.
func (f *Front) endOn() {
	now := f.loop.Now()
	if !f.ending {
		f.accept(f.limits.Counts.ListenBacklog)
		if f.loop.Waiting(f.listener) && now < f.lastCall {
			f.loop.Set(f.end, math.Min(now+f.limits.Durations.ShedGrace, f.lastCall))
			return
		}
		f.ending = true
		f.loop.Unset(f.resume)
		f.loop.Close(f.listener)
		f.listener = -1
	}
	if f.over = now >= f.lastCall; !f.over && len(f.conns) > 0 {
		f.loop.Set(f.end, f.lastCall)
	}
	for c := range f.conns {
		c.step()
	}
}
