package dispatcher

import "math"

// Figures of a clock's estimate.
const (
	readingTolerance  = 0.005 // seconds by which positions are rounded and clocks of one fleet differ
	readingsNeeded    = 2     // that agree with each other and contradict the clock
	readingSeparation = 0.1   // seconds between the first one's receipt and the last one's sending
)

// clockReading bounds the Unix time, in seconds, at which the event loop's clock read 0, by the position of an answer. No
// position is ahead of the present. A primary stands at the present when it answers, which is after the attempt was sent
// and before its answer was received.
type clockReading struct {
	earliest, latest   float64 // latest: positive infinity if the position may be an earlier one
	sentAt, receivedAt float64 // loop times
}

// newClockReading returns what an answer or a report with a position, in Unix seconds, tells. atPresent says that a primary
// gave it as the time of its answer.
func newClockReading(position, sentAt, receivedAt float64, atPresent bool) clockReading {
	reading := clockReading{
		earliest: position - receivedAt, latest: math.Inf(1), sentAt: sentAt, receivedAt: receivedAt,
	}
	if atPresent {
		reading.latest = position - sentAt
	}
	return reading
}

// clockEstimate collects readings in a row that contradict a clock. A primary that hangs on to an earlier time, as one
// that is cut off does, contradicts itself: the readings that it gives one after the other have no time in common.
type clockEstimate struct {
	count              int
	earliest, latest   float64 // that all readings have in common
	firstReceivedAt    float64
	lastSentAt float64 // sentAt of the last reading
}

// inDoubt reports whether the last reading contradicts the clock.
func (e *clockEstimate) inDoubt() bool { return e.count > 0 }

// add takes in a reading beside what the clock says. It returns the time that the readings agree on, once they are many
// enough and far enough apart to be certain: the latest one, by which no data look fresher than they are.
func (e *clockEstimate) add(unixAtStart float64, reading clockReading) (corrected float64, certain bool) {
	if unixAtStart >= reading.earliest-readingTolerance && unixAtStart <= reading.latest+readingTolerance {
		if !math.IsInf(reading.latest, 1) { // a replica's answer says nothing for a clock that is ahead
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

// narrow adds a reading, or begins anew by it if it does not agree with those before.
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
