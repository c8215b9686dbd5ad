package api

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/pki"
)

// replayer is a Handler that answers each verb with the recorded reply and records the request.
type replayer struct {
	replies map[protocol.Verb]protocol.Reply
	mu      sync.Mutex
	calls   map[protocol.Verb]protocol.Request
}

func (p *replayer) Handle(_ context.Context, _ string, c protocol.Request) (protocol.Reply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[c.Verb] = c
	return p.replies[c.Verb], nil
}

// TestRecordedExchangesPassUnchanged posts the recorded request of each verb as bytes and compares the bytes of the reply.
// It then makes the same request with a Client.
func TestRecordedExchangesPassUnchanged(t *testing.T) {
	files, err := filepath.Glob("../protocol/testdata/calls/*.cbor")
	require.NoError(t, err)
	require.Len(t, files, 9, "one call of each verb")
	h := &replayer{replies: map[protocol.Verb]protocol.Reply{}, calls: map[protocol.Verb]protocol.Request{}}
	calls, replies := map[protocol.Verb][]byte{}, map[protocol.Verb][]byte{}
	for _, file := range files {
		v := protocol.Verb(filepath.Base(file[:len(file)-len(".cbor")]))
		calls[v], err = os.ReadFile(file)
		require.NoError(t, err)
		replies[v], err = os.ReadFile(filepath.Join("../protocol/testdata/replies", filepath.Base(file)))
		require.NoError(t, err)
		var reply protocol.Reply
		require.NoError(t, protocol.Decode("reply", replies[v], &reply))
		h.replies[v] = reply
	}
	r := newRig(t, SupportedVersions, h)
	conf, err := r.keys.Credentials(pki.Operator, "ayla").ClientConfig("a1")
	require.NoError(t, err)
	plainHTTP := &http.Client{Transport: &http.Transport{TLSClientConfig: conf}}
	t.Cleanup(plainHTTP.CloseIdleConnections)
	c := r.client(SupportedVersions)
	for v, raw := range calls {
		q, err := http.NewRequest(http.MethodPost, "https://"+r.address+"/fleet", bytes.NewReader(raw))
		require.NoError(t, err)
		q.Header.Set("Fleet-Version", "1")
		a, err := plainHTTP.Do(q)
		require.NoError(t, err)
		body, err := io.ReadAll(a.Body)
		require.NoError(t, err)
		require.NoError(t, a.Body.Close())
		assert.Equal(t, http.StatusOK, a.StatusCode, "%s: %s", v, body)
		assert.Equal(t, "application/cbor", a.Header.Get("Content-Type"), v)
		assert.Equal(t, "1", a.Header.Get("Fleet-Least"), v)
		assert.Equal(t, "1", a.Header.Get("Fleet-Most"), v)
		assert.Equal(t, replies[v], body, v)
		assert.Equal(t, raw, protocol.Encode(h.calls[v]), v)
		got, err := c.Call(context.Background(), h.calls[v])
		require.NoError(t, err)
		assert.Equal(t, h.replies[v], got, v)
	}
}
