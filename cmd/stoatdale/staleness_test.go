package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"stoatdale.example/stoatdale/internal/pg"
)

// Guards against stale reads over connections that come up late: a replica stops applying the log while each read needs a new
// connection, which comes up 0.2 s after the replica was chosen. Reads within the bound go on being sent to it.
func TestBoundedReadOverALateConnectionIsNotStale(t *testing.T) {
	const (
		bound     = 600 * time.Millisecond
		tolerance = 50 * time.Millisecond
		lateness  = 200 * time.Millisecond
		interval  = 20 * time.Millisecond
		reads     = 50
	)
	var stoppedAt atomic.Pointer[time.Time] // when the replica stopped applying the log
	applied := func() time.Time {
		if at := stoppedAt.Load(); at != nil {
			return *at
		}
		return time.Now()
	}
	var oldest, served atomic.Int64 // the greatest age of data at which a read was received, and the number of such reads
	primary := newTestBackend(t, answerAs("off"))
	replica := newTestBackend(t, func(string) []byte {
		if age := int64(time.Since(applied())); stoppedAt.Load() != nil {
			served.Add(1)
			oldest.Store(max(oldest.Load(), age))
		}
		return rowAnswerAt(applied(), "value of k", "on")
	})
	replica.position = applied
	replica.beforeGreeting = func() { time.Sleep(lateness) }
	settings := testSettings(true)
	family := settings["familyInfo"].(map[string]any)
	family["needsByClass"] = []string{"lag_bound", "mutate"}
	family["classBoundNs"] = []int64{bound.Nanoseconds(), 0}
	settings["limits"].(map[string]any)["connIdleNs"] = int64(10e6) // each read needs a new connection
	r := startRouterWith(t, routerOptions{settings: settings}, listEntry(primary, "a", "ready", "off"), listEntry(replica, "b", "ready", "on"))

	var running sync.WaitGroup
	read := func(i int) {
		client := r.connect()
		running.Go(func() {
			text := fmt.Sprintf("SELECT doc FROM items WHERE id = 'k' /* id=%x,c=look,d=3000,cluster=2 */", i+1)
			_, _ = client.Write(pg.AppendQuery(nil, text))
			assert.Equal(t, "value of k", client.readReply())
		})
		time.Sleep(interval)
	}
	for i := range reads {
		read(i)
	}
	now := time.Now()
	stoppedAt.Store(&now)
	for i := range reads {
		read(reads + i)
	}
	running.Wait()
	assert.Positive(t, served.Load(), "the replica is used while it is within the bound")
	assert.LessOrEqual(t, time.Duration(oldest.Load()), bound+tolerance, "age of the replica's data when it received a read")
	assert.Positive(t, r.counters()["sends_outdated"])
	t.Logf("%d reads, oldest data %v", served.Load(), time.Duration(oldest.Load()))
}
