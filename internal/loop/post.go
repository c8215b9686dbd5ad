package loop

import (
	"golang.org/x/sys/unix"
)

// Post has a call made in the loop's next turn. It may be called from any goroutine.
func (l *Loop) Post(call func()) {
	l.mu.Lock()
	l.posted = append(l.posted, call)
	l.mu.Unlock()
	_, _ = unix.Write(l.wakeup, []byte{1, 0, 0, 0, 0, 0, 0, 0})
}

type wakeupHandler struct{ loop *Loop }

func (w wakeupHandler) Ready(bool, bool) {
	var b [8]byte
	_, _ = unix.Read(w.loop.wakeup, b[:])
	w.loop.mu.Lock()
	calls := w.loop.posted
	w.loop.posted = nil
	w.loop.mu.Unlock()
	for _, call := range calls {
		call()
	}
}
