package backend

import (
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// healthQuery is the statement of a health check. A backend answers it with its load report.
const healthQuery = "SHOW health"

// CheckHealth requests the load report of the backend at an endpoint. The Pool reports the result to its ResultHandler,
// possibly before CheckHealth returns, unless Release is called for the endpoint first.
func (p *Pool) CheckHealth(index int) {
	p.counters.HealthChecks++
	c, failure := p.acquire(index)
	if c == nil {
		p.counters.HealthChecksFailed++
		p.results.HealthChecked(index, failure, 0, "")
		return
	}
	c.carriesHealthCheck = true
	c.checkStartedAt = p.loop.Now()
	c.sendWhenReady()
}

// handleHealthCheckAnswer reports the result of a health check that got a complete answer.
func (c *conn) handleHealthCheckAnswer(answer *pg.Answer, elapsed float64) {
	result := resultOf(answer)
	report := ""
	if result == router.Answered { // a row that is followed by an error is not a load report
		report = answer.Value()
	}
	answer.Row.Free()
	c.reportHealthCheck(result, elapsed, report)
}

// reportHealthCheck reports the result of a health check, unless the endpoint's row was released during the check.
func (c *conn) reportHealthCheck(result router.Result, elapsed float64, report string) {
	if result != router.Answered {
		c.pool.counters.HealthChecksFailed++
	}
	if c.generation == c.pool.endpoints[c.endpoint].generation {
		c.pool.results.HealthChecked(c.endpoint, result, elapsed, report)
	}
}
