package member

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"stoatdale.example/stoatdale/internal/router"
)

func TestEndedConnectionIsNotUsedAgain(t *testing.T) {
	b := newBench(t)
	b.send("d=99", far)
	c := b.accept()
	b.reply(c, "one")
	_ = c.Close()
	b.send("d=99", far) // before the loop has seen the end
	b.reply(b.accept(), "two")
	assert.Equal(t, []router.Result{router.Answered, router.Answered}, b.endings)
	assert.EqualValues(t, 2, b.count.BackendConnects)
}

func TestChangedAddressTakesNothingNewOnOldConnections(t *testing.T) {
	b := newBench(t)
	b.send("d=99", far)
	b.reply(b.accept(), "one")
	b.node = listener(t)
	b.place(b.node)
	assert.Zero(t, b.m.ConnectionCount(), "the idle one is closed")
	b.send("d=98", far)
	c := b.accept()
	b.node = listener(t)
	b.place(b.node)
	assert.Equal(t, 1, b.m.ConnectionCount(), "the busy one ends first")
	b.reply(c, "two")
	assert.Zero(t, b.m.ConnectionCount())
	b.send("d=97", far)
	b.reply(b.accept(), "three")
	assert.Equal(t, []string{"one", "two", "three"}, b.values)
}

func TestIdleConnectionMakesRoomForANewOne(t *testing.T) {
	b := newBench(t)
	b.m.limits.Counts.BackendConnections = 1
	b.m.limits.Counts.SharedDescriptors = 2 // the loop's own and one
	b.send("d=99", far)
	c := b.accept()
	b.m.CheckHealth(0)
	assert.Equal(t, []router.Result{router.ConnectFailed}, b.probes, "the one place is taken")
	b.reply(c, "one")
	other := listener(t)
	b.m.SetAddress(1, netip.MustParseAddrPort(other.Addr().String()), false)
	b.m.CheckHealth(1)
	assert.Len(t, b.probes, 1)
	assert.Equal(t, 1, b.m.ConnectionCount())
	b.m.limits.Counts.SharedDescriptors = 3
	b.m.CheckHealth(1)
	assert.Equal(t, 2, b.m.ConnectionCount(), "beyond its own where descriptors are free")
}

func TestForgottenMemberLeavesNothing(t *testing.T) {
	b := newBench(t)
	b.send("d=99", far)
	c := b.accept()
	b.reply(c, "one")
	b.send("d=98", far)
	b.m.Release(0)
	b.reply(c, "late")
	assert.Zero(t, b.m.ConnectionCount(), "one that was busy is not kept for whoever has the row next")
	b.m.CheckHealth(0)
	assert.Equal(t, []router.Result{router.ConnectFailed}, b.probes, "no address is left")
}
