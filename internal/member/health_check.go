package member

import "stoatdale.example/stoatdale/internal/router"

// CheckHealth asks a member for its report.
func (m *Pool) CheckHealth(node int) {
	m.counters.HealthChecks++
	c := m.acquire(node)
	if c == nil {
		m.counters.HealthChecksFailed++
		m.results.HealthChecked(node, router.ConnectFailed, 0, "")
		return
	}
	c.checking, c.since = true, m.loop.Now()
	c.start()
}

func (c *conn) reportHealthCheck(e router.Result, took float64, report string) {
	if e != router.Answered {
		c.pool.counters.HealthChecksFailed++
	}
	if c.generation != c.pool.endpoints[c.endpoint].generation { // it speaks for nobody who is known
		return
	}
	c.pool.results.HealthChecked(c.endpoint, e, took, report)
}
