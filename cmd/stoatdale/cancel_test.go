package main

import (
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

// connectWithKey returns a client that has started up, and the cancel key that it was given.
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

// cancel sends a cancel request with a key on a connection of its own, and waits until the router has closed that.
func (r *testRouter) cancel(key string) {
	r.t.Helper()
	client := r.dial()
	client.send([]byte(cancelRequestHead + key))
	require.Equal(r.t, " END", client.readReply())
}

// The attempt that is out when its client cancels ends without an answer: it is not tried again elsewhere.
func TestCanceledCommandIsAnsweredAtOnceAndNotRetried(t *testing.T) {
	release := make(chan struct{})
	breakOff := func(string) []byte { <-release; return nil }
	a, b := newTestBackend(t, breakOff), newTestBackend(t, breakOff)
	r := startRouter(t, listEntry(a, "a", "ready", "on"), listEntry(b, "b", "ready", "on"))
	client, key := r.connectWithKey()
	client.send(pg.AppendQuery(nil, readStatement("k")))
	r.waitForCounter("attempts", 1)
	r.cancel(key)
	assert.Equal(t, codeQueryCanceled, client.readReply())
	close(release)
	time.Sleep(200 * time.Millisecond)
	assert.EqualValues(t, 1, r.counters()["attempts"])
	assert.Equal(t, 1, len(a.statements)+len(b.statements))
}
