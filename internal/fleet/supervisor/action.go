package supervisor

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions. Each comment names the method of Supervisor that takes the action's outcome.
const (
	ActionFindProcess     ActionKind = iota // look for a running process of Incarnation; outcome: ProcessFound
	ActionPrepareRevision                   // check that Revision is valid and its file can be written; outcome: RevisionPrepared
	ActionInstallRevision                   // write Revision's file where the router reads it; outcome: RevisionInstalled
	ActionStart                             // start a process as Incarnation; outcome: ProcessStarted, later ProcessExited
	ActionHealthCheck                       // send an empty query to the router; outcome: HealthChecked
	ActionReadCounters                      // have the router log its counters; outcome: CountersRead
	ActionTerminate                         // send SIGTERM to the process; outcome: ProcessExited
	ActionKill                              // send SIGKILL to the process; outcome: ProcessExited
	ActionReload                            // send SIGHUP: the process reads its file again; outcome: ReloadReported
)

var actionKinds = [...]string{"find", "prepare", "place", "start", "probe", "count", "term", "kill", "hup"}

// String returns the short name of the kind.
func (k ActionKind) String() string { return actionKinds[k] }

// Action is something that the agent does to a router or its files when a supervisor asks for it.
type Action struct {
	Kind        ActionKind
	Revision    string // digest; set for ActionPrepareRevision and ActionInstallRevision
	Incarnation uint64 // set for ActionFindProcess and ActionStart
}

// Transition is the result of an event. If Store is set, the caller must store the supervisor's Record before it
// carries out the actions. If storing fails, the event counts as not having happened: the caller restores the copy of
// the supervisor that it took before and repeats the event later.
type Transition struct {
	Store   bool
	Actions []Action
}

func (t *Transition) add(kind ActionKind) { t.Actions = append(t.Actions, Action{Kind: kind}) }
