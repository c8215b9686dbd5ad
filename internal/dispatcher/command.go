package dispatcher

import (
	"stoatdale.example/stoatdale/internal/backend"
	"stoatdale.example/stoatdale/internal/buffer"
)

// Command is a command that a client sent. The frontend fills the exported fields, and leaves the value to the
// dispatcher when it submits it.
type Command struct {
	ID             string // the client's name of the command, unlike that of any other command in flight
	Group          int    // index of the command group in the settings
	Shard          int    // by Dispatcher.LookupShard
	Session        uint64
	ClientRetry    bool    // the client says that it has sent this command before
	LastWriteAge   float64 // seconds since the session's last write, negative if ahead of this clock; 0: not known
	ClientDeadline float64 // loop time at which the client stops waiting
	Statement      buffer.Chain
	WaitStart      int // offset in Statement of the digits of the time for which the client waits
	WaitEnd        int // offset after them
	Responder      Responder
	Owner          any // for the frontend; the dispatcher does not look at it

	trackingID uint32
	attempt    *backend.Attempt // the last one that was begun and has not ended
	done       bool             // has had its final answer, or needs none
	clientGone bool             // needs none, which the router may still have to hear
}

// Responder gives a command its final answer: one call a command, and none once its client has gone. It may call
// Submit and ClientGone meanwhile.
type Responder interface {
	// Answer gives a backend's row, which the responder must free.
	Answer(c *Command, row *buffer.Chain)
	// Reject says that the command was not run and may be sent again, after so many seconds if it is not 0.
	Reject(c *Command, retryAfter float64)
	// Fail says that the command may have run.
	Fail(c *Command)
	// ClientPresent looks whether the client is still there, also if that has not been told yet.
	ClientPresent(c *Command) bool
}

// commandTable holds the commands in flight.
type commandTable struct {
	byTrackingID   map[uint32]*Command
	clientIDs      map[string]bool
	lastTrackingID uint32
}

func newCommandTable() commandTable {
	return commandTable{byTrackingID: map[uint32]*Command{}, clientIDs: map[string]bool{}}
}

// add gives the command a tracking id that no other command in flight has.
func (t *commandTable) add(c *Command) {
	t.lastTrackingID++
	c.trackingID = t.lastTrackingID
	t.byTrackingID[c.trackingID] = c
	t.clientIDs[c.ID] = true
}

// remove forgets a command.
func (t *commandTable) remove(c *Command) {
	delete(t.byTrackingID, c.trackingID)
	delete(t.clientIDs, c.ID)
}

// get returns the command in flight that has a tracking id, or nil.
func (t *commandTable) get(trackingID uint32) *Command { return t.byTrackingID[trackingID] }

func (t *commandTable) size() int { return len(t.byTrackingID) }
