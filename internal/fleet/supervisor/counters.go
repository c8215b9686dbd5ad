package supervisor

import "stoatdale.example/stoatdale/internal/fleet/rollout"

const keptReadings = 16

// readings are the newest readings of a process's counters.
type readings struct {
	at     [keptReadings]float64 // when each was taken
	counts [keptReadings]rollout.CommandCounts
	taken  int // so far; the reading with number n stands at n modulo keptReadings
}

// CountersRead takes in the counters of the process, counted since its start.
func (s *Supervisor) CountersRead(now float64, counts rollout.CommandCounts) {
	s.commands = counts
	slot := s.readings.taken % keptReadings
	s.readings.at[slot] = now
	s.readings.counts[slot] = counts
	s.readings.taken++
}

// recentCommands counts the commands completed within Limits.RecentSeconds, as far back as readings are kept.
func (s *Supervisor) recentCommands(now float64) rollout.CommandCounts {
	r := &s.readings
	for n := max(0, r.taken-keptReadings); n < r.taken; n++ {
		slot := n % keptReadings
		if now-r.at[slot] <= s.limits.RecentSeconds {
			return countsSince(s.commands, r.counts[slot])
		}
	}
	return rollout.CommandCounts{}
}

// countsSince returns how much the counters have grown. Counters below the earlier ones began anew.
func countsSince(counts, earlier rollout.CommandCounts) rollout.CommandCounts {
	if counts.Completed < earlier.Completed || counts.Unanswered < earlier.Unanswered {
		return counts
	}
	return rollout.CommandCounts{
		Completed:  counts.Completed - earlier.Completed,
		Unanswered: counts.Unanswered - earlier.Unanswered,
	}
}
