package loop

import (
	"golang.org/x/sys/unix"
)

// Post has a call made in the loop's next turn. It may be called from any goroutine.
func (l *Loop) Post(call func()) {
	l.mu.Lock()
	l.posted = append(l.posted, call)
	l.mu.Unlock()
	_, _ = unix.Write(l.wake, []byte{1, 0, 0, 0, 0, 0, 0, 0})
}

type wakener struct{ l *Loop }

func (w wakener) Ready(bool, bool) {
	var b [8]byte
	_, _ = unix.Read(w.l.wake, b[:])
	w.l.mu.Lock()
	calls := w.l.posted
	w.l.posted = nil
	w.l.mu.Unlock()
	for _, call := range calls {
		call()
	}
}
