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
	connections = 64
	headTime    = 5 * time.Second
	callTime    = 30 * time.Second
	idleTime    = 2 * time.Minute
	headLongest = 8 << 10
	path        = "/fleet"
	media       = "application/cbor"
)

// Headers of calls and answers: the version that is spoken, and those that could be.
const (
	versionHeader = "Fleet-Version"
	leastHeader   = "Fleet-Least"
	mostHeader    = "Fleet-Most"
)

// Handler answers calls; the operator is known by the certificate.
type Handler interface {
	Handle(ctx context.Context, operator string, c form.Call) (form.Reply, error)
}

// Versions that one side speaks.
type Versions struct{ Least, Most int }

// Spoken are this program's.
var Spoken = Versions{form.Least, form.Most}

// Server serves an agent's calls on a listener.
type Server struct {
	http *http.Server
	l    net.Listener
}

// NewServer is one that listens already.
func NewServer(l net.Listener, h Handler, source keys.Source, v Versions, log zerolog.Logger) *Server {
	conf := source.Server(func(err error) { log.Warn().Err(err).Msg("connection refused") })
	s := &http.Server{Handler: &door{h, v, log}, ReadHeaderTimeout: headTime, ReadTimeout: callTime, WriteTimeout: callTime,
		IdleTimeout: idleTime, MaxHeaderBytes: headLongest, ErrorLog: nil}
	s.ErrorLog = quiet(log)
	return &Server{http: s, l: tls.NewListener(netutil.LimitListener(l, connections), conf)}
}

// Serve serves until Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("api: %w", err)
	}
	return nil
}

// Close ends all connections.
func (s *Server) Close() { _ = s.http.Close() }

type door struct {
	h   Handler
	v   Versions
	log zerolog.Logger
}

func (d *door) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set(leastHeader, strconv.Itoa(d.v.Least))
	w.Header().Set(mostHeader, strconv.Itoa(d.v.Most))
	version, err := strconv.Atoi(q.Header.Get(versionHeader))
	switch {
	case q.URL.Path != path:
		http.Error(w, "calls go to "+path, http.StatusNotFound)
		return
	case q.Method != http.MethodPost:
		http.Error(w, "calls are posted", http.StatusMethodNotAllowed)
		return
	case err != nil || version < d.v.Least || version > d.v.Most:
		http.Error(w, fmt.Sprintf("versions %d to %d are spoken here", d.v.Least, d.v.Most), http.StatusHTTPVersionNotSupported)
		return
	}
	_, operator := keys.Who(q.TLS.PeerCertificates[0])
	raw, err := io.ReadAll(http.MaxBytesReader(w, q.Body, form.LongestContent))
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
	c, err := form.DecodeCall(raw)
	if err == nil && c.Verb != form.Put && len(raw) > form.LongestCall {
		err = fmt.Errorf("call: %d bytes, %d at most for %s", len(raw), form.LongestCall, c.Verb)
	}
	if err == nil {
		err = itself(operator, c)
	}
	if err != nil {
		d.log.Warn().Err(err).Str("operator", operator).Msg("call refused")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r, err := d.h.Handle(q.Context(), operator, c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", media)
	_, _ = w.Write(form.Encode(r))
}

// itself sees that nobody speaks under another operator's name: a holder's name begins with its operator's.
func itself(operator string, c form.Call) error {
	for _, h := range []string{c.Holder, c.Bid.Holder} {
		if h != "" && !strings.HasPrefix(h, operator+"/") {
			return fmt.Errorf("call: operator %s cannot speak as %s", operator, h)
		}
	}
	return nil
}

// Holder names one running tool of an operator's.
func Holder(operator, unique string) string { return operator + "/" + unique }

// Client speaks to one agent.
type Client struct {
	Agent string
	at    string
	http  *http.Client
	v     Versions
	speak int
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
	return &Client{Agent: agent, at: at, v: v, speak: v.Most,
		http: &http.Client{Transport: &http.Transport{DialTLSContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: idleTime,
			MaxResponseHeaderBytes: headLongest}}}
}

// Close ends connections that stand idle.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call makes one call. Errors name the agent and say what can be done about it where that is known.
func (c *Client) Call(ctx context.Context, call form.Call) (form.Reply, error) {
	r, least, most, err := c.call(ctx, call)
	if err == nil && most > 0 { // it speaks other versions
		if common := min(c.v.Most, most); common >= max(c.v.Least, least) && common != c.speak {
			c.speak = common
			r, _, most, err = c.call(ctx, call)
		}
		if err == nil && most > 0 {
			err = fmt.Errorf("it speaks versions %d to %d, and this tool %d to %d: bring both to one release", least, most,
				c.v.Least, c.v.Most)
		}
	}
	if err != nil {
		return r, fmt.Errorf("agent %s: %w", c.Agent, plain(err))
	}
	return r, nil
}

// call returns the agent's versions if it does not speak the one that was tried.
func (c *Client) call(ctx context.Context, call form.Call) (r form.Reply, least, most int, err error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+c.at+path, bytes.NewReader(form.Encode(call)))
	if err != nil {
		return r, 0, 0, err
	}
	q.Header.Set(versionHeader, strconv.Itoa(c.speak))
	q.Header.Set("Content-Type", media)
	a, err := c.http.Do(q)
	if err != nil {
		return r, 0, 0, err
	}
	defer func() { _ = a.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(a.Body, form.LongestReply+1))
	switch {
	case err != nil:
		return r, 0, 0, err
	case len(raw) > form.LongestReply:
		return r, 0, 0, fmt.Errorf("its answer is over %d bytes", form.LongestReply)
	case a.StatusCode == http.StatusHTTPVersionNotSupported:
		least, err = strconv.Atoi(a.Header.Get(leastHeader))
		if err == nil {
			most, err = strconv.Atoi(a.Header.Get(mostHeader))
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
func plain(err error) error {
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
