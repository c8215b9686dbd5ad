package lease

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func newLease() Lease { return Lease{TermSeconds: 10} }

func TestEpochIsGrantedToOneHolderOnly(t *testing.T) {
	lease := newLease()
	assert.Equal(t, Granted, lease.Acquire(0, Request{Epoch: 1, Holder: "a"}))
	assert.Equal(t, Granted, lease.Acquire(1, Request{Epoch: 1, Holder: "a"}), "a repeat")
	assert.Equal(t, StaleEpoch, lease.Acquire(1, Request{Epoch: 1, Holder: "b", Takeover: true}))
	assert.Equal(t, HeldByOther, lease.Acquire(1, Request{Epoch: 2, Holder: "b"}))
	s := lease.State(4)
	assert.Equal(t, State{Epoch: 1, Holder: "a", Held: true, HeldSeconds: 4, RemainingSeconds: 6}, s)
	assert.Equal(t, Granted, lease.Acquire(4, Request{Epoch: 2, Holder: "b", Takeover: true}))
	assert.Equal(t, StaleEpoch, lease.Renew(5, 1, "a"), "a higher epoch was granted")
	assert.Equal(t, NotHolder, lease.Renew(5, 2, "a"))
	assert.Equal(t, NotHolder, lease.Renew(5, 3, "b"), "this agent never granted the epoch")
	assert.Equal(t, Granted, lease.Acquire(5, Request{Epoch: 3, Holder: "b"}), "the holder may request a higher epoch")
	assert.Equal(t, StaleEpoch, lease.Renew(5, 2, "b"))
}

func TestLeaseExpiresByTheAgentsClock(t *testing.T) {
	lease := newLease()
	lease.Acquire(0, Request{Epoch: 1, Holder: "a"})
	assert.Equal(t, Granted, lease.Renew(9, 1, "a"))
	assert.Equal(t, Granted, lease.Renew(18, 1, "a"), "the call before renewed it")
	assert.Equal(t, Expired, lease.Renew(28, 1, "a"))
	assert.Equal(t, Expired, lease.Renew(20, 1, "a"), "an expired lease stays expired when the clock goes back")
	assert.Equal(t, Granted, lease.Acquire(28, Request{Epoch: 2, Holder: "b"}))
	assert.Equal(t, Granted, lease.Release(28, 2, "b"))
	assert.Equal(t, Expired, lease.Renew(28, 2, "b"))
	assert.Equal(t, StaleEpoch, lease.Release(28, 1, "a"))
}

func TestRestartKeepsEpochAndRecord(t *testing.T) {
	lease := newLease()
	lease.Acquire(100, Request{Epoch: 4, Holder: "a"})
	r := Record{Version: Version{Epoch: 4, Number: 7}, Body: []byte("x")}
	assert.Equal(t, Granted, lease.StoreRecord(100, 4, "a", r))
	lease = Restore(lease.PersistentState, 10, 0)
	assert.Equal(t, HeldByOther, lease.Acquire(9, Request{Epoch: 5, Holder: "b"}))
	assert.Equal(t, StaleEpoch, lease.Acquire(9, Request{Epoch: 4, Holder: "b"}))
	assert.Equal(t, Granted, lease.Acquire(10, Request{Epoch: 5, Holder: "b"}))
	assert.Equal(t, r, lease.Record)
}

func TestOlderRecordsAreDenied(t *testing.T) {
	lease := newLease()
	lease.Acquire(0, Request{Epoch: 2, Holder: "a"})
	assert.Equal(t, Granted, lease.StoreRecord(0, 2, "a", Record{Version: Version{Epoch: 2, Number: 5}}))
	assert.Equal(t, StaleRecord, lease.StoreRecord(0, 2, "a", Record{Version: Version{Epoch: 2, Number: 4}}))
	assert.Equal(t, StaleRecord, lease.StoreRecord(0, 2, "a", Record{Version: Version{Epoch: 1, Number: 9}}), "its epoch is not the holder's")
	assert.Equal(t, Granted, lease.StoreRecord(0, 2, "a", Record{Version: Version{Epoch: 2, Number: 5}}), "a repeat")
}

func TestClockThatGoesBackCountsAsStopped(t *testing.T) {
	lease := newLease()
	lease.Acquire(50, Request{Epoch: 1, Holder: "a"})
	assert.Equal(t, State{Epoch: 1, Holder: "a", Held: true, RemainingSeconds: 10}, lease.State(40))
}
