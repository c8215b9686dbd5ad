package supervisor

import "stoatdale.example/stoatdale/internal/fleet/rollout"

// keptReadings is the number of readings of a process's counters that a supervisor keeps.
const keptReadings = 16

// readings is a ring buffer of the newest readings of a process's counters.
type readings struct {
	times  [keptReadings]float64 // time of each reading, in seconds
	counts [keptReadings]rollout.CommandCounts
	total  int // number of readings so far; reading n is stored at index n modulo keptReadings
}

// CountersRead records a reading of the process's counters, which count from the start of the process.
func (s *Supervisor) CountersRead(now float64, counts rollout.CommandCounts) {
	s.commands = counts
	slot := s.readings.total % keptReadings
	s.readings.times[slot] = now
	s.readings.counts[slot] = counts
	s.readings.total++
}

// recentCommands returns the number of commands completed within the last Limits.RecentSeconds. The window is shorter
// if the kept readings do not reach that far back.
func (s *Supervisor) recentCommands(now float64) rollout.CommandCounts {
	r := &s.readings
	for n := max(0, r.total-keptReadings); n < r.total; n++ {
		slot := n % keptReadings
		if now-r.times[slot] <= s.limits.RecentSeconds {
			return countsSince(s.commands, r.counts[slot])
		}
	}
	return rollout.CommandCounts{}
}

// countsSince returns how much the counters have grown since an earlier reading. If a counter is lower than before, a
// new process has started counting from zero, and the counters are returned as they are.
func countsSince(counts, earlier rollout.CommandCounts) rollout.CommandCounts {
	if counts.Completed < earlier.Completed || counts.Unanswered < earlier.Unanswered {
		return counts
	}
	return rollout.CommandCounts{
		Completed:  counts.Completed - earlier.Completed,
		Unanswered: counts.Unanswered - earlier.Unanswered,
	}
}
