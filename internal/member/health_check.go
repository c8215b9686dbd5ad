package member

import "stoatdale.example/stoatdale/internal/router"

// CheckHealth asks a member for its report.
func (m *Pool) CheckHealth(node int) {
	m.count.HealthChecks++
	c := m.take(node)
	if c == nil {
		m.count.HealthChecksFailed++
		m.sink.HealthChecked(node, router.ConnectFailed, 0, "")
		return
	}
	c.probe, c.since = true, m.loop.Now()
	c.begin()
}

func (c *conn) probed(e router.Result, took float64, report string) {
	if e != router.Answered {
		c.m.count.HealthChecksFailed++
	}
	if c.life != c.m.hosts[c.node].life { // it speaks for nobody who is known
		return
	}
	c.m.sink.HealthChecked(c.node, e, took, report)
}
