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
	maxIdleConnections = 2   // per client
	maxErrorTextBytes  = 500 // length to which the text of an agent's error is cut
)

// Client sends requests to one agent. It keeps its connections open between calls.
type Client struct {
	Agent    string // name of the agent, which must match its certificate
	address  string // host and port of the agent
	http     *http.Client
	versions Versions // versions that the client may use
	version  int      // version of the next request
}

// NewClient returns a client that is not connected yet. address is the host and port of the agent. The client reads its
// certificate from source again for each connection, so that it uses a renewed certificate.
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

// Call sends a request and returns the reply. If the agent does not speak the client's current protocol version, Call
// repeats the request in the highest version that both speak, and the client keeps that version. Errors are of type
// *AgentError and give a remedy where one is known. They may match *VersionsError, *StatusError, *UnreachableError,
// ErrCertificateRefused or ErrNoAnswer.
func (c *Client) Call(ctx context.Context, request protocol.Request) (protocol.Reply, error) {
	reply, err := c.call(ctx, request)
	var mismatch *VersionsError
	if errors.As(err, &mismatch) {
		common := min(c.versions.Max, mismatch.Agent.Max)
		if common >= max(c.versions.Min, mismatch.Agent.Min) && common != c.version {
			c.version = common
			reply, err = c.call(ctx, request)
		}
	}
	if err != nil {
		return reply, &AgentError{Agent: c.Agent, Err: explainError(err)}
	}
	return reply, nil
}

// call sends a request once, in the client's current version. It returns *VersionsError if the agent does not speak that
// version.
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
		return reply, fmt.Errorf("its reply is longer than %d bytes", protocol.MaxReplyBytes)
	case response.StatusCode == http.StatusHTTPVersionNotSupported:
		return reply, c.versionsError(response.Header)
	case response.StatusCode != http.StatusOK:
		text := raw[:min(len(raw), maxErrorTextBytes)]
		return reply, &StatusError{Status: response.Status, Text: strings.TrimSpace(string(text))}
	}
	return reply, protocol.Decode("its reply", raw, &reply)
}

// versionsError returns a *VersionsError with the versions in the header of an agent's response, or errNoVersions if they
// are missing or invalid.
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
