package backend

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// The result of a health check must be dropped if the endpoint was released during the check, because its index may belong
// to another endpoint by then.
func TestLoadReportOfAReleasedEndpointIsDropped(t *testing.T) {
	for name, sent := range map[string][]byte{"report": answer("x0=5,x1=1"), "unreadable": []byte("?"), "closed": nil} {
		f := newFixture(t)
		f.pool.CheckHealth(0)
		c := f.accept()
		f.receive(c, len(pg.AppendQuery(nil, "SHOW health")))
		f.pool.Release(0)
		other := listen(t)
		f.setAddress(other)
		if sent != nil {
			_, _ = c.Write(sent)
		}
		_ = c.Close()
		f.run(func() bool { return f.pool.ConnectionCount() == 0 })
		assert.Empty(t, f.checks, name)
		f.pool.Release(0)
		f.setAddress(f.backend)
		f.pool.CheckHealth(0)
		c = f.accept()
		f.receive(c, len(pg.AppendQuery(nil, "SHOW health")))
		f.pool.Release(0)
		f.setAddress(f.backend)
		_, _ = c.Write(answer("x0=5,x1=1"))
		f.run(func() bool { return f.pool.ConnectionCount() == 0 })
		assert.Empty(t, f.checks, "the same holds if the new endpoint has the same address; the connection is not kept")
	}
}

func TestHealthCheckReportsLoadOrFailure(t *testing.T) {
	f := newFixture(t)
	f.pool.CheckHealth(0)
	c := f.accept()
	assert.Equal(t, string(pg.AppendQuery(nil, "SHOW health")), f.receive(c, len(pg.AppendQuery(nil, "SHOW health"))))
	_, _ = c.Write(answer("x0=5,x1=1"))
	f.run(func() bool { return len(f.checks) == 1 })
	assert.Equal(t, []string{"x0=5,x1=1"}, f.reports)
	f.pool.CheckHealth(0)
	f.receive(c, 5)
	_, _ = c.Write(pg.AppendReadyForQuery(pg.AppendErrorResponse(nil, false, "57P03", "", "")))
	f.run(func() bool { return len(f.checks) == 2 })
	f.pool.limits.Durations.HealthCheckTimeout = 0.01
	f.pool.CheckHealth(0)
	f.run(func() bool { return len(f.checks) == 3 })
	assert.Equal(t, []router.Result{router.Answered, router.Errored, router.TimedOut}, f.checks)
	assert.Zero(t, f.pool.ConnectionCount(), "the connection of a check without an answer is closed")
}

func TestUnreadableLoadReportIsErrored(t *testing.T) {
	f := newFixture(t)
	f.pool.CheckHealth(0)
	c := f.accept()
	f.receive(c, 5)
	_, _ = c.Write([]byte("~~~~~~"))
	f.run(func() bool { return len(f.checks) == 1 })
	assert.Equal(t, []router.Result{router.Errored}, f.checks)
	assert.Equal(t, []string{""}, f.reports)
	assert.EqualValues(t, 1, f.counters.BackendInvalidAnswers)
	assert.Zero(t, f.pool.ConnectionCount())
}

// Regression test: a load report was read from a row that was followed by an error. Its invalid position let a replica
// serve reads for which its data were too old.
func TestLoadReportBeforeAnErrorIsDropped(t *testing.T) {
	f := newFixture(t)
	f.pool.CheckHealth(0)
	c := f.accept()
	f.receive(c, 5)
	complete := answer("x0=5,x1=1")
	// Insert an error before the final ReadyForQuery, which has 6 bytes.
	failed := append(bytes.Clone(complete[:len(complete)-6]),
		pg.AppendReadyForQuery(pg.AppendErrorResponse(nil, false, "XX000", "", ""))...)
	_, _ = c.Write(failed)
	f.run(func() bool { return len(f.checks) == 1 })
	assert.Equal(t, []router.Result{router.Errored}, f.checks)
	assert.Equal(t, []string{""}, f.reports)
}
