package router

// Consistency is the class of a command group: which data its commands have to see.
type Consistency int

// Consistency classes, from the strictest to the loosest.
const (
	PrimaryOnly       Consistency = iota // runs on the primary: writes, and reads that require it
	Linearizable                         // sees every write committed before the command arrived
	SessionConsistent                    // sees what its session has written and read before
	BoundedStaleness                     // sees data that is at most CommandGroup.MaxStaleness old
	Eventual                             // may see data of any age
)

// Idempotency is the effect of running a command a second time.
type Idempotency int

// Kinds of idempotency.
const (
	Idempotent        Idempotency = iota // a second run does no harm
	IdempotentWithKey                    // endpoints skip a second run by its key, within a scope and a time
	NonIdempotent                        // a second run may apply the effect twice
)

// KeyScope is the set of endpoints that recognize the key of an IdempotentWithKey command they have run.
type KeyScope int

// Scopes of an idempotency key.
const (
	ShardScope  KeyScope = iota // all endpoints of the command's shard
	ZoneScope                   // the endpoints of that shard in the zone where the command first ran
	GlobalScope                 // all endpoints
)

// Config is the configuration of a Router. All durations are in seconds.
type Config struct {
	// CommandGroups is indexed by Command.Group.
	CommandGroups      []CommandGroup
	TotalWeight        float64 // weight of the value of all answers in the service objective
	WorstGroupWeight   float64 // weight of the worst-served command group in the service objective
	RouterCount        int     // number of routers that serve the same endpoints
	Instance           int     // index of this router among them
	Zone               int     // zone in which this router runs; negative if unknown
	BatchInterval      float64 // least time between two batches of calls that the caller makes
	PositionEpoch      float64 // time on the caller's clock from which log positions count, in seconds
	ClientTokens       bool    // clients send Command.LastWriteAge with session reads
	ReplicasCheckReads bool    // replicas reject reads (NotServed) for which their data is too old
	LoadReports        bool    // health checks return the endpoint's log position and role
	ReportsOnAnswers   bool    // answers to commands carry a LoadReport too
	PollList           bool    // the router has to poll for the endpoint list and its changes
	PollWindow         float64 // time after which a changed list binds even a router that has not polled it
	SoftRemoval        bool    // an endpoint that left the list without draining may still be used
	CanCancel          bool    // attempts can be canceled
	HealthChecks       bool    // the router may request health checks
	RetryAfterAllowed  bool    // a Reject may ask the client to wait before its retry
	MaxRetryAfter      float64 // longest wait before a retry that clients obey
	MaxAttempts        int     // most attempts for one command
	ConnectTimeout     float64 // time after which a connection attempt fails
	SlowStartFloor     float64 // share of its full capacity that an endpoint has when it starts
	SlowStart          float64 // time from its start until an endpoint is warm: it has its full capacity
	OverloadFactor     float64 // ratio of load to present capacity that overloads an endpoint in slow start
	OverloadWindow     float64 // time for which that ratio has to last to overload the endpoint
}

// CommandGroup is the configuration of one group of commands. All durations are in seconds.
type CommandGroup struct {
	Consistency       Consistency // data that its commands have to see
	Idempotency       Idempotency // effect of running one of its commands twice
	KeyScope          KeyScope    // with IdempotentWithKey: endpoints that recognize its keys
	LatencyObjective  float64     // an answer within this time earns the full PriorityWeight
	ClientTimeout     float64     // time after which clients stop waiting for an answer
	PriorityWeight    float64     // value of one answer
	LateValue         float64     // share of PriorityWeight that an answer after LatencyObjective earns
	MaxStaleness      float64     // greatest age of the data that a BoundedStaleness read may see
	IdempotencyWindow float64     // time for which endpoints remember an idempotency key
}

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState int

// States of an endpoint in the list.
const (
	Removed EndpointState = iota
	Ready
	Draining
)

// EndpointInfo is one row of the endpoint list.
type EndpointInfo struct {
	Index     int           // small number by which the caller identifies the endpoint
	Shard     int           // endpoints of one shard hold the same data
	Zone      int           // zone in which it runs
	State     EndpointState // its state in the list
	StartedAt float64       // when its process started, in seconds; negative infinity if long ago
	Primary   bool          // the list names it as the primary of its shard
	Outdated  bool          // the row is from a list older than one the router has already received
}

// Command is a command in flight. The caller fills in the exported fields except Attempts, and keeps the
// value until all attempts have ended. The caller may read Attempts; all other fields belong to the
// router.
type Command struct {
	Group          int     // index in Config.CommandGroups
	Shard          int     // negative if the endpoint list does not have the shard
	Session        uint64  // id of the client's session; 0 if it has none
	ArrivedAt      float64 // when the router received it, in seconds
	ClientDeadline float64 // when the client stops waiting, in seconds
	// LastWriteAge is the number of seconds since the session's last write, as sent by the client. It is
	// negative if that write is ahead of the caller's clock, and 0 if no write is known.
	LastWriteAge float64
	ClientRetry  bool // the client has marked the command as a retry
	NoBuffers    bool // the caller lacks memory for the command's answer

	Attempts []Attempt // in the order in which they were sent

	delivered              bool    // an attempt may have reached an endpoint
	unsentAttempts         int     // number of attempts that ended as NeverSent
	clientUnknown          bool    // the last attempt ended with AttemptResult.ClientUnknown
	uncertainRuns          int     // number of attempts that may have run, but returned no answer
	firstUncertainAt       float64 // when the first of the uncertainRuns was sent, in seconds
	firstUncertainEndpoint int     // index of the endpoint that got the first of the uncertainRuns
	routed                 bool    // Route has been called for it
	patient                bool    // earlyLeaveDelay does not apply to it; see samplesPatience
	requiredPosition       float64 // log position that a replica must have applied, as a time in seconds
	tooStale               bool    // a replica has rejected this read (NotServed)
}

// Attempt is one attempt to run a command at an endpoint.
type Attempt struct {
	Endpoint int     // index of the endpoint
	SentAt   float64 // when it was sent, in seconds
	InFlight bool    // it has not ended yet

	queuePosition   int  // number of this router's attempts queued at the endpoint when it was sent
	newConnection   bool // no idle connection was expected to be open when it was sent
	overdue         bool // has been counted as a failure because no answer came in time
	cancelRequested bool // a decision has asked the caller to cancel it
	lost            bool // late, and the endpoint has answered others since; no longer counted as queued
}

// Result is the way in which an attempt or a health check ended.
type Result int

// Results. A command may have run after Errored, TimedOut, ConnectionLost and Canceled.
const (
	Answered       Result = iota
	Errored               // the endpoint answered with an error
	Overloaded            // the endpoint rejected the command, without looking at it, for lack of capacity
	TimedOut              // no answer came by Decision.AttemptDeadline
	ConnectFailed         // no connection could be made
	ConnectionLost        // the connection broke before the answer was complete
	Canceled              // the attempt was canceled
	NeverSent             // the command did not leave this process
	NotServed             // the endpoint rejected the command: it is not the primary, or its data is too old
)

// MayHaveRun reports whether the command has run or may have run.
func (result Result) MayHaveRun() bool { return result == Answered || result.mayHaveRunUnanswered() }

// mayHaveRunUnanswered reports whether the command may have run although no valid answer came.
func (result Result) mayHaveRunUnanswered() bool {
	return result == Errored || result == TimedOut || result == ConnectionLost || result == Canceled
}

// fromEndpoint reports whether the endpoint itself sent an answer, an error or a rejection.
func (result Result) fromEndpoint() bool {
	return result == Answered || result == Errored || result == Overloaded || result == NotServed
}

// Role is the role that an endpoint states in an answer.
type Role int

// Roles of an endpoint.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	Attempt  int         // index in Command.Attempts
	Result   Result      // how it ended
	Elapsed  float64     // seconds since the attempt was sent
	Final    bool        // the client has its final answer: no further attempt is needed
	Position float64     // log position in the answer, seconds after Config.PositionEpoch; negative if none
	Role     Role        // role that the endpoint stated in the answer
	Report   *LoadReport // load report in the answer; nil if there is none
	// ClientUnknown is true of a NeverSent attempt if the caller cannot find out whether the client is still
	// there as long as it holds the command.
	ClientUnknown bool
}

// LoadReport is what an endpoint states of itself in reply to a health check, or along with an answer.
type LoadReport struct {
	Position float64 // log position that it has applied, in seconds after Config.PositionEpoch
	Primary  bool    // it is the primary of its shard
}

// Action is the kind of a Decision.
type Action int

// Actions.
const (
	Wait    Action = iota // do nothing now; call Route again by Decision.ReviewAt
	Forward               // send an attempt to Decision.Endpoint
	Reject                // give up; the client may retry without harm
	Fail                  // give up; the command may have run
	None                  // nothing to do: the client has its final answer
)

// Decision is what the caller has to do next for a command.
type Decision struct {
	Action          Action  // kind of the decision
	Endpoint        int     // with Forward: index of the endpoint to send the attempt to
	AttemptDeadline float64 // with Forward: when the attempt times out, in seconds
	ReviewAt        float64 // with Wait and Forward: when to call Route again at the latest, in seconds
	RetryAfter      float64 // with Reject: seconds that the client is asked to wait; 0 for no request
	CancelAttempt   int     // index of an attempt to cancel first; -1 for none
}

// Maintenance lists the work that is due independently of any command.
type Maintenance struct {
	HealthCheck []int // indexes of the endpoints to check
	Release     []int // endpoint indexes that are free for other endpoints from now on
	Subscribe   bool  // poll the endpoint list and subscribe to its changes
}
