package main

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"

	"stoatdale.example/stoatdale/internal/pg"
)

func TestSIGTERMAnswersCommandsInFlightAndExitsWithZero(t *testing.T) {
	hold := make(chan struct{})
	b := newTestBackend(t, func(q string) []byte { <-hold; return answerAs("on")(q) })
	r := startRouter(t, listEntry(b, "b", "ready", "on"))
	client, idle, silent := r.connect(), r.connect(), r.connect()
	assert.Equal(t, "EMPTY", idle.query(""))
	client.send(pg.AppendQuery(nil, readStatement("k")))
	receive(t, b.statements)
	r.signal(syscall.SIGTERM)
	r.signal(syscall.SIGTERM)
	late := r.connect() // the router accepts clients for a while longer
	assert.Equal(t, "EMPTY", late.query(""))
	assert.Equal(t, " END", idle.readReply(), "connections without a command in flight are closed")
	assert.Equal(t, pg.CodeCannotConnectNow+" END", silent.readReply(), "a client without a query gets an error and can go elsewhere")
	close(hold)
	assert.Equal(t, "value of k", client.readReply())
	assert.Equal(t, " END", client.readReply())
	_ = client.Close()
	_ = idle.Close()
	_ = silent.Close()
	_ = late.Close()
	assert.Contains(t, r.waitForLog(`"message":"counters"`), `"answered":1`)
	assert.NoError(t, r.cmd.Wait())
}
