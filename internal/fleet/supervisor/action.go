package supervisor

// ActionKind is what an agent is to do with a router.
type ActionKind int

// Kinds of actions, each with the method that takes in its outcome.
const (
	ActionFindProcess     ActionKind = iota // look whether the process of Incarnation runs: ProcessFound
	ActionPrepareRevision                   // check that Revision's file can be written and is valid: RevisionPrepared
	ActionInstallRevision                   // put Revision's file in place: RevisionInstalled
	ActionStart                             // start a process as Incarnation: ProcessStarted, and ProcessExited once it ends
	ActionHealthCheck                       // send an empty query: HealthChecked
	ActionReadCounters                      // read the router's counters: CountersRead
	ActionTerminate                         // tell the process to end: ProcessExited
	ActionKill                              // kill the process: ProcessExited
	ActionReload                            // have the process read its file again: ReloadReported
)

var actionKinds = [...]string{"find", "prepare", "place", "start", "probe", "count", "term", "kill", "hup"}

// String returns the short name of the kind.
func (k ActionKind) String() string { return actionKinds[k] }

// Action is one thing to do.
type Action struct {
	Kind        ActionKind
	Revision    string // for ActionPrepareRevision and ActionInstallRevision
	Incarnation uint64 // for ActionFindProcess and ActionStart
}

// Transition is what an event leads to. If Store is set, the supervisor's Record must be stored before the actions
// are carried out. If that fails, the event has not happened: the caller goes back to a copy of the supervisor and
// hands the event in again later.
type Transition struct {
	Store   bool
	Actions []Action
}

func (t *Transition) add(kind ActionKind) { t.Actions = append(t.Actions, Action{Kind: kind}) }
