package member

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// A member is forgotten, and its index goes to another, while a probe of it is out: what it reports is its own.
func TestReportOfAForgottenMemberSpeaksForNoOther(t *testing.T) {
	for what, said := range map[string][]byte{"reports": answer("x0=5,x1=1"), "spoilt": []byte("?"), "ends": nil} {
		b := newBench(t)
		b.m.CheckHealth(0)
		c := b.accept()
		b.hear(c, len(pg.Query(nil, "SHOW health")))
		b.m.Release(0)
		other := listener(t)
		b.place(other)
		if said != nil {
			_, _ = c.Write(said)
		}
		_ = c.Close()
		b.run(func() bool { return b.m.ConnectionCount() == 0 })
		assert.Empty(t, b.probes, what)
		b.m.Release(0)
		b.place(b.node)
		b.m.CheckHealth(0)
		c = b.accept()
		b.hear(c, len(pg.Query(nil, "SHOW health")))
		b.m.Release(0)
		b.place(b.node)
		_, _ = c.Write(answer("x0=5,x1=1"))
		b.run(func() bool { return b.m.ConnectionCount() == 0 })
		assert.Empty(t, b.probes, "at the same address too, and the connection is not kept")
	}
}

func TestProbeTellsItsReportOrItsFailure(t *testing.T) {
	b := newBench(t)
	b.m.CheckHealth(0)
	c := b.accept()
	assert.Equal(t, string(pg.Query(nil, "SHOW health")), b.hear(c, len(pg.Query(nil, "SHOW health"))))
	_, _ = c.Write(answer("x0=5,x1=1"))
	b.run(func() bool { return len(b.probes) == 1 })
	assert.Equal(t, []string{"x0=5,x1=1"}, b.reports)
	b.m.CheckHealth(0)
	b.hear(c, 5)
	_, _ = c.Write(pg.Ready(pg.Error(nil, false, "57P03", "", "")))
	b.run(func() bool { return len(b.probes) == 2 })
	b.m.limits.Durations.HealthCheckTimeout = 0.01
	b.m.CheckHealth(0)
	b.run(func() bool { return len(b.probes) == 3 })
	assert.Equal(t, []router.Result{router.Answered, router.Errored, router.TimedOut}, b.probes)
	assert.Zero(t, b.m.ConnectionCount(), "one that was not answered is closed")
}

func TestMemberThatSpoilsItsReportHasBeenReached(t *testing.T) {
	b := newBench(t)
	b.m.CheckHealth(0)
	c := b.accept()
	b.hear(c, 5)
	_, _ = c.Write([]byte("~~~~~~"))
	b.run(func() bool { return len(b.probes) == 1 })
	assert.Equal(t, []router.Result{router.Errored}, b.probes)
	assert.Equal(t, []string{""}, b.reports)
	assert.EqualValues(t, 1, b.count.BackendInvalidAnswers)
	assert.Zero(t, b.m.ConnectionCount())
}

// Once errors counted as answers, the report in a row that an error followed counted too: a position that no
// member had told made a replica cover reads that it did not.
func TestReportOfAProbeThatErredIsNone(t *testing.T) {
	b := newBench(t)
	b.m.CheckHealth(0)
	c := b.accept()
	b.hear(c, 5)
	whole := answer("x0=5,x1=1")
	spoilt := append(bytes.Clone(whole[:len(whole)-6]), pg.Ready(pg.Error(nil, false, "XX000", "", ""))...) // ahead of ReadyForQuery
	_, _ = c.Write(spoilt)
	b.run(func() bool { return len(b.probes) == 1 })
	assert.Equal(t, []router.Result{router.Errored}, b.probes)
	assert.Equal(t, []string{""}, b.reports)
}
