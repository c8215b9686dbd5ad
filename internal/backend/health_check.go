package backend

import (
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// healthQuery is the statement that a backend answers with its load report.
const healthQuery = "SHOW health"

// CheckHealth asks a backend for its load report. The result is reported to the ResultHandler, perhaps before
// CheckHealth returns, unless the endpoint's row is released first.
func (p *Pool) CheckHealth(index int) {
	p.counters.HealthChecks++
	c, failure := p.acquire(index)
	if c == nil {
		p.counters.HealthChecksFailed++
		p.results.HealthChecked(index, failure, 0, "")
		return
	}
	c.checking = true
	c.checkStartedAt = p.loop.Now()
	c.start()
}

// healthCheckAnswered takes in the complete answer to a health check.
func (c *conn) healthCheckAnswered(answer *pg.Answer, elapsed float64) {
	result := resultOf(answer)
	report := ""
	if result == router.Answered { // the row before an error is no report
		report = answer.Value()
	}
	answer.Row.Free()
	c.reportHealthCheck(result, elapsed, report)
}

// reportHealthCheck reports a health check's result, unless the endpoint that it was for has left its row.
func (c *conn) reportHealthCheck(result router.Result, elapsed float64, report string) {
	if result != router.Answered {
		c.pool.counters.HealthChecksFailed++
	}
	if c.generation == c.pool.endpoints[c.endpoint].generation {
		c.pool.results.HealthChecked(c.endpoint, result, elapsed, report)
	}
}
