package discovery

// replyDelay estimates by how much the discovery service is late to reply, in seconds. It follows a longer delay at once and
// shorter ones slowly (a peak-sensitive moving average), so that a service that is slow only now and then is given its time.
type replyDelay struct{ seconds float64 }

// delayGain is the weight of a delay that is shorter than the estimate; the same as that of a round-trip time in RFC 6298.
const delayGain = 1.0 / 8

// observe records the reply to a call that the service may have held. elapsed is the time from the request to the end of the
// reply, receiving the part of it from the reply's first byte on, and hold the longest time for which the service may have
// held the call.
func (d *replyDelay) observe(elapsed, receiving, hold float64) {
	shortest := max(elapsed-hold, receiving)
	longest := shortest
	if elapsed < hold { // a change ended the hold at an unknown time
		longest = elapsed
	}
	switch {
	case shortest > d.seconds:
		d.seconds = shortest
	case longest < d.seconds:
		d.seconds += delayGain * (longest - d.seconds)
	}
}
