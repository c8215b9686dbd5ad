package tend

import "stoatdale.example/stoatdale/internal/fleet/plan"

// window holds readings of the counters. It has as many as fit Limits.Window, and no more than its length.
type window struct {
	at    [16]float64
	total [16]plan.CommandCounts
	n     int // taken so far
}

// CountersRead takes in the counters of the process.
func (x *Supervisor) CountersRead(now float64, total plan.CommandCounts) {
	x.total = total
	i := x.past.n % len(x.past.at)
	x.past.at[i], x.past.total[i] = now, total
	x.past.n++
}

// recent is what ended within the window.
func (x *Supervisor) recent(now float64) plan.CommandCounts {
	oldest := x.total
	for i := max(0, x.past.n-len(x.past.at)); i < x.past.n; i++ {
		if j := i % len(x.past.at); now-x.past.at[j] <= x.limits.RecentSeconds {
			oldest = x.past.total[j]
			break
		}
	}
	return minus(x.total, oldest)
}

// minus tolerates counters that began anew.
func minus(a, b plan.CommandCounts) plan.CommandCounts {
	if a.Completed < b.Completed || a.Unanswered < b.Unanswered {
		return a
	}
	return plan.CommandCounts{Completed: a.Completed - b.Completed, Unanswered: a.Unanswered - b.Unanswered}
}
