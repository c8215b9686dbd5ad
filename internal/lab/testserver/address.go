package testserver

import (
	"fmt"
	"os"
	"sync/atomic"
)

var hosts atomic.Int64

// Host is a loopback address that nothing else of this process is given, and no other process that runs at
// the same time. A port on it is free, unlike one that was free on 127.0.0.1 a moment ago: those are also
// handed to outgoing connections.
func Host() string {
	n := hosts.Add(1)
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+(pid>>8&0x1f)+int(n/250)%6*32, pid&0xff, 1+n%250)
}
