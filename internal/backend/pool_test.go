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
	f.send("d=99", distantDeadline) // before the event loop has noticed the end of the connection
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
	assert.Zero(t, f.pool.ConnectionCount(), "the idle connection is closed")
	f.send("d=98", distantDeadline)
	c := f.accept()
	f.backend = listen(t)
	f.setAddress(f.backend)
	assert.Equal(t, 1, f.pool.ConnectionCount(), "the busy connection stays open until its query has ended")
	f.reply(c, "two")
	assert.Zero(t, f.pool.ConnectionCount())
	f.send("d=97", distantDeadline)
	f.reply(f.accept(), "three")
	assert.Equal(t, []string{"one", "two", "three"}, f.values)
}

func TestIdleConnectionIsClosedForANewOne(t *testing.T) {
	f := newFixture(t)
	f.pool.limits.Counts.BackendConnections = 1
	f.pool.limits.Counts.SharedDescriptors = 2 // one for the event loop, one for a connection
	f.send("d=99", distantDeadline)
	c := f.accept()
	f.pool.CheckHealth(0)
	assert.Equal(t, []router.Result{router.NeverSent}, f.checks, "a lack of descriptors does not count against the endpoint")
	f.reply(c, "one")
	other := listen(t)
	f.pool.SetAddress(1, netip.MustParseAddrPort(other.Addr().String()), false)
	f.pool.CheckHealth(1)
	assert.Len(t, f.checks, 1)
	assert.Equal(t, 1, f.pool.ConnectionCount())
	f.pool.limits.Counts.SharedDescriptors = 3
	f.pool.CheckHealth(1)
	assert.Equal(t, 2, f.pool.ConnectionCount(), "shared descriptors are used if they are free")
}

func TestReleasedEndpointKeepsNoConnection(t *testing.T) {
	f := newFixture(t)
	f.send("d=99", distantDeadline)
	c := f.accept()
	f.reply(c, "one")
	f.send("d=98", distantDeadline)
	f.pool.Release(0)
	f.reply(c, "late")
	assert.Zero(t, f.pool.ConnectionCount(), "the busy connection is not kept for the next endpoint in the row")
	f.pool.CheckHealth(0)
	assert.Equal(t, []router.Result{router.ConnectFailed}, f.checks, "the row has no address any more")
}

// Guards against reads that are not sent because attempts to a hanging primary hold all descriptors, and against closing the
// idle connections to replicas for more such attempts.
func TestHangingEndpointLeavesDescriptorsToOthers(t *testing.T) {
	const connections, spare = 8, 2
	f := newFixture(t)
	f.pool.limits.Counts.BackendConnections = connections
	f.pool.limits.Counts.SpareConnections = spare
	other := listen(t)
	f.pool.SetAddress(1, netip.MustParseAddrPort(other.Addr().String()), false)
	f.pool.CheckHealth(1)
	for range connections {
		f.send("d=99", distantDeadline)
	}
	assert.Equal(t, connections-spare, f.pool.ConnectionCount())
	assert.Len(t, f.results, connections-(connections-spare-1), "not sent for lack of a descriptor")
	for range spare {
		f.pool.CheckHealth(1)
	}
	assert.Empty(t, f.checks, "the other endpoint gets the rest")
	assert.Equal(t, connections, f.pool.ConnectionCount())
}
