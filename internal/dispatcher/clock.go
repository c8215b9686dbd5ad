package dispatcher

import (
	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/eventloop"
)

const (
	millisecondsPerSecond = 1e3
	nanosecondsPerSecond  = 1e9
	noPosition            = -1 // stands for an unknown log position in package router
)

// clock converts the Unix times that backends and clients send to loop times, in seconds since the start of the event loop,
// and to log positions, in seconds since the position epoch. It starts from this machine's wall clock. Since that may have
// been stepped, the positions in backends' answers correct it.
type clock struct {
	loop           *eventloop.Loop
	unixAtStart    float64 // Unix time, in seconds, at loop time 0
	positionEpoch  float64 // loop time of log position 0
	maxSkewSeconds float64 // a backend's clock may be ahead by up to this time
	estimate       clockEstimate

	confirmed           bool    // an answer of a primary has agreed with the clock
	confirmationTimeout float64 // seconds for which positions are rejected while no primary has confirmed the clock
	rejectingSince      float64 // loop time of the first position rejected for lack of confirmation; 0 if none was
}

// newClock returns a clock whose position epoch lies durations.PositionEpoch seconds before the start of the event loop.
// The router treats a negative position as unknown, and the rounding error of a position grows with its value. The epoch is
// therefore early enough for the position of any replica that is worth reading, and late enough to keep the rounding error
// under a millisecond.
func newClock(loop *eventloop.Loop, durations *config.Durations) clock {
	return clock{
		loop:                loop,
		unixAtStart:         float64(loop.StartedAt().UnixNano()) / nanosecondsPerSecond,
		positionEpoch:       -durations.PositionEpoch,
		maxSkewSeconds:      durations.MaxClockSkew,
		confirmationTimeout: durations.ClockConfirmation,
	}
}

// loopTime converts a Unix time in milliseconds to a loop time.
func (c *clock) loopTime(unixMs float64) float64 { return unixMs/millisecondsPerSecond - c.unixAtStart }

// secondsSince returns the number of seconds that have passed since a Unix time in seconds.
func (c *clock) secondsSince(unixSeconds float64) float64 {
	return c.loop.Now() - c.loopTime(unixSeconds*millisecondsPerSecond)
}

// position converts the Unix time in seconds up to which a backend has applied the log to a log position. It returns false
// if the time is NaN, lies before the epoch or in the future, or if the clock is not trusted. Accepting such a time could
// make a backend count as fresh enough for reads although its data are too old.
func (c *clock) position(unixSeconds float64) (position float64, ok bool) {
	at := c.loopTime(unixSeconds * millisecondsPerSecond)
	position = at - c.positionEpoch
	if c.isTrusted() && position >= 0 && at <= c.loop.Now()+c.maxSkewSeconds {
		return position, true
	}
	return noPosition, false
}

// isTrusted reports whether the clock is reliable enough to judge the age of data. It is if the last reading did not
// contradict the clock, and either a primary has confirmed it or positions were rejected for confirmationTimeout.
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

// confirm records that a primary's answer has agreed with the clock. It has no effect while the clock is in doubt.
func (c *clock) confirm() { c.confirmed = c.confirmed || !c.estimate.inDoubt() }

// observe adds a reading. Once the readings prove the clock wrong, it corrects the clock and returns by how many seconds
// the clock was behind (negative: ahead); otherwise it returns 0.
func (c *clock) observe(reading clockReading) (behind float64) {
	unixAtStart, certain := c.estimate.add(c.unixAtStart, reading)
	if !certain {
		return 0
	}
	behind = unixAtStart - c.unixAtStart
	c.unixAtStart = unixAtStart
	return behind
}
