package eventloop

import "golang.org/x/sys/unix"

// Post schedules a function to be called in the loop's next turn. Post may be called from any goroutine. Functions are
// called in the order in which they were posted. If Run has returned, they are called the next time that Run is called.
func (l *Loop) Post(call func()) {
	l.mu.Lock()
	l.posted = append(l.posted, call)
	l.mu.Unlock()
	increment := []byte{1, 0, 0, 0, 0, 0, 0, 0} // eventfd expects 8 bytes in the machine's byte order; any number but 0 will do
	_, _ = unix.Write(l.wakeup, increment)
}

// wakeupHandler calls the posted functions when the eventfd is ready.
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
