package main

import (
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"stoatdale.example/stoatdale/internal/pg"
)

// limitDescriptors sets the limit of the program's descriptors: to testSockets if unlimited is true, and otherwise so low
// that the program can open no more than it has open now.
func (r *testRouter) limitDescriptors(unlimited bool) {
	r.t.Helper()
	limit := unix.Rlimit{Cur: testSockets, Max: testSockets * 4}
	if !unlimited {
		limit.Cur = 0 // becomes the lowest free descriptor number
		for isOpen := true; isOpen; limit.Cur++ {
			_, err := os.Lstat(fmt.Sprintf("/proc/%d/fd/%d", r.cmd.Process.Pid, limit.Cur+1))
			isOpen = err == nil
		}
	}
	require.NoError(r.t, unix.Prlimit(r.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
}

// For a moment the system gives the router no descriptor. The command waits until there is one: nothing has been sent,
// and the endpoint has not failed.
func TestCommandOutlastsALackOfDescriptors(t *testing.T) {
	b := newTestBackend(t, answerAs("off"))
	r := startRouter(t, listEntry(b, "b", "ready", "off"))
	client := r.connect()
	r.limitDescriptors(false)
	client.send(pg.AppendQuery(nil, writeStatement("w", 3000)))
	time.Sleep(300 * time.Millisecond)
	r.limitDescriptors(true)
	assert.Equal(t, "value of w", client.readReply())
	results := r.counters()["attempt_results"].(map[string]any)
	assert.Zero(t, results["connect_failed"])
	assert.Len(t, b.statements, 1)
}

// No descriptor is left for a new client while another client has a command in flight. That command is answered, and the
// new client is accepted as soon as a descriptor is free.
func TestClientsInFlightSurviveALackOfDescriptors(t *testing.T) {
	release := make(chan struct{})
	b := newTestBackend(t, func(q string) []byte { <-release; return answerAs("on")(q) })
	r := startRouter(t, listEntry(b, "b", "ready", "on"))
	client := r.connect()
	client.send(pg.AppendQuery(nil, readStatement("k")))
	receive(t, b.statements)
	r.limitDescriptors(false)
	waiting := r.dial() // the system completes the connection in the listener's backlog
	waiting.send(append(pg.AppendStartupMessage(nil), pg.AppendQuery(nil, "")...))
	time.Sleep(200 * time.Millisecond)
	close(release)
	assert.Equal(t, "value of k", client.readReply())
	r.limitDescriptors(true)
	assert.Empty(t, waiting.readReply(), "the start-up reply")
	assert.Equal(t, "EMPTY", waiting.readReply())
}

// A request that its client writes while the router closes the idle connection must not be read by the router, so that
// the client may safely send it to another one.
func TestRequestThatCrossesTheEndOfItsConnectionIsNotRead(t *testing.T) {
	b := newTestBackend(t, answerAs("on"))
	r := startRouter(t, listEntry(b, "b", "ready", "on"))
	client := r.connect()
	assert.Equal(t, "EMPTY", client.query(""))
	r.signal(unix.SIGTERM)
	assert.Equal(t, " END", client.readReply())
	client.send(pg.AppendQuery(nil, readStatement("k")))
	raw, err := client.Conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var socketError int
	for deadline := time.Now().Add(hangTimeout); socketError == 0 && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		require.NoError(t, raw.Control(func(fd uintptr) {
			socketError, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		}))
		require.NoError(t, err)
	}
	assert.NotZero(t, socketError, "closing a connection with unread data resets it")
	assert.Empty(t, b.statements)
	assert.Contains(t, r.waitForLog(`"message":"counters"`), `"received":0`)
}
