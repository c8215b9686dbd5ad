package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/pg"
)

func TestEmptyQueryIsAnsweredFromTheStart(t *testing.T) {
	client := startRouter(t).dial()
	client.send(append(pg.AppendStartupMessage(nil), pg.AppendQuery(nil, "")...))
	assert.Empty(t, client.readReply(), "the start-up reply")
	assert.Equal(t, "EMPTY", client.readReply())
}

func TestInvalidInputIsReportedAndTheConnectionGoesOnWherePossible(t *testing.T) {
	b := newTestBackend(t, answerAs("on"))
	r := startRouter(t, listEntry(b, "b", "ready", "on"))
	client := r.connect()
	for text, code := range map[string]string{
		"SELECT 1": pg.CodeSyntaxError,
		strings.Replace(readStatement("k"), "c=look", "c=gaze", 1):        pg.CodeInvalidParameterValue,
		strings.Replace(readStatement("k"), "cluster=2", "cluster=9", 1):  pg.CodeInvalidParameterValue,
		strings.Replace(readStatement("k"), "d=3000", "d=much", 1):        pg.CodeSyntaxError,
		strings.Replace(readStatement("k"), "SELECT", "SELECT 1; SEL", 1): pg.CodeSyntaxError,
	} {
		assert.Equal(t, code, client.query(text), text)
	}
	client.send(pg.AppendMessage(pg.AppendMessage(nil, 'P', []byte("x\x00\x00\x00\x00")), 'S'))
	assert.Equal(t, pg.CodeFeatureNotSupported, client.readReply(), "extended queries, up to Sync")
	assert.Equal(t, "value of k", client.query(readStatement("k")))
	for _, fatal := range []string{"Q\xff\xff\xff\xff", "Q\x7f\x00\x00\x00", "Q\x00\x00\x00\x01", "?\x00\x00\x00\x04"} {
		client := r.connect()
		client.send([]byte(fatal))
		assert.Equal(t, pg.CodeProtocolViolation+" END", client.readReply(), "%q", fatal)
	}
	client = r.dial()
	client.send([]byte("\x00\x00\x00\x08\x04\xd2\x16\x2f"))
	no, err := client.reader.ReadByte()
	require.NoError(t, err)
	assert.Equal(t, byte('N'), no, "the router offers no encryption")
	client.send([]byte("\x00\x00\x00\x08\x04\xd2\x16\x2e"))
	assert.Equal(t, " END", client.readReply(), "a cancel request is not answered; its connection is closed")
}

func TestSilentClientsAreShedNearTheDescriptorLimit(t *testing.T) {
	r := startRouterWith(t, routerOptions{sockets: 64})
	for range 100 {
		r.connect() // sends no query
	}
	assert.Equal(t, "EMPTY", r.connect().query(""))
	counts := r.counters()
	assert.EqualValues(t, 101, counts["clients_accepted"])
	assert.Greater(t, counts["clients_shed"], 50.0)
}

func TestStalledClientsHoldBoundedMemoryAndOthersAreServed(t *testing.T) {
	b := newTestBackend(t, answerAs("on"))
	r := startRouter(t, listEntry(b, "b", "ready", "on"))
	part := pg.AppendQuery(nil, readStatement(strings.Repeat("z", 250_000)))
	for range 100 { // together, more bytes than the buffers hold
		client := r.connect()
		go func() { _, _ = client.Write(part[:len(part)-1]) }()
	}
	r.waitForCounter("buffer_blocks_in_use", 4096)
	assert.Equal(t, "value of k", r.connect().query(readStatement("k")))
	counts := r.counters()
	assert.Less(t, counts["buffer_blocks_in_use"], 4096+100*16.0, "what the router reads from one connection in one turn is bounded")
	assert.EqualValues(t, 1, counts["received"])
}
