package front

import (
	"container/list"

	"stoatdale.example/stoatdale/internal/loop"
)

func (f *Server) setAccepting(on bool) {
	if f.listener >= 0 {
		f.loop.Want(f.listener, on, false)
	}
}

// Ready implements loop.Handler for the listener.
func (f *Server) Ready(bool, bool) { f.accept(f.limits.Counts.AcceptsPerTurn) }

// accept takes connections in. Where descriptors run out a client that has nothing in hand makes room; with
// none the listener rests, since it would stay ready and spin the loop.
func (f *Server) accept(most int) {
	for range most {
		many, all := len(f.conns) >= f.limits.Counts.ClientConnections, f.loop.Open() >= f.limits.Counts.SharedDescriptors
		if (many || all) && !f.loop.Waiting(f.listener) {
			return
		}
		if (many || all && !f.dispatcher.MakeRoom()) && !f.shedOne() {
			f.pauseAccepting()
			return
		}
		fd, ok, err := f.loop.Accept(f.listener)
		if err != nil {
			f.log.Warn().Err(err).Msg("a client could not be taken in")
			f.shedOne()
			f.pauseAccepting()
			return
		}
		if !ok {
			return
		}
		c := &conn{server: f, fd: fd, input: f.buffers.New(), output: f.buffers.New(), acceptedAt: f.loop.Now()}
		c.timer = loop.NewTimer(c.timerExpired)
		if err := f.loop.Add(fd, c, true, false); err != nil {
			f.loop.Discard(fd)
			return
		}
		f.counters.ClientsAccepted++
		f.conns[c] = true
		if f.loop.Left(fd) { // it waited to be accepted for longer than it waits for an answer: what it asked is not read
			c.close()
			continue
		}
		c.read()
	}
}

func (f *Server) pauseAccepting() {
	f.setAccepting(false)
	f.loop.Set(f.resumeTimer, f.loop.Now()+f.limits.Durations.ShedGrace)
}

// shedOne makes room by one connection: one that was ended, or has not asked for anything since it came, before one
// that has been between commands for the longest. Each is spared for a moment, and so is one that has sent
// something that was not read yet.
func (f *Server) shedOne() bool {
	if e := f.closing.Front(); e != nil {
		e.Value.(*conn).close()
		return true
	}
	return f.shedFirstOf(&f.silent) || f.shedFirstOf(&f.idle)
}

func (f *Server) shedFirstOf(l *list.List) bool {
	for e := l.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if f.loop.Now()-c.queuedAt < f.limits.Durations.ShedGrace {
			return false
		}
		if f.loop.Quiet(c.fd) {
			f.counters.ClientsShed++
			c.close()
			return true
		}
	}
	return false
}
