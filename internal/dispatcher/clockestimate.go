package dispatcher

import "math"

// Conditions for correcting the clock.
const (
	readingTolerance  = 0.005 // seconds; covers the rounding of positions and differences between the clocks of a fleet
	readingsNeeded    = 2     // number of readings in a row that agree with each other and contradict the clock
	readingSeparation = 0.1   // least time in seconds from receiving the first of these readings to sending the last
)

// clockReading gives bounds for the Unix time, in seconds, at loop time 0. They follow from the position in an answer: no
// position is ahead of the current time, and a primary's position is the current time at the moment at which it answers,
// which lies between the sending of the attempt and the receipt of the answer.
type clockReading struct {
	earliest, latest   float64 // Unix times in seconds; latest is positive infinity if the position may be out of date
	sentAt, receivedAt float64 // loop times
}

// newClockReading returns the reading that a position, in Unix seconds, of an answer or a load report gives. atPresent is
// true if the position is the time at which a primary answered.
func newClockReading(position, sentAt, receivedAt float64, atPresent bool) clockReading {
	reading := clockReading{
		earliest: position - receivedAt, latest: math.Inf(1), sentAt: sentAt, receivedAt: receivedAt,
	}
	if atPresent {
		reading.latest = position - sentAt
	}
	return reading
}

// clockEstimate collects consecutive readings that contradict a clock. A primary whose position stands still, because it is
// cut off, cannot correct the clock: the bounds of its successive readings do not overlap.
type clockEstimate struct {
	count            int     // number of readings that agree with each other
	earliest, latest float64 // the bounds that all these readings allow
	firstReceivedAt  float64 // receivedAt of the first reading
	lastSentAt       float64 // sentAt of the last reading
}

// inDoubt reports whether the clock is contradicted by readings that are not yet enough to correct it.
func (e *clockEstimate) inDoubt() bool { return e.count > 0 }

// add compares a reading with the clock's value, unixAtStart. Once enough readings contradict the clock and are far enough
// apart, it returns a corrected value and true. Of the values that all readings allow, this is the latest, which never
// makes data look fresher than they are. If they set no upper bound, it is the earliest.
func (e *clockEstimate) add(unixAtStart float64, reading clockReading) (corrected float64, certain bool) {
	if unixAtStart >= reading.earliest-readingTolerance && unixAtStart <= reading.latest+readingTolerance {
		if !math.IsInf(reading.latest, 1) { // without an upper bound, the reading cannot refute that the clock is ahead
			*e = clockEstimate{}
		}
		return 0, false
	}
	e.narrow(reading)
	if e.count < readingsNeeded || e.lastSentAt-e.firstReceivedAt < readingSeparation {
		return 0, false
	}
	if corrected = e.latest; math.IsInf(corrected, 1) {
		corrected = e.earliest
	}
	*e = clockEstimate{}
	return corrected, true
}

// narrow adds a reading to the estimate. If it does not agree with the earlier readings, the estimate starts again from
// this one.
func (e *clockEstimate) narrow(reading clockReading) {
	earliest, latest := max(e.earliest, reading.earliest), min(e.latest, reading.latest)
	if e.count == 0 || earliest > latest+readingTolerance {
		*e = clockEstimate{
			count: 1, earliest: reading.earliest, latest: reading.latest,
			firstReceivedAt: reading.receivedAt, lastSentAt: reading.sentAt,
		}
		return
	}
	e.count++
	e.earliest, e.latest = earliest, latest
	e.lastSentAt = reading.sentAt
}
