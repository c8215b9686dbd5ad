package front

import (
	"math"
)

// Shutdown stops listening once what waits to be accepted is taken in, and ends connections between commands. Who came
// late, or is in the middle of a message, has until the last call to say what it came for.
func (f *Server) Shutdown() {
	if f.drainDeadline > 0 {
		return
	}
	f.drainDeadline = f.loop.Now() + f.limits.Durations.DrainDeadline
	f.continueDrain()
}

// continueDrain goes on with the end. Where all descriptors are taken those that are spared make room in a moment: a
// listener that is closed resets whom it has not accepted.
func (f *Server) continueDrain() {
	now := f.loop.Now()
	if !f.listenerClosed {
		f.accept(f.limits.Counts.ListenBacklog)
		if f.loop.Waiting(f.listener) && now < f.drainDeadline {
			f.loop.Set(f.drainTimer, math.Min(now+f.limits.Durations.ShedGrace, f.drainDeadline))
			return
		}
		f.listenerClosed = true
		f.loop.Unset(f.resumeTimer)
		f.loop.Close(f.listener)
		f.listener = -1
	}
	if f.deadlinePassed = now >= f.drainDeadline; !f.deadlinePassed && len(f.conns) > 0 {
		f.loop.Set(f.drainTimer, f.drainDeadline)
	}
	for c := range f.conns {
		c.process()
	}
}
