package testserver

import (
	"fmt"
	"os"
	"sync/atomic"
)

var lastHost atomic.Int64

// Host returns a loopback address that it returns to no other caller, neither in this process nor in another process that
// runs at the same time. All its ports are therefore free. A port that was free on 127.0.0.1 a moment ago may be taken:
// the kernel also assigns such ports to outgoing connections.
func Host() string {
	n := lastHost.Add(1)
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+(pid>>8&0x1f)+int(n/250)%6*32, pid&0xff, 1+n%250)
}
