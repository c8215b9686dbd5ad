package router

// Need is what the data of a command group must cover.
type Need int

// Needs: the primary, all commits before the command, the session's, an age, nothing.
const (
	NeedWrite Need = iota
	NeedCurrent
	NeedSession
	NeedBound
	NeedAny
)

// Effect says what a second run of a command does.
type Effect int

// Effects.
const (
	Replayable Effect = iota
	Keyed
	Mutating
)

// Scope is where a keyed command's repeat is known.
type Scope int

// Scopes: the command's set, its zone within the set, everywhere.
const (
	InSet Scope = iota
	InZone
	Anywhere
)

// Site is what a router is told at start, in plain values: seconds and shares.
type Site struct {
	Groups      []CommandGroup
	Whole       float64 // weight of the whole run in the site's goal
	Worst       float64 // weight of the worst-served command group
	Routers     int     // routers in this tier
	Me          int     // this router's number among them
	Zone        int     // where it runs; negative: not told
	Tick        float64 // batches come at most this often
	ZeroAt      float64 // the time from which positions count
	Brought     bool    // session reads bring the age of the session's last write
	Guarded     bool    // replicas check reads themselves
	Reports     bool    // probes carry position and role
	Ask         bool    // the list comes only when asked for
	AskWithin   float64 // an unasked list counts as told after this
	SoftRemoval bool    // being gone alone does not bind
	Cancel      bool
	Probes      bool
	Advice      bool    // clients are given a time to come back
	MaxAdvice   float64 // the longest they honour
	Tries       int     // most dispatches of one command
	Dial        float64 // a connection not made within this has failed
	ColdShare   float64 // a node starts at no less than this share of its capacity
	WarmIn      float64 // and is warm after this
	Overload    float64 // multiple of present capacity that pushes a cold node over
	FallSpan    float64 // when kept up for this long
}

// CommandGroup is what a site says of one command group.
type CommandGroup struct {
	Need    Need
	Effect  Effect
	Scope   Scope
	Target  float64
	Timeout float64
	Benefit float64
	Late    float64 // share of the benefit paid after the response target
	Bound   float64 // most age of the data
	Memory  float64 // how long a repeat is known
}

// NodeState is what the list says of a node.
type NodeState int

// States of a listed node.
const (
	Gone NodeState = iota
	Ready
	Draining
)

// Listing is one node as the list shows it. Node is an index given at the door.
type Listing struct {
	Node    int
	Set     int // the nodes that hold the same data
	Zone    int
	State   NodeState
	Started float64 // negative infinity: long ago
	Primary bool
}

// Command is a command in hand. The caller fills the first part and keeps the
// value until every dispatch has ended; the rest is the module's.
type Command struct {
	Group    int
	Set      int // negative: no listed set
	Session  uint64
	Arrived  float64
	GiveUp   float64 // the client stops waiting
	WriteAge float64 // seconds since the session's last write, below 0 if it is ahead of this clock; 0: none known
	Repeat   bool    // a client's further try, where clients say so

	Legs   []Leg   // dispatches, in order
	wrote  bool    // a member has had a dispatch whole
	runs   int     // dispatches that may have run and gave no answer
	ranAt  float64 // when the first of those was sent
	ranOn  int     // and where
	asked  bool    // seen by Place before
	need   float64 // position that its data must cover
	missed bool    // a replica turned it away as too far behind
}

// Leg is one dispatch of a command.
type Leg struct {
	Node   int
	Sent   float64
	Out    bool
	ahead  int  // own dispatches out at the node when it was sent
	fresh  bool // needed a new connection
	late   bool // counted as overdue
	recall bool // called off
	lost   bool // overtaken by other answers for too long
}

// Ending is how a dispatch ended.
type Ending int

// Endings of a dispatch.
const (
	Answered  Ending = iota
	Errored          // may have had an effect
	Full             // turned away unseen
	TimedOut         // may have run
	Unreached        // never connected
	Broken           // may have run
	Recalled         // may have run
	Moot             // never sent
	Missed           // turned away: not the primary, or too far behind
)

// Role is what an answer says its sender is.
type Role int

// Roles of a node.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Outcome is the end of dispatch number Leg.
type Outcome struct {
	Leg      int
	Ending   Ending
	Took     float64
	Over     bool    // the command has had its final answer
	Position float64 // negative: not told
	Role     Role
}

// Verdict is the kind of an answer.
type Verdict int

// Verdicts: not yet, where, and the two kinds of never.
const (
	Hold Verdict = iota
	Send
	Throttle
	Fail
	Done
)

// Answer tells what to do with a command. Recall is the number of a dispatch to
// call off first, or -1. With Hold and Send, Again is the time of the next
// Place at the latest; Until is when the dispatch times out.
type Answer struct {
	Verdict  Verdict
	Node     int
	Until    float64
	Again    float64
	ComeBack float64
	Recall   int
}

// Upkeep is what is due besides commands.
type Upkeep struct {
	Probe  []int // nodes
	Forget []int // nodes whose index may be given to others
	Follow bool  // ask for the list and its changes
}
