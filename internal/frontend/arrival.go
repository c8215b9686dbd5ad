package frontend

import "slices"

// maxArrivalMarks is the greatest number of reads that an arrivalLog tells apart.
const maxArrivalMarks = 64

// arrivalLog holds when the unprocessed input of a connection may have arrived. Input that is read ahead waits for seconds,
// and a command's time counts from the arrival of its last byte.
type arrivalLog struct {
	received int64         // number of bytes received so far
	marks    []arrivalMark // in the order of the bytes
}

// arrivalMark is the earliest time at which the bytes from the mark before it up to end can have arrived.
type arrivalMark struct {
	end int64 // number of bytes received up to there
	at  float64
}

// add records bytes that were read after the given number of unprocessed ones, and forgets the bytes before those. If there
// are too many marks, the new bytes count as arrived with those before them.
func (l *arrivalLog) add(count int, at float64, unprocessed int) {
	if count == 0 {
		return
	}
	processed := l.received - int64(unprocessed)
	l.marks = slices.DeleteFunc(l.marks, func(m arrivalMark) bool { return m.end <= processed })
	l.received += int64(count)
	if len(l.marks) == maxArrivalMarks {
		l.marks[maxArrivalMarks-1].end = l.received
		return
	}
	l.marks = append(l.marks, arrivalMark{end: l.received, at: at})
}

// of returns the earliest arrival of an unprocessed byte, which is followed by the given number of received bytes.
func (l *arrivalLog) of(following int) float64 {
	end := l.received - int64(following)
	i := slices.IndexFunc(l.marks, func(m arrivalMark) bool { return m.end >= end })
	return l.marks[i].at
}
