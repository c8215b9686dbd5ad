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

func (p *replayer) Handle(_ context.Context, _ string, request protocol.Request) (protocol.Reply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[request.Verb] = request
	return p.replies[request.Verb], nil
}

// TestRecordedExchangesPassUnchanged posts the recorded request of each verb as bytes and compares the bytes of the reply.
// It then makes the same request with a Client.
func TestRecordedExchangesPassUnchanged(t *testing.T) {
	files, err := filepath.Glob("../protocol/testdata/calls/*.cbor")
	require.NoError(t, err)
	require.Len(t, files, 9, "one call of each verb")
	handler := &replayer{replies: map[protocol.Verb]protocol.Reply{}, calls: map[protocol.Verb]protocol.Request{}}
	calls, replies := map[protocol.Verb][]byte{}, map[protocol.Verb][]byte{}
	for _, file := range files {
		verb := protocol.Verb(filepath.Base(file[:len(file)-len(".cbor")]))
		calls[verb], err = os.ReadFile(file)
		require.NoError(t, err)
		replies[verb], err = os.ReadFile(filepath.Join("../protocol/testdata/replies", filepath.Base(file)))
		require.NoError(t, err)
		var reply protocol.Reply
		require.NoError(t, protocol.Decode("reply", replies[verb], &reply))
		handler.replies[verb] = reply
	}
	harness := newHarness(t, SupportedVersions, handler)
	conf, err := harness.keys.Credentials(pki.Operator, "ayla").ClientConfig("a1")
	require.NoError(t, err)
	plainHTTP := &http.Client{Transport: &http.Transport{TLSClientConfig: conf}}
	t.Cleanup(plainHTTP.CloseIdleConnections)
	client := harness.client(SupportedVersions)
	for verb, raw := range calls {
		request, err := http.NewRequest(http.MethodPost, "https://"+harness.address+"/fleet", bytes.NewReader(raw))
		require.NoError(t, err)
		request.Header.Set("Fleet-Version", "1")
		response, err := plainHTTP.Do(request)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		assert.Equal(t, http.StatusOK, response.StatusCode, "%s: %s", verb, body)
		assert.Equal(t, "application/cbor", response.Header.Get("Content-Type"), verb)
		assert.Equal(t, "1", response.Header.Get("Fleet-Least"), verb)
		assert.Equal(t, "1", response.Header.Get("Fleet-Most"), verb)
		assert.Equal(t, replies[verb], body, verb)
		assert.Equal(t, raw, protocol.Encode(handler.calls[verb]), verb)
		got, err := client.Call(context.Background(), handler.calls[verb])
		require.NoError(t, err)
		assert.Equal(t, handler.replies[verb], got, verb)
	}
}
