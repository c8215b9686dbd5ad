package api

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"

	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"
)

// handshakeListener is a listener for TLS that completes handshakes side by side before it hands out connections. A connection
// without a certificate, which says nothing or stops in the middle of its handshake, so holds up no client that has one.
type handshakeListener struct {
	net.Listener // bounds the connections of all kinds

	config  *tls.Config
	log     zerolog.Logger
	slots   chan struct{} // one element for each connection that was handed out and is open
	ready   chan net.Conn // connections whose handshake is complete
	failed  chan error    // errors of accepting
	context context.Context
	cancel  context.CancelFunc
}

// newHandshakeListener returns a handshakeListener on a listener, which it closes in the end.
func newHandshakeListener(l net.Listener, config *tls.Config, log zerolog.Logger) *handshakeListener {
	h := &handshakeListener{
		Listener: netutil.LimitListener(l, maxConnections+maxHandshakes),
		config:   config,
		log:      log,
		slots:    make(chan struct{}, maxConnections),
		ready:    make(chan net.Conn),
		failed:   make(chan error),
	}
	h.context, h.cancel = context.WithCancel(context.Background())
	go h.acceptAll()
	return h
}

// Accept implements net.Listener. It returns a connection whose handshake is complete.
func (h *handshakeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-h.ready:
		return connection, nil
	case err := <-h.failed:
		return nil, err
	case <-h.context.Done():
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It also ends the handshakes.
func (h *handshakeListener) Close() error {
	h.cancel()
	return h.Listener.Close()
}

// acceptAll accepts connections until the listener is closed.
func (h *handshakeListener) acceptAll() {
	for h.context.Err() == nil {
		connection, err := h.Listener.Accept()
		if err == nil {
			go h.handshake(connection)
			continue
		}
		select {
		case h.failed <- err:
		case <-h.context.Done():
		}
	}
}

// handshake completes the handshake of a connection and hands it out, once fewer than maxConnections are open.
func (h *handshakeListener) handshake(raw net.Conn) {
	counted := &countedConn{Conn: raw, slots: h.slots}
	connection := tls.Server(counted, h.config)
	limited, cancel := context.WithTimeout(h.context, handshakeTimeout)
	defer cancel()
	if err := connection.HandshakeContext(limited); err != nil {
		h.log.Debug().Err(err).Msg("TLS handshake failed")
		_ = connection.Close()
		return
	}
	select {
	case h.slots <- struct{}{}:
		counted.holdsSlot.Store(true)
	case <-h.context.Done():
		_ = connection.Close()
		return
	}
	select {
	case h.ready <- connection:
	case <-h.context.Done():
		_ = connection.Close()
	}
}

// countedConn frees its slot when it is closed.
type countedConn struct {
	net.Conn
	slots     <-chan struct{}
	holdsSlot atomic.Bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if c.holdsSlot.CompareAndSwap(true, false) {
		<-c.slots
	}
	return c.Conn.Close()
}
