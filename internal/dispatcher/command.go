package dispatcher

import (
	"stoatdale.example/stoatdale/internal/backend"
	"stoatdale.example/stoatdale/internal/buffer"
)

// Command is a command of a client. The frontend fills the exported fields and must not change them after it has submitted
// the command.
type Command struct {
	ID             string // identifier that the client chose; no two commands in flight have the same
	Group          int    // index of the command group in the settings
	Shard          int    // id of the shard, from Dispatcher.LookupShard
	Session        uint64
	ClientRetry    bool         // the client has marked the command as sent before
	LastWriteAge   float64      // seconds since the session's last write; negative if that lies in the future; 0 if unknown
	ClientDeadline float64      // loop time at which the client stops waiting
	Statement      buffer.Chain // text of the statement with its terminating zero byte
	WaitStart      int          // offset in Statement of the first digit of the client's waiting time
	WaitEnd        int          // offset in Statement after the last digit of the waiting time
	Responder      Responder    // receives the final answer
	Owner          any          // set and used by the frontend only

	trackingID uint32           // identifies the command at the tracker and the backends
	isWrite    bool             // it must run at a primary, under the settings with which it was submitted
	idempotent bool             // a second run does no harm, under these settings
	mayHaveRun bool             // an attempt has reached a backend that may have run it
	attempt    *backend.Attempt // the attempt started last, until its end is delivered; nil if there is none
	done       bool             // the final answer was given, or the command was abandoned
	undecided  bool             // the last attempt was not sent because of ClientUndecided
	clientGone bool             // the client has gone or has canceled the command; the router may not have been notified yet
}

// Responder receives the final answer of a command. For each command, the dispatcher calls one of Answer, Reject and Fail
// once, or none of them if the client has gone or has canceled the command. These methods may call Submit and ClientGone.
type Responder interface {
	// Answer passes on a backend's row. The Responder must free it.
	Answer(c *Command, row *buffer.Chain)
	// Reject tells the client that the command was given up and may be sent again. If retryAfter is not 0, the client
	// should wait for that many seconds first.
	Reject(c *Command, retryAfter float64)
	// Fail tells the client that the command was given up and may have run.
	Fail(c *Command)
	// ClientPresence reports whether the client is known to be still there. It may find out that a client has gone before
	// ClientGone is called.
	ClientPresence(c *Command) Presence
}

// Presence is what is known of a command's client. Attempts may begin only for a client that is present.
type Presence int

// Values of Presence.
const (
	ClientPresent   Presence = iota
	ClientAbsent             // it has gone, or it will soon be known whether it has
	ClientUndecided          // it cannot be known whether the client has gone while its commands are held
)

// commandTable holds the commands in flight, and the ids of those that have ended and must not run again.
type commandTable struct {
	byTrackingID   map[uint32]*Command
	clientIDs      map[string]bool // Command.ID of every command in flight
	lastTrackingID uint32
	ranIDs         recentIDs // Command.ID of commands that may have run and are not idempotent
}

func newCommandTable() commandTable {
	return commandTable{byTrackingID: map[uint32]*Command{}, clientIDs: map[string]bool{}, ranIDs: newRecentIDs()}
}

// add adds a command and assigns it a tracking id that no other command in flight has.
func (t *commandTable) add(c *Command) {
	t.lastTrackingID++
	c.trackingID = t.lastTrackingID
	t.byTrackingID[c.trackingID] = c
	t.clientIDs[c.ID] = true
}

// remove removes a command.
func (t *commandTable) remove(c *Command) {
	delete(t.byTrackingID, c.trackingID)
	delete(t.clientIDs, c.ID)
}

// get returns the command in flight with the given tracking id, or nil if there is none.
func (t *commandTable) get(trackingID uint32) *Command { return t.byTrackingID[trackingID] }

func (t *commandTable) size() int { return len(t.byTrackingID) }
