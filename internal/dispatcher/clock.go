package dispatcher

import (
	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/eventloop"
)

const (
	millisecondsPerSecond = 1e3
	nanosecondsPerSecond  = 1e9
	noPosition            = -1 // a log position that was not told, to package router
)

// clock converts Unix times, in which backends and clients speak, to the event loop's time, in seconds since its start,
// and to log positions, in seconds since the position epoch. It begins by this machine's wall clock, which may have been
// stepped, and is set right by the positions in answers.
type clock struct {
	loop           *eventloop.Loop
	unixAtStart    float64 // Unix time, in seconds, at which the event loop's clock read 0
	positionEpoch  float64 // loop time from which log positions count
	maxSkewSeconds float64 // by which a backend's clock may be ahead
	estimate       clockEstimate

	confirmed      bool    // a primary's answer has agreed with it
	confirmationTimeout float64 // for which positions are rejected until one has
	rejectingSince float64 // loop time of the first position rejected for that; 0: none was
}

// newClock puts the position epoch some time before the start. The router takes a negative position as not told, and
// rounds positions by a share of theirs: the epoch is far enough back for any replica worth reading, and near enough
// that the rounding stays under a millisecond.
func newClock(l *eventloop.Loop, durations *config.Durations) clock {
	return clock{
		loop:           l,
		unixAtStart:    float64(l.StartedAt().UnixNano()) / nanosecondsPerSecond,
		positionEpoch:  -durations.PositionEpoch,
		maxSkewSeconds: durations.MaxClockSkew,
		confirmationTimeout: durations.ClockConfirmation,
	}
}

// loopTime converts a Unix time in milliseconds to the event loop's time.
func (c *clock) loopTime(unixMs float64) float64 { return unixMs/millisecondsPerSecond - c.unixAtStart }

// secondsSince returns how long ago a Unix time in seconds was.
func (c *clock) secondsSince(unixSeconds float64) float64 {
	return c.loop.Now() - c.loopTime(unixSeconds*millisecondsPerSecond)
}

// position converts a Unix time in seconds up to which a backend has applied the log to a log position. It reports false
// for a time that is no number, lies before the epoch or in the future, and for any while the clock is in doubt: a backend
// would count as fresh enough for reads that it is not.
func (c *clock) position(unixSeconds float64) (position float64, ok bool) {
	at := c.loopTime(unixSeconds * millisecondsPerSecond)
	position = at - c.positionEpoch
	if c.isTrusted() && position >= 0 && at <= c.loop.Now()+c.maxSkewSeconds {
		return position, true
	}
	return noPosition, false
}

// isTrusted reports whether the age of data can be told by the clock: the last answer did not contradict it, and a
// primary's has confirmed it, if one has come in the time for that.
func (c *clock) isTrusted() bool {
	if c.confirmed || c.estimate.inDoubt() {
		return c.confirmed && !c.estimate.inDoubt()
	}
	now := c.loop.Now()
	if c.rejectingSince == 0 {
		c.rejectingSince = now
	}
	return now-c.rejectingSince >= c.confirmationTimeout
}

// confirm notes that a primary has answered, which the clock does not contradict.
func (c *clock) confirm() { c.confirmed = c.confirmed || !c.estimate.inDoubt() }

// observe takes in what an answer tells of the time. It returns by how much the clock was behind, if that is certain by
// now, and is then set right.
func (c *clock) observe(reading clockReading) (behind float64) {
	unixAtStart, certain := c.estimate.add(c.unixAtStart, reading)
	if !certain {
		return 0
	}
	behind = unixAtStart - c.unixAtStart
	c.unixAtStart = unixAtStart
	return behind
}
