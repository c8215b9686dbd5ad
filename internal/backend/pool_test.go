package backend

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"stoatdale.example/stoatdale/internal/router"
)

func TestClosedConnectionIsNotReused(t *testing.T) {
	f := newFixture(t)
	f.send("d=99", distantDeadline)
	c := f.accept()
	f.reply(c, "one")
	_ = c.Close()
	f.send("d=99", distantDeadline) // before the loop has seen the end
	f.reply(f.accept(), "two")
	assert.Equal(t, []router.Result{router.Answered, router.Answered}, f.results)
	assert.EqualValues(t, 2, f.counters.BackendConnects)
}

func TestConnectionsToAnEarlierAddressTakeNothingNew(t *testing.T) {
	f := newFixture(t)
	f.send("d=99", distantDeadline)
	f.reply(f.accept(), "one")
	f.backend = listen(t)
	f.setAddress(f.backend)
	assert.Zero(t, f.pool.ConnectionCount(), "the idle one is closed")
	f.send("d=98", distantDeadline)
	c := f.accept()
	f.backend = listen(t)
	f.setAddress(f.backend)
	assert.Equal(t, 1, f.pool.ConnectionCount(), "the busy one ends first")
	f.reply(c, "two")
	assert.Zero(t, f.pool.ConnectionCount())
	f.send("d=97", distantDeadline)
	f.reply(f.accept(), "three")
	assert.Equal(t, []string{"one", "two", "three"}, f.values)
}

func TestIdleConnectionIsClosedForANewOne(t *testing.T) {
	f := newFixture(t)
	f.pool.limits.Counts.BackendConnections = 1
	f.pool.limits.Counts.SharedDescriptors = 2 // the event loop's own and one
	f.send("d=99", distantDeadline)
	c := f.accept()
	f.pool.CheckHealth(0)
	assert.Equal(t, []router.Result{router.NeverSent}, f.checks, "the one descriptor is in use, which is not the endpoint's fault")
	f.reply(c, "one")
	other := listen(t)
	f.pool.SetAddress(1, netip.MustParseAddrPort(other.Addr().String()), false)
	f.pool.CheckHealth(1)
	assert.Len(t, f.checks, 1)
	assert.Equal(t, 1, f.pool.ConnectionCount())
	f.pool.limits.Counts.SharedDescriptors = 3
	f.pool.CheckHealth(1)
	assert.Equal(t, 2, f.pool.ConnectionCount(), "beyond its own where descriptors are free")
}

func TestReleasedEndpointKeepsNoConnection(t *testing.T) {
	f := newFixture(t)
	f.send("d=99", distantDeadline)
	c := f.accept()
	f.reply(c, "one")
	f.send("d=98", distantDeadline)
	f.pool.Release(0)
	f.reply(c, "late")
	assert.Zero(t, f.pool.ConnectionCount(), "one that was busy is not kept for whoever has the row next")
	f.pool.CheckHealth(0)
	assert.Equal(t, []router.Result{router.ConnectFailed}, f.checks, "no address is left")
}
