package api

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/pki"
)

// Handler answers the requests to an agent.
type Handler interface {
	// Handle answers a request. It may be called from several goroutines at a time. operator is the name in the caller's
	// certificate. The server answers an error with status 503.
	Handle(ctx context.Context, operator string, request protocol.Request) (protocol.Reply, error)
}

// Server serves an agent's requests on a listener.
type Server struct {
	http     *http.Server
	listener net.Listener
}

// NewServer returns a server for a listener, which the server closes in the end. It reads the certificate and the trusted
// authorities from source again for each connection, so that it uses renewed ones. It logs refused connections and
// rejected requests.
func NewServer(l net.Listener, h Handler, source pki.Credentials, v Versions, log zerolog.Logger) *Server {
	tlsConfig := source.ServerConfig(func(err error) { log.Warn().Err(err).Msg("connection refused") })
	return &Server{
		http: &http.Server{
			Handler:           &requestHandler{handler: h, versions: v, log: log},
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       requestTimeout,
			WriteTimeout:      requestTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          debugLogger(log),
		},
		listener: newHandshakeListener(l, tlsConfig, log),
	}
}

// Serve answers requests until Close is called, and then returns nil. It returns an error if the listener fails.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("api: %w", err)
	}
	return nil
}

// Close closes the listener and all connections, including those with a request under way.
func (s *Server) Close() { _ = s.http.Close() }

// requestHandler is an http.Handler that passes requests to a Handler.
type requestHandler struct {
	handler  Handler
	versions Versions
	log      zerolog.Logger
}

// httpError is an error with the HTTP status that the server answers it with.
type httpError struct {
	status int
	err    error
}

func (e *httpError) Error() string { return e.err.Error() }

func (e *httpError) Unwrap() error { return e.err }

// ServeHTTP implements http.Handler.
func (h *requestHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(minVersionHeader, strconv.Itoa(h.versions.Min))
	w.Header().Set(maxVersionHeader, strconv.Itoa(h.versions.Max))
	reply, err := h.serve(w, r)
	if err != nil {
		http.Error(w, err.Error(), err.status)
		return
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(protocol.Encode(reply))
}

// serve checks and decodes a request and passes it to the handler.
func (h *requestHandler) serve(w http.ResponseWriter, r *http.Request) (protocol.Reply, *httpError) {
	if err := h.checkHeader(r); err != nil {
		return protocol.Reply{}, err
	}
	operator := pki.IdentityOf(r.TLS.PeerCertificates[0]).Name
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, protocol.MaxContentBytes))
	if err != nil {
		h.log.Warn().Err(err).Str("operator", operator).Msg("could not read the request")
		return protocol.Reply{}, &httpError{status: readErrorStatus(err), err: err}
	}
	request, err := decodeRequest(operator, raw)
	if err != nil {
		h.log.Warn().Err(err).Str("operator", operator).Msg("request rejected")
		return protocol.Reply{}, &httpError{status: http.StatusBadRequest, err: err}
	}
	reply, err := h.handler.Handle(r.Context(), operator, request)
	if err != nil {
		return protocol.Reply{}, &httpError{status: http.StatusServiceUnavailable, err: err}
	}
	return reply, nil
}

// checkHeader checks a request's path, method and protocol version.
func (h *requestHandler) checkHeader(r *http.Request) *httpError {
	version, err := strconv.Atoi(r.Header.Get(versionHeader))
	switch {
	case r.URL.Path != requestPath:
		return &httpError{status: http.StatusNotFound, err: errors.New("requests go to " + requestPath)}
	case r.Method != http.MethodPost:
		return &httpError{status: http.StatusMethodNotAllowed, err: errors.New("requests must use the method POST")}
	case err != nil || !h.versions.contains(version):
		err = fmt.Errorf("this agent speaks versions %d to %d of the protocol", h.versions.Min, h.versions.Max)
		return &httpError{status: http.StatusHTTPVersionNotSupported, err: err}
	}
	return nil
}

// readErrorStatus returns the HTTP status for an error in reading a request's body.
func readErrorStatus(err error) int {
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// decodeRequest decodes a request and checks its size and its holder names.
func decodeRequest(operator string, raw []byte) (protocol.Request, error) {
	request, err := protocol.DecodeRequest(raw)
	if err != nil {
		return request, err
	}
	if request.Verb != protocol.PutRevisionVerb && len(raw) > protocol.MaxRequestBytes {
		return request, fmt.Errorf("call: %d bytes, %d at most for %s", len(raw), protocol.MaxRequestBytes, request.Verb)
	}
	return request, checkHolder(operator, request)
}

// checkHolder returns an error if a holder name in a request belongs to another operator than the caller.
func checkHolder(operator string, request protocol.Request) error {
	for _, holder := range []string{request.Holder, request.LeaseRequest.Holder} {
		if holder != "" && !strings.HasPrefix(holder, operator+holderSeparator) {
			return fmt.Errorf("call: operator %s cannot use the holder name %s", operator, holder)
		}
	}
	return nil
}
