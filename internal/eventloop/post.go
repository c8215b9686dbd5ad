package eventloop

import "golang.org/x/sys/unix"

// Post has a function called in the loop's next turn. It may be called from any goroutine. Functions are called in the
// order in which they were posted; after Run has returned they wait for it to be called again.
func (l *Loop) Post(call func()) {
	l.mu.Lock()
	l.posted = append(l.posted, call)
	l.mu.Unlock()
	one := []byte{1, 0, 0, 0, 0, 0, 0, 0} // eventfd takes a number of the machine's byte order, any but 0
	_, _ = unix.Write(l.wakeup, one)
}

// wakeupHandler calls what was posted.
type wakeupHandler struct{ loop *Loop }

// Ready implements Handler.
func (w wakeupHandler) Ready(bool, bool) {
	var count [8]byte
	_, _ = unix.Read(w.loop.wakeup, count[:])
	w.loop.mu.Lock()
	calls := w.loop.posted
	w.loop.posted = nil
	w.loop.mu.Unlock()
	for _, call := range calls {
		call()
	}
}
