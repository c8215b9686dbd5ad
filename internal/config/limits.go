package config

// Limits holds every size, count and duration that a router keeps to. It is computed once from the settings and the
// process limits; packages of the data plane read it and never change it.
type Limits struct {
	Sizes     Sizes
	Counts    Counts
	Durations Durations
}

// Sizes are limits in bytes.
type Sizes struct {
	Memory           int64 // memory of the whole process
	BufferBlock      int   // one block of the shared buffer pool
	ClientMessage    int   // longest message accepted from a client
	BackendMessage   int   // longest message accepted from a backend
	InspectedMessage int   // longest message of a backend that is parsed rather than passed through
	DiscoveryReply   int   // longest reply body of the discovery service
	DiscoveryLine    int   // longest header line of the discovery service's replies
	StartupPacket    int   // longest start-up packet of a client
	StatementComment int   // longest routing comment of a statement
	ReadPerTurn      int   // read from one connection in one turn of the event loop
	UnsentAnswers    int   // answers that a client may leave unread before it is no longer read from
}

// Counts are limits of how many things may exist at once, or be done in one turn of the event loop.
type Counts struct {
	Sockets            int // file descriptors of the process
	BufferBlocks       int // buffer blocks in use above which clients are no longer read from
	EventsPerTurn      int // readiness events collected in one turn
	AcceptsPerTurn     int // client connections accepted in one turn
	ListenBacklog      int // connections that the kernel queues before they are accepted
	MessagesPerTurn    int // messages taken from one client in one turn
	PipelinedCommands  int // commands in flight on one client connection
	InvalidQueries     int // queries without a valid command after which a client connection is closed
	SharedDescriptors  int // file descriptors shared by client and backend connections
	ClientConnections  int // client connections
	IdleClients        int // client connections between commands
	BackendConnections int // backend connections; more are allowed while descriptors are free
}

// Durations are time limits in seconds.
type Durations struct {
	PositionEpoch      float64 // before the start, the moment from which log positions count; core says why
	AnswerMargin       float64 // reserved from a client's timeout for the answer's way back: one tick of the settings
	MaxClientTimeout   float64 // longest timeout that a command may name
	FirstQueryTimeout  float64 // from accepting a client to its first complete query
	MessageTimeout     float64 // from the first byte of a client's message to its last
	WriteStallTimeout  float64 // that a client may leave an answer unread
	IdleTimeout        float64 // after which a client between commands is closed
	ShedGrace          float64 // a client is spared from shedding this long; accepting pauses as long if none can be shed
	ConnectTimeout     float64 // for opening a backend connection
	HealthCheckTimeout float64 // for one health check
	// StatementWriteTimeout is for writing a statement: the time that it tells a backend counts from its first byte.
	StatementWriteTimeout float64
	BackendIdleTimeout    float64 // after which an unused backend connection is closed
	ReuseDelay            float64 // that a backend connection rests before it is used again; member says why
	MaxClockSkew          float64 // that a backend's position may lie in the future
	ClockConfirmation     float64 // that positions are rejected until a primary has confirmed the wall clock
	LongPollHold          float64 // that the discovery service may hold a poll
	SilenceTimeout        float64 // silence of the discovery service after which a call has failed
	ReplyTimeout          float64 // from the first byte of a discovery reply to its last
	MinBackoff            float64 // first backoff before discovery is called again; doubled on each failure
	MaxBackoff            float64 // upper bound of that backoff
	// AcceptLinger is how long a router that was told to shut down goes on accepting clients: new ones keep coming for 0.4 s.
	// With DrainDeadline it stays 0.15 s under the 0.7 s after which nothing may be taken: the router may be held up.
	AcceptLinger  float64
	DrainDeadline float64 // after that, for clients that have not sent a query or are in the middle of a message
	CloseLinger   float64 // for a client to close its side of a connection that was ended
}

const bytesPerMB = 1 << 20

// Limits of the process.
const (
	defaultMemoryMB = 192
	minMemoryMB     = 16
	defaultSockets  = 1024
	minSockets      = 64
)

// Sizes and counts that hold for every deployment.
const (
	bufferBlockSize      = 4 << 10
	bufferMemoryDivisor  = 3        // buffers may take one part in so many of the memory limit
	maxValueSize         = 64 << 10 // of a database value
	maxCharactersPerByte = 4        // characters that a byte of a value may be written with, in either direction
	reservedDescriptors  = 24       // for discovery, the listener and the Go runtime
	backendDivisor       = 3        // backends get one in so many of the other descriptors
	idleClientDivisor    = 8        // one in so many descriptors may belong to a client between commands
)

// Times that hold for every deployment, and fractions of what its settings say.
const (
	backendIdleFraction   = 0.6   // of a backend's own idle timeout, so that it never closes first
	silenceGraceFraction  = 0.25  // of the drain grace: a discovery call that falls silent
	backoffGraceFraction  = 0.125 // of the drain grace: the backoff after it
	maxSilence            = 1.0   // seconds
	maxBackoff            = 1.0   // seconds
	minBackoff            = 0.05  // seconds
	pushHold              = 5.0   // seconds; what a silent call misses counts as notified 7 s after it
	pollHold              = 1.0   // seconds; notified 6 s after it: calls that follow may be refused twice, or once and be slow
	clientTimeoutMultiple = 10    // of the longest client timeout of the deployment: longer ones are a mistake
)

// newLimits computes the limits of a process with so much memory and so many sockets under the given settings.
func newLimits(memoryMB, sockets int, settings *Settings) Limits {
	memory := int64(memoryMB) * bytesPerMB
	return Limits{
		Sizes:     newSizes(memory),
		Counts:    newCounts(memory, sockets),
		Durations: newDurations(settings),
	}
}

func newSizes(memory int64) Sizes {
	const longestText = maxCharactersPerByte * maxValueSize
	return Sizes{
		Memory:           memory,
		BufferBlock:      bufferBlockSize,
		ClientMessage:    longestText + bufferBlockSize,
		BackendMessage:   longestText + bufferBlockSize,
		InspectedMessage: 8 << 10,
		DiscoveryReply:   8 << 20,
		DiscoveryLine:    8 << 10,
		StartupPacket:    10000,
		StatementComment: 1 << 10,
		ReadPerTurn:      64 << 10,
		UnsentAnswers:    longestText,
	}
}

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
	}
}

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
		IdleTimeout:           5,
		ShedGrace:             0.01,
		ConnectTimeout:        connectTimeout(settings),
		HealthCheckTimeout:    settings.ConnectTimeout,
		StatementWriteTimeout: 0.1,
		BackendIdleTimeout:    backendIdleFraction * settings.BackendIdle,
		ReuseDelay:            settings.BatchInterval,
		MaxClockSkew:          1,
		ClockConfirmation:     1,
		LongPollHold:          longPollHold(settings),
		SilenceTimeout:        silence,
		ReplyTimeout:          1,
		MinBackoff:            min(minBackoff, backoff),
		MaxBackoff:            backoff,
		AcceptLinger:          0.45,
		DrainDeadline:         0.1,
		CloseLinger:           1,
	}
}

// connectTimeout is the deployment's, but a connection that comes up for a backend which was told to drain meanwhile
// has to be made within the grace.
func connectTimeout(settings *Settings) float64 {
	if settings.DrainGrace > 0 {
		return min(settings.ConnectTimeout, settings.DrainGrace)
	}
	return settings.ConnectTimeout
}

// discoveryTimes returns the longest silence of a discovery call and the longest backoff after it, in seconds. Where
// the endpoint list is pushed, what the discovery service has when it returns from a silence binds within the grace,
// whatever call or backoff it meets: both have to be over well before. Where the list is polled, a crowded service
// answers late, and giving its calls up early would add to its load.
func discoveryTimes(settings *Settings) (silence, backoff float64) {
	if settings.PollList || settings.DrainGrace <= 0 {
		return maxSilence, maxBackoff
	}
	silence = min(maxSilence, silenceGraceFraction*settings.DrainGrace)
	backoff = min(maxBackoff, backoffGraceFraction*settings.DrainGrace)
	return silence, backoff
}

// longPollHold is how long the discovery service may hold a call, in seconds.
func longPollHold(settings *Settings) float64 {
	if settings.PollList {
		return pollHold
	}
	return pushHold
}
