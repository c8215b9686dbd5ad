package api

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/pki"
)

const (
	maxIdleConnections = 2   // of one client
	maxErrorTextBytes  = 500 // of an agent's error that are shown
)

// Client sends requests to one agent. It keeps its connections open between calls.
type Client struct {
	Agent    string // the agent's name, which its certificate must bear
	address  string
	http     *http.Client
	versions Versions
	version  int // that is spoken
}

// NewClient returns a client that has not connected yet. address is the agent's listener, as host and port. The
// certificate is read from source anew for each connection.
func NewClient(agent, address string, source pki.Credentials, v Versions) *Client {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conf, err := source.ClientConfig(agent)
		if err != nil {
			return nil, err
		}
		return (&tls.Dialer{Config: conf}).DialContext(ctx, network, addr)
	}
	transport := &http.Transport{
		DialTLSContext:         dial,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Client{Agent: agent, address: address, versions: v, version: v.Max, http: &http.Client{Transport: transport}}
}

// Close closes idle connections. The client can be used again.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call sends a request and returns the reply. If the agent speaks other versions, the highest common one is taken and
// kept. Errors are of type *AgentError and say what can be done about them where that is known; they match
// *VersionsError, *StatusError, *UnreachableError, ErrCertificateRefused and ErrNoAnswer.
func (c *Client) Call(ctx context.Context, request protocol.Request) (protocol.Reply, error) {
	reply, err := c.call(ctx, request)
	var other *VersionsError
	if errors.As(err, &other) {
		common := min(c.versions.Max, other.Agent.Max)
		if common >= max(c.versions.Min, other.Agent.Min) && common != c.version {
			c.version = common
			reply, err = c.call(ctx, request)
		}
	}
	if err != nil {
		return reply, &AgentError{Agent: c.Agent, Err: explainError(err)}
	}
	return reply, nil
}

// call sends a request once, in the version that is spoken. It fails with *VersionsError if the agent does not speak it.
func (c *Client) call(ctx context.Context, request protocol.Request) (protocol.Reply, error) {
	var reply protocol.Reply
	body := bytes.NewReader(protocol.Encode(request))
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+c.address+requestPath, body)
	if err != nil {
		return reply, err
	}
	httpRequest.Header.Set(versionHeader, strconv.Itoa(c.version))
	httpRequest.Header.Set("Content-Type", contentType)
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return reply, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, protocol.MaxReplyBytes+1))
	switch {
	case err != nil:
		return reply, err
	case len(raw) > protocol.MaxReplyBytes:
		return reply, fmt.Errorf("its answer is over %d bytes", protocol.MaxReplyBytes)
	case response.StatusCode == http.StatusHTTPVersionNotSupported:
		return reply, c.versionsError(response.Header)
	case response.StatusCode != http.StatusOK:
		text := raw[:min(len(raw), maxErrorTextBytes)]
		return reply, &StatusError{Status: response.Status, Text: strings.TrimSpace(string(text))}
	}
	return reply, protocol.Decode("its answer", raw, &reply)
}

// versionsError reads the versions that an agent speaks from a response's header.
func (c *Client) versionsError(header http.Header) error {
	lowest, err := strconv.Atoi(header.Get(minVersionHeader))
	if err != nil {
		return errNoVersions
	}
	highest, err := strconv.Atoi(header.Get(maxVersionHeader))
	if err != nil || highest < 1 {
		return errNoVersions
	}
	return &VersionsError{Agent: Versions{Min: lowest, Max: highest}, Client: c.versions}
}
