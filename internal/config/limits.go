package config

// Limits holds all sizes, counts and durations that limit a router. It is computed from the settings and the process limits,
// once at the start and again when settings are adopted. Packages of the data plane only read it.
type Limits struct {
	Sizes     Sizes
	Counts    Counts
	Durations Durations
}

// Sizes are limits in bytes.
type Sizes struct {
	Memory           int64 // memory of the whole process
	BufferBlock      int   // size of one block of the shared buffer pool
	ClientMessage    int   // longest message accepted from a client
	BackendMessage   int   // longest message accepted from a backend
	InspectedMessage int   // longest message of a backend that is parsed and not just passed on
	DiscoveryReply   int   // longest reply body of the discovery service
	DiscoveryLine    int   // longest header line of the discovery service's replies
	StartupPacket    int   // longest start-up packet of a client
	StatementComment int   // longest routing comment of a statement
	ReadPerTurn      int   // most bytes read from one connection in one turn of the event loop
	ReadAhead        int   // most bytes of input held on a connection that may not process another message now
	UnsentAnswers    int   // most bytes of answers that a client has not read, before the router stops reading from it
}

// Counts limit how many objects of a kind may exist at a time, or how many may be handled in one turn of the event loop.
type Counts struct {
	Sockets            int // file descriptors of the process
	BufferBlocks       int // buffer blocks in use from which on buffers are scarce; see buffer.Pool
	EventsPerTurn      int // epoll events handled in one turn
	AcceptsPerTurn     int // client connections accepted in one turn
	ListenBacklog      int // connections that the kernel queues before they are accepted
	MessagesPerTurn    int // messages handled for one client in one turn
	PipelinedCommands  int // commands in flight on one client connection
	InvalidQueries     int // invalid queries after which a client connection is closed
	SharedDescriptors  int // file descriptors for client and backend connections together
	ClientConnections  int // client connections
	IdleClients        int // client connections between commands
	BackendConnections int // backend connections; the router may open more while descriptors are free
	SpareConnections   int // descriptors that an endpoint with most of the backend connections leaves to the others
}

// Durations are time limits in seconds.
type Durations struct {
	// PositionEpoch is how long before the router's start the zero of log positions lies: long enough that no useful replica
	// has a negative position, and short enough that rounding positions changes them by less than a millisecond.
	PositionEpoch     float64
	AnswerMargin      float64 // part of a client's timeout reserved for sending the answer; one tick of the settings
	MaxClientTimeout  float64 // longest timeout that a command may request
	FirstQueryTimeout float64 // from accepting a client to the end of its first query
	MessageTimeout    float64 // from the first byte of a client's message to its last
	WriteStallTimeout float64 // longest time for which a client may leave an answer unread
	// ScarceStallTimeout is that time while buffers are scarce: a client that takes nothing of an answer for so long then may
	// be closed to release the answer's buffers.
	ScarceStallTimeout float64
	IdleTimeout        float64 // time after which a client between commands is disconnected
	ShedGrace          float64 // time for which an idle client is not shed; accepting pauses as long if none can be shed
	// FirstQueryShedGrace is how long a new client may take to send its first query before it may be shed. It covers the round
	// trips of the start-up of a client that is far away or busy.
	FirstQueryShedGrace float64
	PartialShedGrace    float64 // time for which a client that has sent part of a message is not shed
	// LongTurn is how long a turn deals with answers and messages that can wait for the next one, once while it handles events
	// and once after that.
	LongTurn float64
	// HiddenCloseGrace is how long a client counts as present while unread input may keep the system from telling its close.
	HiddenCloseGrace   float64
	ConnectTimeout     float64 // for opening a backend connection
	HealthCheckTimeout float64 // for one health check
	// StatementWriteTimeout is the time limit for writing a statement to a backend. The remaining wait that the statement
	// contains counts from its first byte, so the rest must follow soon.
	StatementWriteTimeout float64
	BackendIdleTimeout    float64 // time after which an unused backend connection is closed
	// ReuseDelay is the time after an answer before its backend connection is used again. Until then, the backend's close or
	// unexpected data may still be on their way.
	ReuseDelay        float64
	MaxClockSkew      float64 // how far in the future a backend's position may lie
	ClockConfirmation float64 // longest time for which positions are rejected until a primary confirms the wall clock
	LongPollHold      float64 // how long the discovery service may hold a call
	SilenceTimeout    float64 // time without data from the discovery service after which a call fails; excludes the hold
	// MaxReplyDelay bounds the time that a held call is given beyond SilenceTimeout, since the service has been seen to be slow.
	MaxReplyDelay float64
	ReplyTimeout  float64 // from the first byte of a discovery reply to its last
	LateReplyWait float64 // for the reply to a call that is late, where other late calls need its place
	MinBackoff    float64 // first backoff before the discovery service is called again; doubled after each failure
	MaxBackoff    float64 // upper bound of that backoff
	// AcceptLinger is how long a router that is shutting down continues to accept clients, since new ones keep connecting for
	// 0.4 s. The sum of AcceptLinger and DrainDeadline stays 0.15 s below the 0.7 s after which the router may accept no
	// command, as the router may be delayed.
	AcceptLinger  float64
	DrainDeadline float64 // time after AcceptLinger for clients that have sent no query, or only part of a message
	CloseLinger   float64 // time for a client to close its side of a connection that the router has closed
}

const bytesPerMB = 1 << 20

// Defaults and minimums of the process limits.
const (
	defaultMemoryMB = 192
	minMemoryMB     = 16
	defaultSockets  = 1024
	minSockets      = 64
)

// Sizes and counts that hold for every deployment.
const (
	bufferBlockSize     = 4 << 10
	bufferMemoryDivisor = 3       // buffers may use 1/bufferMemoryDivisor of the memory limit
	maxDiscoveryReply   = 8 << 20 // bytes
	// discoveryMemoryDivisor keeps a reply of the discovery service to 1/discoveryMemoryDivisor of the memory limit. It takes
	// up to three times its size while it is read and parsed.
	discoveryMemoryDivisor = 12
	readAheadMemoryDivisor = 16       // one connection may read ahead 1/readAheadMemoryDivisor of the memory limit
	maxValueSize           = 64 << 10 // largest database value, in bytes
	maxCharactersPerByte   = 4        // most characters in which a query or an answer may represent one byte of a value
	reservedDescriptors    = 24       // descriptors for discovery, the listener and the Go runtime
	backendDivisor         = 3        // backend connections get 1/backendDivisor of the other descriptors
	spareDivisor           = 8        // 1/spareDivisor of the backend connections are not for an endpoint that has most of them
	idleClientDivisor      = 8        // clients between commands may use 1/idleClientDivisor of all descriptors
)

// Times that hold for every deployment, and factors for times in its settings.
const (
	backendIdleFraction  = 0.6   // share of a backend's own idle timeout, so that the router closes the connection first
	silenceGraceFraction = 0.25  // share of the drain grace for a silent discovery call
	backoffGraceFraction = 0.125 // share of the drain grace for the backoff after a silent discovery call
	maxSilence           = 1.0   // seconds
	maxBackoff           = 1.0   // seconds
	minBackoff           = 0.05  // seconds
	lateReplyWait        = 4.0   // seconds

	// pushReplyDelay and pollReplyDelay bound the delay, in seconds, that a held call allows for. If it falls silent, the next
	// call, with as long a delay, still has to be answered by the time at which the router counts as notified.
	pushReplyDelay = 1.0
	pollReplyDelay = 1.5

	// pushHold is the hold of a call, in seconds, if the endpoint list is pushed. The router counts as notified of changes that
	// a silent call misses 7 s after the silence began.
	pushHold = 5.0
	// pollHold is the hold of a call, in seconds, if the endpoint list is polled. The router counts as notified of changes that
	// a silent call misses 6 s after the silence began. Until then, the next calls may be refused twice, or be refused once
	// and then be slow.
	pollHold = 1.0

	clientTimeoutMultiple = 10 // of the deployment's longest client timeout; a command with a longer timeout is a mistake
)

// newLimits computes the limits of a process with the given memory and number of sockets under the given settings.
func newLimits(memoryMB, sockets int, settings *Settings) Limits {
	memory := int64(memoryMB) * bytesPerMB
	return Limits{
		Sizes:     newSizes(memory),
		Counts:    newCounts(memory, sockets),
		Durations: newDurations(settings),
	}
}

// newSizes computes the sizes for a process with the given memory, in bytes.
func newSizes(memory int64) Sizes {
	const longestText = maxCharactersPerByte * maxValueSize
	return Sizes{
		Memory:           memory,
		BufferBlock:      bufferBlockSize,
		ClientMessage:    longestText + bufferBlockSize,
		BackendMessage:   longestText + bufferBlockSize,
		InspectedMessage: 8 << 10,
		DiscoveryReply:   min(maxDiscoveryReply, int(memory/discoveryMemoryDivisor)),
		DiscoveryLine:    8 << 10,
		StartupPacket:    10000,
		StatementComment: 1 << 10,
		ReadPerTurn:      64 << 10,
		ReadAhead:        int(memory / readAheadMemoryDivisor),
		UnsentAnswers:    longestText,
	}
}

// newCounts computes the counts for a process with the given memory, in bytes, and number of sockets.
func newCounts(memory int64, sockets int) Counts {
	shared := sockets - reservedDescriptors
	backends := shared / backendDivisor
	return Counts{
		Sockets:            sockets,
		BufferBlocks:       int(memory / bufferMemoryDivisor / bufferBlockSize),
		EventsPerTurn:      256,
		AcceptsPerTurn:     64,
		ListenBacklog:      1024,
		MessagesPerTurn:    32,
		PipelinedCommands:  64,
		InvalidQueries:     16,
		SharedDescriptors:  shared,
		ClientConnections:  shared - backends,
		IdleClients:        sockets / idleClientDivisor,
		BackendConnections: backends,
		SpareConnections:   backends / spareDivisor,
	}
}

// newDurations computes the durations under the given settings.
func newDurations(settings *Settings) Durations {
	longestTimeout := 0.0
	for _, group := range settings.CommandGroups {
		longestTimeout = max(longestTimeout, group.ClientTimeout)
	}
	silence, backoff := discoveryTimes(settings)
	return Durations{
		PositionEpoch:         3600,
		AnswerMargin:          settings.BatchInterval,
		MaxClientTimeout:      clientTimeoutMultiple * longestTimeout,
		FirstQueryTimeout:     2,
		MessageTimeout:        2,
		WriteStallTimeout:     10,
		ScarceStallTimeout:    0.5,
		IdleTimeout:           5,
		ShedGrace:             0.01,
		FirstQueryShedGrace:   0.1,
		PartialShedGrace:      0.1,
		LongTurn:              0.02,
		HiddenCloseGrace:      0.05,
		ConnectTimeout:        connectTimeout(settings),
		HealthCheckTimeout:    settings.ConnectTimeout,
		StatementWriteTimeout: 0.1,
		BackendIdleTimeout:    backendIdleFraction * settings.BackendIdle,
		ReuseDelay:            settings.BatchInterval,
		MaxClockSkew:          1,
		ClockConfirmation:     1,
		LongPollHold:          longPollHold(settings),
		SilenceTimeout:        silence,
		MaxReplyDelay:         maxReplyDelay(settings),
		ReplyTimeout:          1,
		LateReplyWait:         lateReplyWait,
		MinBackoff:            min(minBackoff, backoff),
		MaxBackoff:            backoff,
		AcceptLinger:          0.45,
		DrainDeadline:         0.1,
		CloseLinger:           1,
	}
}

// connectTimeout returns the deployment's connect timeout, but at most the drain grace. If a backend starts draining while a
// connection to it is being opened, that connection has to be open within the grace.
func connectTimeout(settings *Settings) float64 {
	if settings.DrainGrace > 0 {
		return min(settings.ConnectTimeout, settings.DrainGrace)
	}
	return settings.ConnectTimeout
}

// discoveryTimes returns the longest silence of a discovery call and the longest backoff after it, in seconds.
//
// If the endpoint list is pushed, a router must follow the list within the drain grace after the discovery service returns
// from a silence. A call or a backoff may be in progress at that moment, so both have to end well within the grace.
// If the list is polled, an overloaded service replies late, and abandoning calls early would add to its load.
func discoveryTimes(settings *Settings) (silence, backoff float64) {
	if settings.PollList || settings.DrainGrace <= 0 {
		return maxSilence, maxBackoff
	}
	silence = min(maxSilence, silenceGraceFraction*settings.DrainGrace)
	backoff = min(maxBackoff, backoffGraceFraction*settings.DrainGrace)
	return silence, backoff
}

// longPollHold returns how long the discovery service may hold a call, in seconds.
func longPollHold(settings *Settings) float64 {
	if settings.PollList {
		return pollHold
	}
	return pushHold
}

// maxReplyDelay returns the longest delay of the discovery service's replies that a held call allows for, in seconds.
func maxReplyDelay(settings *Settings) float64 {
	if settings.PollList {
		return pollReplyDelay
	}
	return pushReplyDelay
}
