package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/pg"
)

func TestReloadSwitchesDiscoveryAndLosesNoCommand(t *testing.T) {
	hold := make(chan struct{})
	a, b := newTestBackend(t, func(q string) []byte { <-hold; return answerAs("on")(q) }), newTestBackend(t, answerAs("on"))
	r := startRouter(t, listEntry(a, "a", "ready", "on"))
	c := r.connect()
	c.send(pg.AppendQuery(nil, readStatement("k")))
	receive(t, a.statements)
	other := newTestDiscovery(t, listEntry(b, "b", "ready", "on"))
	r.reload(`"discovery":"`+r.discovery.address, `"discovery":"`+other.address)
	assert.Contains(t, r.waitForLog("reloaded"), other.address, "the file takes precedence over the environment variable")
	r.signal(syscall.SIGHUP) // twice in a row
	r.waitForCounter("reloads", 2)
	r.waitForCounter("lists_received", 2)
	for range 5 {
		assert.Equal(t, "value of n", r.connect().query(readStatement("n")))
	}
	assert.Empty(t, a.statements, "the new list does not name this backend")
	close(hold)
	assert.Equal(t, "value of k", c.readReply())
	assert.Zero(t, r.counters()["reloads_rejected"])
}

func TestReloadOfAnInvalidFileChangesNothing(t *testing.T) {
	b := newTestBackend(t, answerAs("on"))
	r := startRouter(t, listEntry(b, "b", "ready", "on"))
	r.reload(`"seed":"1f"`, `"seed":"xyz"`)
	assert.Contains(t, r.waitForLog("reload refused"), "seed")
	r.reload(`"seed":"xyz"`, `"seed":"2f"`)
	assert.Contains(t, r.waitForLog("changed keys"), `["seed"]`)
	require.NoError(t, os.Remove(r.configPath))
	r.signal(syscall.SIGHUP)
	r.waitForLog("reload refused")
	n := r.counters()
	assert.EqualValues(t, 1, n["reloads"])
	assert.EqualValues(t, 2, n["reloads_rejected"])
	assert.Equal(t, "value of k", r.connect().query(readStatement("k")))
}

// The first seconds after a settings migration, while the endpoint list names the wrong primary, one command is in flight
// at a backend that hangs, and the command groups change. The router must keep what it has learnt.
func TestMigrationKeepsWhatStillHolds(t *testing.T) {
	hold := make(chan struct{})
	replica := func(q string) []byte {
		switch {
		case strings.HasPrefix(q, "INSERT"):
			return pg.AppendReadyForQuery(pg.AppendParameterStatus(pg.AppendErrorResponse(nil, false, pg.CodeReadOnlyTransaction, "read only", ""), "recovery", "on"))
		case strings.Contains(q, "slow"):
			<-hold
		}
		return answerAs("on")(q)
	}
	a, b, p := newTestBackend(t, replica), newTestBackend(t, replica), newTestBackend(t, answerAs("off"))
	r := startRouter(t, listEntry(a, "a", "ready", "off"), listEntry(b, "b", "ready", "on"), listEntry(p, "p", "ready", "on"))
	c, slow := r.connect(), r.connect()
	assert.Equal(t, "value of w", c.query(writeStatement("w", 6000)))
	slow.send(pg.AppendQuery(nil, strings.Replace(readStatement("slow"), "d=3000", "d=7000", 1)))
	r.waitForCounter("attempts", 3) // the rejected write, its retry and this read
	notServed := r.counters()["attempt_results"].(map[string]any)["not_served"]
	r.reload(`"seed":"1f"`, `"seed":"1f","move":true`, `"name":"look"`, `"name":"view"`,
		`"classes":[`, `"classes":[{"name":"report","effect":"pure","targetNs":8e9,"deadlineNs":16e9,"worth":1},`,
		`"needsByClass":["eventual",`, `"needsByClass":["eventual","lag_bound",`, `"classBoundNs":[0,0]`, `"classBoundNs":[0,1e9,0]`,
		`"tickNs"`, `"zones":["g","h"],"zone":1,"tickNs"`)
	r.waitForLog("migrated to changed settings")
	for i := range 10 {
		write := strings.Replace(writeStatement(fmt.Sprint("w", i), 6000), "id=02", fmt.Sprint("id=", 10+i), 1)
		assert.Equal(t, fmt.Sprint("value of w", i), c.query(write))
	}
	assert.Equal(t, "value of v", c.query(strings.Replace(readStatement("v"), "c=look,d=3000", "c=view,d=6000", 1)))
	assert.Equal(t, "value of r", c.query(strings.Replace(readStatement("r"), "c=look", "c=report", 1)))
	assert.Equal(t, pg.CodeInvalidParameterValue, c.query(readStatement("k")), "the group no longer exists")
	close(hold)
	assert.Equal(t, "value of slow", slow.readReply(), "a command in flight ends under the settings with which it was received")
	n := r.counters()
	assert.EqualValues(t, 1, n["settings_migrations"])
	assert.Equal(t, notServed, n["attempt_results"].(map[string]any)["not_served"], "the router keeps what it learnt about the primary")
	assert.Zero(t, n["throttled"].(float64)+n["failed"].(float64)+n["in_flight"].(float64))
}

// Without the key move, changed settings wait for a restart. A changed way to get the endpoint list (the key discovery of
// the settings) always does.
func TestSettingsMigrateOnlyWhereRequested(t *testing.T) {
	b := newTestBackend(t, answerAs("on"))
	r := startRouter(t, listEntry(b, "b", "ready", "on"))
	r.reload(`"tickNs"`, `"zones":["g","h"],"zone":1,"tickNs"`)
	assert.Contains(t, r.waitForLog("changed keys"), `["settings"]`)
	r.reload(`"seed":"1f"`, `"seed":"1f","move":true`, `"zone":1`, `"zone":2`)
	assert.Contains(t, r.waitForLog("reload refused"), "settings: zone is out of range")
	r.reload(`"zone":2`, `"zone":1`, `"discovery":"push"`, `"discovery":"ask"`)
	assert.Contains(t, r.waitForLog("changed keys"), `["settings"]`)
	assert.Zero(t, r.counters()["settings_migrations"])
}

// After a reload, the new discovery agent is behind the earlier one. A drain that the earlier agent has announced holds
// until the new agent has caught up.
func TestOlderListAfterAMoveRevivesNoDrainingBackend(t *testing.T) {
	a, b := newTestBackend(t, answerAs("on")), newTestBackend(t, answerAs("on"))
	before := newScriptedDiscovery(t, answerList(5, listEntry(a, "a", "ready", "on"), listEntry(b, "b", "draining", "on")))
	caughtUp := make(chan struct{})
	both := []string{listEntry(a, "a", "ready", "on"), listEntry(b, "b", "ready", "on")}
	newer := answerList(6, both[1])
	after := newScriptedDiscovery(t, answerList(3, both[1]), func(w io.Writer, request *http.Request) {
		<-caughtUp
		newer(w, request)
	})
	r := startRouterWith(t, routerOptions{discovery: before}, both...)
	r.waitForLog(`"generation":5`)
	r.reload(`"discovery":"`+before, `"discovery":"`+after)
	r.waitForLog(`"generation":3`)
	c := r.connect()
	assert.Contains(t, c.query(strings.Replace(readStatement("k"), "d=3000", "d=500", 1)), pg.CodeTooManyConnections)
	assert.Empty(t, b.statements, "the backend drains")
	close(caughtUp)
	r.waitForLog(`"generation":6`)
	assert.Equal(t, "value of n", c.query(readStatement("n")), "the backend is ready again")
}
