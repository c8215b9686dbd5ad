package frontend

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"stoatdale.example/stoatdale/internal/eventloop"
)

// failingListener is an event loop whose machine refuses a listening socket for a while.
type failingListener struct {
	*eventloop.Loop
	code     unix.Errno
	failures int // still to come
}

// Listen implements eventloop.ServerNetwork.
func (f *failingListener) Listen(address netip.AddrPort, backlog int) (int, error) {
	if f.failures > 0 {
		f.failures--
		return noDescriptor, fmt.Errorf("opening a socket: %w", f.code)
	}
	return f.Loop.Listen(address, backlog)
}

func (h *harness) listenOn(network eventloop.ServerNetwork) (*Server, error) {
	return Listen(netip.MustParseAddrPort("127.0.0.1:0"), network, Options{
		Limits: h.server.limits, Settings: h.server.settings, Buffers: h.buffers, Dispatcher: h.dispatcher, Counters: &h.counters,
	})
}

// A machine that has no socket to give for a moment is no reason to refuse the start.
func TestStartOutlastsAMomentWithoutASocket(t *testing.T) {
	h := newHarness(t, noChange)
	for _, code := range []unix.Errno{unix.ENOBUFS, unix.ENFILE, unix.ENOMEM} {
		network := &failingListener{Loop: h.loop, code: code, failures: 3}
		server, err := h.listenOn(network)
		require.NoError(t, err, code)
		assert.NotZero(t, server.Address.Port())
	}
	_, err := h.listenOn(&failingListener{Loop: h.loop, code: unix.EADDRINUSE, failures: 1})
	require.ErrorIs(t, err, unix.EADDRINUSE, "which another process accounts for")
}
