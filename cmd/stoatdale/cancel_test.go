package main

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/pg"
)

const (
	kindBackendKeyData = 'K'
	codeQueryCanceled  = "57014"
	cancelRequestHead  = "\x00\x00\x00\x10\x04\xd2\x16\x2e" // length and code
)

// connectWithKey returns a client that has completed its start-up, and the cancel key that the router sent it.
func (r *testRouter) connectWithKey() (*testClient, string) {
	r.t.Helper()
	client := r.dial()
	client.send(pg.AppendStartupMessage(nil))
	key := ""
	for {
		kind, body, err := readMessage(client.reader)
		require.NoError(r.t, err)
		switch kind {
		case kindBackendKeyData:
			key = string(body)
		case 'Z':
			return client, key
		}
	}
}

// cancel sends a cancel request with a key on a new connection, and waits until the router has closed that connection.
func (r *testRouter) cancel(key string) {
	r.t.Helper()
	client := r.dial()
	client.send([]byte(cancelRequestHead + key))
	require.Equal(r.t, " END", client.readReply())
}

func TestEachConnectionHasACancelKeyOfItsOwn(t *testing.T) {
	r := startRouter(t)
	_, first := r.connectWithKey()
	_, second := r.connectWithKey()
	assert.NotEqual(t, strings.Repeat("\x00", 8), first)
	assert.NotEqual(t, first, second)
}

// The attempt in flight when its client cancels later ends without an answer. The command must not be retried at the
// other backend.
func TestCanceledCommandIsAnsweredAtOnceAndNotRetried(t *testing.T) {
	release := make(chan struct{})
	closeOnRelease := func(string) []byte { <-release; return nil }
	a, b := newTestBackend(t, closeOnRelease), newTestBackend(t, closeOnRelease)
	r := startRouter(t, listEntry(a, "a", "ready", "on"), listEntry(b, "b", "ready", "on"))
	client, key := r.connectWithKey()
	client.send(pg.AppendQuery(nil, readStatement("k")))
	arrived := func() bool { return len(a.statements)+len(b.statements) == 1 }
	require.Eventually(t, arrived, hangTimeout, time.Millisecond) // the counter attempts rises before the connection is up
	r.cancel(key)
	assert.Equal(t, codeQueryCanceled, client.readReply())
	close(release)
	time.Sleep(200 * time.Millisecond)
	assert.EqualValues(t, 1, r.counters()["attempts"])
	assert.Equal(t, 1, len(a.statements)+len(b.statements))
}

// A cancel request cancels a command that waits for an endpoint, and the commands behind it on its connection, without
// an attempt. The connection then takes new commands.
func TestCanceledCommandThatWaitsIsNeverSent(t *testing.T) {
	b := newTestBackend(t, answerAs("on"))
	r := startRouter(t, listEntry(b, "b", "draining", "on"))
	client, key := r.connectWithKey()
	client.send(pg.AppendQuery(pg.AppendQuery(nil, readStatement("k1")), readStatement("k2")))
	r.waitForCounter("received", 2)
	r.cancel(key)
	r.cancel(key) // twice in a row
	assert.Equal(t, codeQueryCanceled, client.readReply())
	assert.Equal(t, codeQueryCanceled, client.readReply())
	r.discovery.publish(listEntry(b, "b", "ready", "on"))
	assert.Equal(t, "value of k3", client.query(readStatement("k3")))
	assert.Len(t, b.statements, 1)
}

func TestCancelRequestWithAnotherKeyCancelsNothing(t *testing.T) {
	release := make(chan struct{})
	b := newTestBackend(t, func(q string) []byte { <-release; return answerAs("on")(q) })
	r := startRouter(t, listEntry(b, "b", "ready", "on"))
	client, key := r.connectWithKey()
	client.send(pg.AppendQuery(nil, readStatement("k")))
	receive(t, b.statements)
	wrong := []byte(key)
	wrong[7] ^= 1
	r.cancel(string(wrong))
	close(release)
	assert.Equal(t, "value of k", client.readReply())
}
