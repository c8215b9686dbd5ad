package api

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/pki"
)

// echoHandler is a Handler whose replies contain the operator, the verb and the revision of the request.
type echoHandler struct{ fail error }

func (e echoHandler) Handle(_ context.Context, operator string, request protocol.Request) (protocol.Reply, error) {
	return protocol.Reply{Agent: operator, Failure: string(request.Verb), Revisions: []protocol.Revision{request.Revision}}, e.fail
}

// testHarness runs a server on the loopback interface, with keys of an agent and an operator. It is also the writer of the
// server's log.
type testHarness struct {
	t       *testing.T
	keys    pki.Folder
	address string
	mu      sync.Mutex // guards log
	log     bytes.Buffer
}

func (h *testHarness) Write(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.log.Write(p)
}

// logged returns the server's log so far.
func (h *testHarness) logged() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.log.String()
}

// newHarness starts a server that runs until the test ends.
func newHarness(t *testing.T, v Versions, h Handler) *testHarness {
	harness := &testHarness{t: t, keys: pki.Folder(t.TempDir())}
	require.NoError(t, harness.keys.CreateAuthority("f", time.Hour, time.Now()))
	require.NoError(t, harness.keys.Issue(pki.Agent, "a1", time.Minute, time.Now()))
	require.NoError(t, harness.keys.Issue(pki.Operator, "ayla", time.Minute, time.Now()))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	harness.address = l.Addr().String()
	s := NewServer(l, h, harness.keys.Credentials(pki.Agent, "a1"), v, zerolog.New(harness))
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	t.Cleanup(func() { s.Close(); assert.NoError(t, <-done) })
	return harness
}

// client returns a client of operator ayla that speaks the given protocol versions.
func (h *testHarness) client(v Versions) *Client {
	c := NewClient("a1", h.address, h.keys.Credentials(pki.Operator, "ayla"), v)
	h.t.Cleanup(c.Close)
	return c
}

func TestRequestsAreAnswered(t *testing.T) {
	harness := newHarness(t, SupportedVersions, echoHandler{})
	client := harness.client(SupportedVersions)
	for range 3 {
		got, err := client.Call(context.Background(), protocol.Request{Verb: protocol.StatusVerb})
		require.NoError(t, err)
		assert.Equal(t, "ayla", got.Agent, "the operator's name comes from the certificate")
		assert.Equal(t, "look", got.Failure)
	}
	_, err := client.Call(context.Background(), protocol.Request{Verb: protocol.RequestLeaseVerb, LeaseRequest: lease.Request{Holder: "ayla/1"}})
	require.NoError(t, err)
	_, err = client.Call(context.Background(), protocol.Request{Verb: protocol.RequestLeaseVerb, LeaseRequest: lease.Request{Holder: "mehmet/1"}})
	require.ErrorContains(t, err, "agent a1: 400 Bad Request: call: operator ayla cannot use the holder name mehmet/1")
	big := make([]byte, 4<<20)
	_, err = client.Call(context.Background(), protocol.Request{Verb: protocol.PutRevisionVerb, Revision: protocol.Revision{Content: big}})
	require.NoError(t, err)
	_, err = client.Call(context.Background(), protocol.Request{Verb: protocol.StatusVerb, Revision: protocol.Revision{Content: big}})
	assert.ErrorContains(t, err, "at most for look")
}

func TestVersionsAreNegotiatedOrReported(t *testing.T) {
	for _, test := range []struct {
		agent, tool Versions
		want        string
	}{
		{Versions{1, 2}, Versions{1, 1}, ""},
		{Versions{1, 1}, Versions{1, 2}, ""},
		{Versions{1, 3}, Versions{2, 5}, ""},
		{Versions{2, 3}, Versions{1, 1}, "it speaks versions 2 to 3 of the protocol, and this tool 1 to 1"},
		{Versions{1, 1}, Versions{2, 3}, "it speaks versions 1 to 1 of the protocol, and this tool 2 to 3"},
	} {
		c := newHarness(t, test.agent, echoHandler{}).client(test.tool)
		_, err := c.Call(context.Background(), protocol.Request{Verb: protocol.StatusVerb})
		if test.want == "" {
			assert.NoError(t, err, "%v", test)
		} else {
			require.ErrorContains(t, err, test.want)
			var versions *VersionsError
			require.ErrorAs(t, err, &versions)
			assert.Equal(t, VersionsError{Agent: test.agent, Client: test.tool}, *versions)
		}
	}
}

// dialTLS returns a TLS connection with an operator's certificate, on which a test can send arbitrary bytes.
func (h *testHarness) dialTLS() net.Conn {
	conf, err := h.keys.Credentials(pki.Operator, "ayla").ClientConfig("a1")
	require.NoError(h.t, err)
	c, err := tls.Dial("tcp", h.address, conf)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// dialAnswered returns a TLS connection on which the server has answered a request, so that the server counts it. The end of
// the client's handshake does not show that: the server may not have completed its own yet.
func (h *testHarness) dialAnswered() net.Conn {
	connection := h.dialTLS()
	_, err := connection.Write([]byte("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.NoError(h.t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(h.t, err)
	require.Equal(h.t, http.StatusNotFound, response.StatusCode)
	return connection
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	harness := newHarness(t, SupportedVersions, echoHandler{})
	conf, err := harness.keys.Credentials(pki.Operator, "ayla").ClientConfig("a1")
	require.NoError(t, err)
	httpClient := &http.Client{Transport: &http.Transport{TLSClientConfig: conf}}
	t.Cleanup(httpClient.CloseIdleConnections)
	post := func(path, version string, body io.Reader) (int, string) {
		request, err := http.NewRequest(http.MethodPost, "https://"+harness.address+path, body)
		require.NoError(t, err)
		request.Header.Set(versionHeader, version)
		response, err := httpClient.Do(request)
		if err != nil {
			return 0, err.Error()
		}
		defer func() { _ = response.Body.Close() }()
		raw, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(raw)
	}
	for _, test := range []struct {
		path, version string
		body          io.Reader
		status        int
		want          string
	}{
		{"/", "1", bytes.NewReader(nil), 404, "requests go to /fleet"},
		{requestPath, "one", bytes.NewReader(nil), 505, "versions 1 to 1"},
		{requestPath, "", bytes.NewReader(nil), 505, "versions 1 to 1"},
		{requestPath, "1", bytes.NewReader(nil), 400, "call: "},
		{requestPath, "1", bytes.NewReader([]byte("{}")), 400, "call: "},
		{requestPath, "1", bytes.NewReader(protocol.Encode(map[string]any{"verb": "dance"})), 400, "unknown verb"},
		{requestPath, "1", io.LimitReader(endlessReader{}, 100<<20), 413, "too large"},
	} {
		status, text := post(test.path, test.version, test.body)
		if test.status == 413 && status == 0 {
			continue // the server may close the connection before the client has written the whole body
		}
		assert.Equal(t, test.status, status, text)
		assert.Contains(t, text, test.want)
	}
	_, err = harness.client(SupportedVersions).Call(context.Background(), protocol.Request{Verb: protocol.StatusVerb})
	assert.NoError(t, err)
}

// endlessReader is a reader without end. It leaves the contents of the buffer as they are: tests need only its length.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

func TestIncompleteRequestsAreClosed(t *testing.T) {
	harness := newHarness(t, SupportedVersions, echoHandler{})
	for _, half := range []string{"POST /fl", "POST /fleet HTTP/1.1\r\nHost: x\r\nFleet-Version: 1\r\nContent-Length: 99\r\n\r\nabc"} {
		c := harness.dialTLS()
		_, err := c.Write([]byte(half))
		require.NoError(t, err)
		require.NoError(t, c.(*tls.Conn).CloseWrite())
		raw, _ := io.ReadAll(c)
		if len(raw) > 0 {
			assert.Contains(t, string(raw), "400 Bad Request")
		}
	}
	long := harness.dialTLS()
	_, err := fmt.Fprintf(long, "POST /fleet HTTP/1.1\r\nHost: x\r\nX: %s\r\n\r\n", bytes.Repeat([]byte("a"), 64<<10))
	if err == nil {
		raw, _ := io.ReadAll(long)
		assert.Contains(t, string(raw), "431")
	}
	_, err = harness.client(SupportedVersions).Call(context.Background(), protocol.Request{Verb: protocol.StatusVerb})
	assert.NoError(t, err)
}

func TestConnectionsAreBounded(t *testing.T) {
	harness := newHarness(t, SupportedVersions, echoHandler{})
	var connections []net.Conn
	for range maxConnections {
		connections = append(connections, harness.dialAnswered())
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := harness.client(SupportedVersions).Call(ctx, protocol.Request{Verb: protocol.StatusVerb})
	require.ErrorIs(t, err, ErrNoAnswer)
	require.ErrorContains(t, err, "no answer in time")
	_ = connections[0].Close()
	_, err = harness.client(SupportedVersions).Call(context.Background(), protocol.Request{Verb: protocol.StatusVerb})
	assert.NoError(t, err, "a connection that ends makes room for another")
}

func TestWrongCertificatesAreRefusedAndLogged(t *testing.T) {
	harness := newHarness(t, SupportedVersions, echoHandler{})
	other := pki.Folder(t.TempDir())
	require.NoError(t, other.CreateAuthority("g", time.Hour, time.Now()))
	require.NoError(t, other.Issue(pki.Operator, "ayla", time.Minute, time.Now()))
	untrusted := NewClient("a1", harness.address, pki.Credentials{CertificateFile: other.CertificateFile(pki.Operator, "ayla"), TrustedFile: harness.keys.TrustedFile(), Now: time.Now}, SupportedVersions)
	defer untrusted.Close()
	_, err := untrusted.Call(context.Background(), protocol.Request{Verb: protocol.StatusVerb})
	require.ErrorIs(t, err, ErrCertificateRefused)
	require.ErrorContains(t, err, "it refuses this operator's certificate")
	assert.Contains(t, harness.logged(), "operator ayla is from an authority that is not trusted here")
	wrongAgent := NewClient("a2", harness.address, harness.keys.Credentials(pki.Operator, "ayla"), SupportedVersions)
	defer wrongAgent.Close()
	_, err = wrongAgent.Call(context.Background(), protocol.Request{Verb: protocol.StatusVerb})
	require.ErrorContains(t, err, "agent a1's, and should be agent a2's")
	// The agent's certificate is renewed in place. The next connection uses the new one.
	client := harness.client(SupportedVersions)
	_, err = client.Call(context.Background(), protocol.Request{Verb: protocol.StatusVerb})
	require.NoError(t, err)
	require.NoError(t, harness.keys.Issue(pki.Agent, "a1", 30*time.Second, time.Now()))
	client.Close()
	_, err = client.Call(context.Background(), protocol.Request{Verb: protocol.StatusVerb})
	assert.NoError(t, err)
}

func TestTransportErrorsAreExplained(t *testing.T) {
	harness := newHarness(t, SupportedVersions, echoHandler{fail: errors.New("busy")})
	_, err := harness.client(SupportedVersions).Call(context.Background(), protocol.Request{Verb: protocol.StatusVerb})
	require.ErrorContains(t, err, "agent a1: 503 Service Unavailable: busy")
	var status *StatusError
	require.ErrorAs(t, err, &status)
	assert.Equal(t, StatusError{Status: "503 Service Unavailable", Text: "busy"}, *status)
	c := NewClient("a1", "127.0.0.1:1", harness.keys.Credentials(pki.Operator, "ayla"), SupportedVersions)
	_, err = c.Call(context.Background(), protocol.Request{Verb: protocol.StatusVerb})
	var unreachable *UnreachableError
	require.ErrorAs(t, err, &unreachable)
	assert.ErrorContains(t, err, "it cannot be reached")
}
