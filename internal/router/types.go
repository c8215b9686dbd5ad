package router

// Consistency is what the data that a command group reads must cover.
type Consistency int

// Consistency classes, from the strictest to the loosest.
const (
	PrimaryOnly       Consistency = iota // runs on the primary: writes, and reads that must
	Linearizable                         // covers every commit before the command
	SessionConsistent                    // covers what its session has written and read
	BoundedStaleness                     // is at most CommandGroup.MaxStaleness old
	Eventual                             // may be of any age
)

// Idempotency is what a second run of a command does.
type Idempotency int

// Kinds of idempotency.
const (
	Idempotent        Idempotency = iota // a second run does no harm
	IdempotentWithKey                    // a second run is recognized by its key, within a scope and a window
	NonIdempotent                        // a second run may have its effect twice
)

// KeyScope is where the key of an IdempotentWithKey command is recognized.
type KeyScope int

// Scopes of an idempotency key.
const (
	ShardScope  KeyScope = iota // by every endpoint of the command's shard
	ZoneScope                   // by the endpoints of one zone of that shard
	GlobalScope                 // by every endpoint
)

// Config is what a router is told at its start. All durations are in seconds.
type Config struct {
	CommandGroups      []CommandGroup
	TotalWeight        float64 // weight of all commands' value in the objective
	WorstGroupWeight   float64 // weight of the worst-served command group in the objective
	RouterCount        int     // routers in this tier
	Instance           int     // this router's number among them
	Zone               int     // where this router runs; negative if it is not known
	BatchInterval      float64 // batches of calls are at least this far apart
	PositionEpoch      float64 // the time from which log positions count
	ClientTokens       bool    // session reads bring the age of their session's last write
	ReplicasCheckReads bool    // replicas turn a read away themselves if they are too stale for it
	LoadReports        bool    // health checks answer with a position and a role
	PollList           bool    // the endpoint list comes only when it is polled
	PollWindow         float64 // a list that is not polled for so long still binds the router
	SoftRemoval        bool    // an endpoint that was only removed from the list may still be used
	CanCancel          bool    // attempts can be canceled
	HealthChecks       bool    // the router may send health checks of its own
	RetryAfterAllowed  bool    // a rejection may carry a Retry-After
	MaxRetryAfter      float64 // the longest Retry-After that clients honour
	MaxAttempts        int     // of one command
	ConnectTimeout     float64 // a connection that is not made by then has failed
	SlowStartFloor     float64 // share of its capacity that an endpoint has at its start
	SlowStart          float64 // time after its start until an endpoint has all of its capacity
	OverloadFactor     float64 // multiple of its present capacity that overloads an endpoint in slow start,
	OverloadWindow     float64 // if it is kept up for so long
}

// CommandGroup is what is configured for one group of commands. All durations are in seconds.
type CommandGroup struct {
	Consistency       Consistency
	Idempotency       Idempotency
	KeyScope          KeyScope
	LatencyObjective  float64 // an answer within this earns the whole PriorityWeight
	ClientTimeout     float64 // clients stop waiting after this
	PriorityWeight    float64 // value of one answer
	LateValue         float64 // share of PriorityWeight that an answer after LatencyObjective still earns
	MaxStaleness      float64 // greatest age of the data that a BoundedStaleness read may see
	IdempotencyWindow float64 // how long an idempotency key is recognized
}

// EndpointState is what the endpoint list says of an endpoint.
type EndpointState int

// States of an endpoint in the list.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// EndpointInfo is one row of the endpoint list.
type EndpointInfo struct {
	Index     int // a small number that the caller gives the endpoint
	Shard     int // endpoints of one shard hold the same data
	Zone      int
	State     EndpointState
	StartedAt float64 // time of its start; negative infinity if that is long ago
	Primary   bool
	Outdated  bool // the row is of an older list than one that was told before
}

// Command is a command in flight. The caller fills the exported fields except Attempts and keeps the value
// until every attempt has ended; Attempts may be read, the rest belongs to the router.
type Command struct {
	Group          int // index in Config.CommandGroups
	Shard          int // negative if it is not in the endpoint list
	Session        uint64
	ArrivedAt      float64
	ClientDeadline float64 // when the client stops waiting
	// LastWriteAge is the seconds since the session's last write, negative if that is ahead of this clock.
	// Zero: no write is known of.
	LastWriteAge float64
	ClientRetry  bool // the client says that it has sent this command before

	Attempts []Attempt // in the order in which they were sent

	delivered         bool    // an endpoint may have had an attempt
	unsentAttempts    int     // attempts that did not leave this process
	uncertainRuns     int     // attempts that may have run without an answer
	firstUncertainAt       float64 // when the first of those was sent
	firstUncertainEndpoint int     // and where
	routed            bool    // seen by Route before
	requiredPosition  float64 // log position that its data must cover
	tooStale          bool    // a replica did not serve it: NotServed
}

// Attempt is one sending of a command to an endpoint.
type Attempt struct {
	Endpoint int
	SentAt   float64
	InFlight bool

	queuePosition int  // this router's attempts at the endpoint when it was sent
	newConnection bool // needed a new connection
	overdue       bool // has counted as a failure for being overdue
	cancelRequested      bool // a decision has asked to cancel it
	lost          bool // overtaken by other answers for too long: not in the queue any more
}

// Result is how an attempt or a health check ended.
type Result int

// Results. After Errored, TimedOut, ConnectionLost and Canceled the command may have run.
const (
	Answered       Result = iota
	Errored               // the endpoint answered with an error
	Overloaded            // the endpoint turned the command away without looking at it
	TimedOut              // no answer by Decision.AttemptDeadline
	ConnectFailed         // no connection was made
	ConnectionLost        // the connection broke before the answer was complete
	Canceled              // the attempt was canceled
	NeverSent             // the command did not leave this process
	NotServed             // the endpoint turned it away: it is not the primary, or too stale
)

// mayHaveRun says that a command may have run though no answer to it came.
func (result Result) mayHaveRun() bool {
	return result == Errored || result == TimedOut || result == ConnectionLost || result == Canceled
}

// fromEndpoint says that the endpoint itself answered in some way.
func (result Result) fromEndpoint() bool {
	return result == Answered || result == Errored || result == Overloaded || result == NotServed
}

// Role is what an answer says that its sender is.
type Role int

// Roles of an endpoint.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// AttemptResult is the end of a command's attempt.
type AttemptResult struct {
	Attempt  int // index in Command.Attempts
	Result   Result
	Elapsed  float64 // seconds since it was sent
	Final    bool    // the command has had its final answer
	Position float64 // log position that the answer tells; negative if it tells none
	Role     Role
}

// Action is what a Decision says.
type Action int

// Actions.
const (
	Wait    Action = iota // nothing yet: call Route again, at Decision.ReviewAt at the latest
	Forward               // send an attempt to Decision.Endpoint
	Reject                // give the command up; the client may retry
	Fail                  // give the command up; it may have run
	None                  // the command has had its final answer
)

// Decision is what to do with a command.
type Decision struct {
	Action          Action
	Endpoint        int     // with Forward: where to
	AttemptDeadline float64 // with Forward: when the attempt times out
	ReviewAt        float64 // with Wait and Forward: when to call Route again at the latest
	RetryAfter      float64 // with Reject: seconds that the client is asked to wait; 0 if none are told
	CancelAttempt   int     // attempt to cancel first, or -1
}

// Maintenance is the work that is due besides commands.
type Maintenance struct {
	HealthCheck []int // endpoints to check
	Release     []int // endpoints whose index may be given to others
	Subscribe   bool  // poll the endpoint list and subscribe to its changes
}
