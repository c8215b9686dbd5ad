package testserver

import (
	"fmt"
	"os"
	"sync/atomic"
)

var lastHost atomic.Int64

// Host returns a loopback address of its own to each caller, in this process and in others that run at the same time. All
// ports of the address are therefore free. A port that was free on 127.0.0.1 a moment ago may be taken: the kernel also
// assigns such ports to outgoing connections. Addresses repeat after 1500 calls, and in processes whose IDs differ by a
// multiple of 8192.
func Host() string {
	n := lastHost.Add(1)
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+(pid>>8&0x1f)+int(n/250)%6*32, pid&0xff, 1+n%250)
}
