package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The router's wall clock differs from the clock of all backends, as after a clock step before its start. It must still
// measure the age of data correctly: a replica that is too stale gets no reads, and one that is fresh gets reads.
func TestAgeOfDataDoesNotDependOnTheRoutersWallClock(t *testing.T) {
	for _, ahead := range []time.Duration{-time.Hour, -900 * time.Millisecond, 0, 900 * time.Millisecond, time.Hour} {
		t.Run(fmt.Sprint("others ahead by ", ahead), func(t *testing.T) {
			t.Parallel()
			var lag atomic.Int64
			lag.Store(int64(1200 * time.Millisecond)) // the staleness bound is half a second
			fleetTime := func() time.Time { return time.Now().Add(ahead) }
			applied := func() time.Time { return fleetTime().Add(-time.Duration(lag.Load())) }
			answer := func(position func() time.Time, recovery string) answerFunc {
				return func(statement string) []byte {
					return rowAnswerAt(position(), "value of "+strings.Split(statement, "'")[1], recovery)
				}
			}
			primary, replica := newTestBackend(t, answer(fleetTime, "off")), newTestBackend(t, answer(applied, "on"))
			primary.position, replica.position = fleetTime, applied
			settings := testSettings(true)
			family := settings["familyInfo"].(map[string]any)
			family["needsByClass"], family["classBoundNs"] = []string{"lag_bound", "mutate"}, []int{5e8, 0}
			r := startRouterWith(t, routerOptions{settings: settings},
				listEntry(primary, "a", "ready", "off"), listEntry(replica, "b", "ready", "on"))
			client := r.connect()
			read := func(enough func() bool) {
				t.Helper()
				for end := time.Now().Add(hangTimeout / 2); !enough() && time.Now().Before(end); {
					key := fmt.Sprint("k", time.Now().UnixNano())
					assert.Equal(t, "value of "+key, client.query(readStatement(key)))
					time.Sleep(5 * time.Millisecond)
				}
			}
			after := func(wait time.Duration) func() bool {
				end := time.Now().Add(wait)
				return func() bool { return time.Now().After(end) }
			}
			read(after(400 * time.Millisecond)) // by then the router has estimated the backends' clock
			before := len(replica.statements)
			read(after(time.Second))
			assert.Len(t, replica.statements, before, "the replica is too stale to be read")
			lag.Store(int64(20 * time.Millisecond))
			fresh := func() bool { return len(replica.statements) >= before+10 }
			read(fresh)
			assert.True(t, fresh(), "the replica is fresh, but is not read")
		})
	}
}
