package backend

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/router"
)

// fixtureWithFewBuffers returns a fixture, and a chain that exhausts its buffers once it is written to.
func fixtureWithFewBuffers(t *testing.T) (f *fixture, exhaust func(), free func()) {
	const scarceAt = 64 // blocks
	f = newFixtureWith(t, buffer.NewPool(4096, scarceAt))
	held := f.blocks.NewChain()
	return f, func() { held.Write(make([]byte, 2*scarceAt*4096)) }, held.Free
}

// Guards against answers that arrive together and take more memory than the router has: they were read as they came.
func TestAnswerStaysInItsSocketWhileBuffersAreExhausted(t *testing.T) {
	f, exhaust, free := fixtureWithFewBuffers(t)
	f.send("d=99", distantDeadline)
	c := f.accept()
	f.receive(c, 5)
	exhaust()
	inUse := f.blocks.BlocksInUse()
	_, _ = c.Write(answer("one"))
	f.run(func() bool { return len(f.pool.suspended) == 1 })
	assert.Equal(t, inUse, f.blocks.BlocksInUse())
	f.pool.ResumeReading()
	assert.Len(t, f.pool.suspended, 1, "the buffers are still exhausted")
	free()
	f.pool.ResumeReading()
	f.run(f.hasResults(1))
	assert.Equal(t, []string{"one"}, f.values)
	assert.Equal(t, 1, f.blocks.BlocksInUse(), "the statement, which the sender keeps")
}

func TestNothingIsSentWhileBuffersAreExhausted(t *testing.T) {
	f, exhaust, free := fixtureWithFewBuffers(t)
	f.send("d=99 one", distantDeadline)
	exhaust()
	c := f.accept()
	f.run(f.hasResults(1))
	assert.Equal(t, []router.Result{router.NeverSent}, f.results, "the connection came up when nothing could be sent")
	free()
	f.send("d=99 two", distantDeadline)
	assert.Contains(t, f.receive(c, len(pg.AppendQuery(nil, "d=999999999 two"))), "two")
	assert.EqualValues(t, 1, f.counters.BackendConnects, "the connection was kept")
}

// Guards against commands that have run and are said not to have, since their answers were left in the socket.
func TestAnswerLeftInItsSocketIsReadAtTheDeadline(t *testing.T) {
	f, exhaust, free := fixtureWithFewBuffers(t)
	defer free()
	for _, end := range []int{0, 1} { // bytes of the answer that do not come
		f.send("d=99", f.loop.Clock()+0.2)
		c := f.accept()
		f.receive(c, 5)
		exhaust()
		whole := answer("one")
		_, _ = c.Write(whole[:len(whole)-end])
		f.run(f.hasResults(1 + end))
		free()
		f.pool.CloseIdle()
	}
	assert.Equal(t, []router.Result{router.Answered, router.TimedOut}, f.results)
	assert.Equal(t, []string{"one"}, f.values)
	assert.Empty(t, f.pool.suspended)
	assert.Zero(t, f.pool.ConnectionCount())
}
