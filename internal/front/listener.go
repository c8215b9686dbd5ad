package front

import (
	"container/list"

	"stoatdale.example/stoatdale/internal/loop"
)

func (f *Front) listen(on bool) {
	if f.listener >= 0 {
		f.loop.Want(f.listener, on, false)
	}
}

// Ready implements loop.Handler for the listener.
func (f *Front) Ready(bool, bool) { f.accept(f.limits.Counts.AcceptsPerTurn) }

// accept takes connections in. Where descriptors run out a client that has nothing in hand makes room; with
// none the listener rests, since it would stay ready and spin the loop.
func (f *Front) accept(most int) {
	for range most {
		many, all := len(f.conns) >= f.limits.Counts.ClientConnections, f.loop.Open() >= f.limits.Counts.SharedDescriptors
		if (many || all) && !f.loop.Waiting(f.listener) {
			return
		}
		if (many || all && !f.core.MakeRoom()) && !f.shed() {
			f.rest()
			return
		}
		fd, ok, err := f.loop.Accept(f.listener)
		if err != nil {
			f.log.Warn().Err(err).Msg("a client could not be taken in")
			f.shed()
			f.rest()
			return
		}
		if !ok {
			return
		}
		c := &conn{f: f, fd: fd, in: f.blocks.New(), out: f.blocks.New(), born: f.loop.Now()}
		c.timer = loop.NewTimer(c.due)
		if err := f.loop.Add(fd, c, true, false); err != nil {
			f.loop.Discard(fd)
			return
		}
		f.count.Accepted++
		f.conns[c] = true
		if f.loop.Left(fd) { // it waited to be accepted for longer than it waits for an answer: what it asked is not read
			c.close()
			continue
		}
		c.read()
	}
}

func (f *Front) rest() {
	f.listen(false)
	f.loop.Set(f.resume, f.loop.Now()+f.limits.Durations.ShedGrace)
}

// shed makes room by one connection: one that was ended, or has not asked for anything since it came, before one
// that has been between commands for the longest. Each is spared for a moment, and so is one that has sent
// something that was not read yet.
func (f *Front) shed() bool {
	if e := f.parting.Front(); e != nil {
		e.Value.(*conn).close()
		return true
	}
	return f.shedFrom(&f.mute) || f.shedFrom(&f.idle)
}

func (f *Front) shedFrom(l *list.List) bool {
	for e := l.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if f.loop.Now()-c.queuedAt < f.limits.Durations.ShedGrace {
			return false
		}
		if f.loop.Quiet(c.fd) {
			f.count.Shed++
			c.close()
			return true
		}
	}
	return false
}
