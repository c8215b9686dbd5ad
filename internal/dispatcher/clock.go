package dispatcher

import (
	"stoatdale.example/stoatdale/internal/config"
	"stoatdale.example/stoatdale/internal/eventloop"
)

const (
	millisecondsPerSecond     = 1e3
	nanosecondsPerSecond      = 1e9
	nanosecondsPerMillisecond = 1e6
	noPosition                = -1 // a log position that was not told, to package router
)

// clock converts Unix times, in which backends and clients speak, to the event loop's time, in seconds since its start,
// and to log positions, in seconds since the position epoch.
type clock struct {
	loop                *eventloop.Loop
	positionEpochUnixMs float64
	maxSkewSeconds      float64 // by which a backend's clock may be ahead
}

// newClock puts the position epoch some time before the start. The router takes a negative position as not told, and
// rounds positions by a share of theirs: the epoch is far enough back for any replica worth reading, and near enough
// that the rounding stays under a millisecond.
func newClock(l *eventloop.Loop, durations *config.Durations) clock {
	return clock{
		loop:                l,
		positionEpochUnixMs: float64(l.StartedAt().UnixMilli()) - durations.PositionEpoch*millisecondsPerSecond,
		maxSkewSeconds:      durations.MaxClockSkew,
	}
}

// loopTime converts a Unix time in milliseconds to the event loop's time.
func (c *clock) loopTime(unixMs float64) float64 {
	startNs := float64(c.loop.StartedAt().UnixNano())
	return (unixMs*nanosecondsPerMillisecond - startNs) / nanosecondsPerSecond
}

// positionEpoch returns the position epoch in the event loop's time.
func (c *clock) positionEpoch() float64 { return c.loopTime(c.positionEpochUnixMs) }

// secondsSince returns how long ago a Unix time in seconds was.
func (c *clock) secondsSince(unixSeconds float64) float64 {
	return c.loop.Now() - c.loopTime(unixSeconds*millisecondsPerSecond)
}

// position converts a Unix time in seconds up to which a backend has applied the log to a log position. It reports false
// for a time that is no number, lies before the epoch or in the future: a backend would count as fresh enough for reads
// that it is not.
func (c *clock) position(unixSeconds float64) (position float64, ok bool) {
	position = unixSeconds - c.positionEpochUnixMs/millisecondsPerSecond
	if position >= 0 && c.loopTime(unixSeconds*millisecondsPerSecond) <= c.loop.Now()+c.maxSkewSeconds {
		return position, true
	}
	return noPosition, false
}
