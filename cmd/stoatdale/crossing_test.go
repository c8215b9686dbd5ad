package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Discovery goes silent with a call out, and returns just after the router has called again: what it has then binds
// within the grace, 1 s here, so the call that it will never answer, and the pause after that, have to be over by then.
func TestReturnOfDiscoveryIsHeardWithinTheGrace(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	a, b := newMember(t, says("on")), newMember(t, says("on"))
	list := fmt.Sprintf(`{"generation":7,"reset":true,"instances":[%s,%s]}`, entry(a, "a", "draining", "on"), entry(b, "b", "ready", "on"))
	silent, calls := make(chan time.Time, 10), 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			calls++
			go func(n int) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				if n <= 3 { // the fourth is the first after the return
					silent <- time.Now()
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
			}(calls)
		}
	}()
	r := startMore(t, map[string]any{"discovery": l.Addr().String()}, 1e9, entry(a, "a", "ready", "on"))
	for range 3 {
		next(t, silent)
	}
	returned := time.Now()
	r.logged(`"generation":7`)
	assert.Less(t, time.Since(returned), time.Second, "the grace")
	c := r.client()
	for i := range 5 {
		key := fmt.Sprint("k", i)
		assert.Equal(t, "value of "+key, c.ask(look(key)))
	}
	assert.Empty(t, a.asked, "which drains")
}
