// Package api carries the messages of package form between the fleet tool and its agents: HTTP/1.1 over TLS
// with certificates on both sides. Sizes, times and connections are bounded; versions are agreed on, or the
// two say that they cannot.
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
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"

	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/keys"
)

// Bounds of an agent's listener.
const (
	maxConnections = 64
	headerTimeout  = 5 * time.Second
	requestTimeout = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 8 << 10
	requestPath    = "/fleet"
	contentType    = "application/cbor"
)

// Headers of calls and answers: the version that is spoken, and those that could be.
const (
	versionHeader    = "Fleet-Version"
	minVersionHeader = "Fleet-Least"
	maxVersionHeader = "Fleet-Most"
)

// Handler answers calls; the operator is known by the certificate.
type Handler interface {
	Handle(ctx context.Context, operator string, c form.Request) (form.Reply, error)
}

// Versions that one side speaks.
type Versions struct{ Min, Max int }

// Spoken are this program's.
var SupportedVersions = Versions{form.MinVersion, form.MaxVersion}

// Server serves an agent's calls on a listener.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// NewServer is one that listens already.
func NewServer(l net.Listener, h Handler, source keys.Source, v Versions, log zerolog.Logger) *Server {
	conf := source.Server(func(err error) { log.Warn().Err(err).Msg("connection refused") })
	s := &http.Server{
		Handler: &requestHandler{h, v, log}, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: nil,
	}
	s.ErrorLog = debugLogger(log)
	return &Server{http: s, listener: tls.NewListener(netutil.LimitListener(l, maxConnections), conf)}
}

// Serve serves until Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("api: %w", err)
	}
	return nil
}

// Close ends all connections.
func (s *Server) Close() { _ = s.http.Close() }

type requestHandler struct {
	handler  Handler
	versions Versions
	log      zerolog.Logger
}

func (d *requestHandler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set(minVersionHeader, strconv.Itoa(d.versions.Min))
	w.Header().Set(maxVersionHeader, strconv.Itoa(d.versions.Max))
	version, err := strconv.Atoi(q.Header.Get(versionHeader))
	switch {
	case q.URL.Path != requestPath:
		http.Error(w, "calls go to "+requestPath, http.StatusNotFound)
		return
	case q.Method != http.MethodPost:
		http.Error(w, "calls are posted", http.StatusMethodNotAllowed)
		return
	case err != nil || version < d.versions.Min || version > d.versions.Max:
		http.Error(w, fmt.Sprintf("versions %d to %d are spoken here", d.versions.Min, d.versions.Max), http.StatusHTTPVersionNotSupported)
		return
	}
	_, operator := keys.Who(q.TLS.PeerCertificates[0])
	raw, err := io.ReadAll(http.MaxBytesReader(w, q.Body, form.MaxContentBytes))
	if err != nil {
		status := http.StatusBadRequest
		var long *http.MaxBytesError
		if errors.As(err, &long) {
			status = http.StatusRequestEntityTooLarge
		}
		d.log.Warn().Err(err).Str("operator", operator).Msg("call not read")
		http.Error(w, err.Error(), status)
		return
	}
	c, err := form.DecodeRequest(raw)
	if err == nil && c.Verb != form.PutRevisionVerb && len(raw) > form.MaxRequestBytes {
		err = fmt.Errorf("call: %d bytes, %d at most for %s", len(raw), form.MaxRequestBytes, c.Verb)
	}
	if err == nil {
		err = checkHolder(operator, c)
	}
	if err != nil {
		d.log.Warn().Err(err).Str("operator", operator).Msg("call refused")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r, err := d.handler.Handle(q.Context(), operator, c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(form.Encode(r))
}

// itself sees that nobody speaks under another operator's name: a holder's name begins with its operator's.
func checkHolder(operator string, c form.Request) error {
	for _, h := range []string{c.Holder, c.LeaseRequest.Holder} {
		if h != "" && !strings.HasPrefix(h, operator+"/") {
			return fmt.Errorf("call: operator %s cannot speak as %s", operator, h)
		}
	}
	return nil
}

// Holder names one running tool of an operator's.
func HolderName(operator, unique string) string { return operator + "/" + unique }

// Client speaks to one agent.
type Client struct {
	Agent    string
	address  string
	http     *http.Client
	versions Versions
	version  int
}

// NewClient is one that has not connected. The certificate is read anew for each connection.
func NewClient(agent, at string, source keys.Source, v Versions) *Client {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conf, err := source.Client(agent)
		if err != nil {
			return nil, err
		}
		return (&tls.Dialer{Config: conf}).DialContext(ctx, network, addr)
	}
	return &Client{
		Agent: agent, address: at, versions: v, version: v.Max,
		http: &http.Client{Transport: &http.Transport{
			DialTLSContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}},
	}
}

// Close ends connections that stand idle.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call makes one call. Errors name the agent and say what can be done about it where that is known.
func (c *Client) Call(ctx context.Context, call form.Request) (form.Reply, error) {
	r, least, most, err := c.call(ctx, call)
	if err == nil && most > 0 { // it speaks other versions
		if common := min(c.versions.Max, most); common >= max(c.versions.Min, least) && common != c.version {
			c.version = common
			r, _, most, err = c.call(ctx, call)
		}
		if err == nil && most > 0 {
			err = fmt.Errorf("it speaks versions %d to %d, and this tool %d to %d: bring both to one release", least, most,
				c.versions.Min, c.versions.Max)
		}
	}
	if err != nil {
		return r, fmt.Errorf("agent %s: %w", c.Agent, explainError(err))
	}
	return r, nil
}

// call returns the agent's versions if it does not speak the one that was tried.
func (c *Client) call(ctx context.Context, call form.Request) (r form.Reply, least, most int, err error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+c.address+requestPath, bytes.NewReader(form.Encode(call)))
	if err != nil {
		return r, 0, 0, err
	}
	q.Header.Set(versionHeader, strconv.Itoa(c.version))
	q.Header.Set("Content-Type", contentType)
	a, err := c.http.Do(q)
	if err != nil {
		return r, 0, 0, err
	}
	defer func() { _ = a.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(a.Body, form.MaxReplyBytes+1))
	switch {
	case err != nil:
		return r, 0, 0, err
	case len(raw) > form.MaxReplyBytes:
		return r, 0, 0, fmt.Errorf("its answer is over %d bytes", form.MaxReplyBytes)
	case a.StatusCode == http.StatusHTTPVersionNotSupported:
		least, err = strconv.Atoi(a.Header.Get(minVersionHeader))
		if err == nil {
			most, err = strconv.Atoi(a.Header.Get(maxVersionHeader))
		}
		if err != nil || most < 1 {
			return r, 0, 0, errors.New("it does not say which versions it speaks")
		}
		return r, least, most, nil
	case a.StatusCode != http.StatusOK:
		return r, 0, 0, fmt.Errorf("%s: %s", a.Status, strings.TrimSpace(string(raw[:min(len(raw), 500)])))
	}
	return r, 0, 0, form.Decode("its answer", raw, &r)
}

// plain takes what says nothing to an operator off an error.
func explainError(err error) error {
	var alert tls.AlertError
	var op *net.OpError
	switch {
	case errors.As(err, &alert), strings.Contains(err.Error(), "remote error: tls:"):
		return fmt.Errorf("it refuses this operator's certificate, and its log says why (%w)", err)
	case errors.Is(err, context.DeadlineExceeded):
		return errors.New("no answer in time")
	case errors.As(err, &op) && op.Op == "dial":
		return fmt.Errorf("it cannot be reached: %w", op.Err)
	}
	return err
}
