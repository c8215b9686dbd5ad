package eventloop

import "golang.org/x/sys/unix"

// DroppingWriter is a descriptor to which it writes whole lines. It drops a line if the descriptor is not ready for writing:
// a slow reader of the log must not block the event loop.
type DroppingWriter int

// Write implements io.Writer. It never fails and always reports all of line as written.
func (fd DroppingWriter) Write(line []byte) (int, error) {
	ready := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}}
	n, err := unix.Poll(ready, 0)
	if n == 1 && err == nil && ready[0].Revents&unix.POLLOUT != 0 {
		_, _ = unix.Write(int(fd), line)
	}
	return len(line), nil
}
