package tend

// ActionKind is something to carry out.
type ActionKind int

// Acts, and the call that brings their outcome.
const (
	ActionFindProcess     ActionKind = iota // whether the process of Mark runs: Found
	ActionPrepareRevision                   // that a revision's file can be written and is right: Prepared
	ActionInstallRevision                   // put that file in place: Placed
	ActionStart                             // a process with Mark: Started; its end: Exited
	ActionHealthCheck                       // ask it an empty query: Probed
	ActionReadCounters                      // read its counters: Counted
	ActionTerminate                         // tell it to end: Exited
	ActionKill                              // end it: Exited
	ActionReload                            // have it read its file: Reloaded
)

var actionKinds = [...]string{"find", "prepare", "place", "start", "probe", "count", "term", "kill", "hup"}

func (a ActionKind) String() string { return actionKinds[a] }

// Action is one act.
type Action struct {
	Kind        ActionKind
	Revision    string // for Prepare and Place
	Incarnation uint64 // for Find and Start
}

// Transition is what an event leads to. If Store is set the record must be stored first; if that fails the event has
// not happened, and is handed in again later.
type Transition struct {
	Store   bool
	Actions []Action
}
