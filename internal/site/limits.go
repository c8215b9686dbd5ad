package site

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
	DiscardedInput   int   // input discarded from a closing client before its connection is cut
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
	BackendIdleTimeout float64 // after which an unused backend connection is closed
	ReuseDelay         float64 // that a backend connection rests before it is used again; member says why
	MaxClockSkew       float64 // that a backend's position may lie in the future
	LongPollHold       float64 // that the discovery service may hold a poll
	SilenceTimeout     float64 // silence of the discovery service after which a call has failed
	ReplyTimeout       float64 // from the first byte of a discovery reply to its last
	MinBackoff         float64 // first backoff before discovery is called again; doubled on each failure
	MaxBackoff         float64 // upper bound of that backoff
	AcceptLinger       float64 // that a router told to shut down goes on accepting clients
	DrainDeadline      float64 // after that, for clients that have not sent a query or are in the middle of a message
	CloseLinger        float64 // for a client to close its side of a connection that was ended
}

// Defaults and shares. What belongs to a deployment comes from its settings and limits.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	leastSockets    = 64
	leastMemoryMB   = 16
	blockSize       = 4 << 10
	blockShare      = 3 // the memory limit holds this many times the buffers
	largestValue    = 64 << 10
	longestText     = 4  // characters that a byte of a value may be written with, in either direction
	keptSockets     = 24 // for discovery, the listener, the run time
	memberShare     = 3  // every third of the rest is for members
	idleClients     = 8  // every eighth descriptor may be a client's between commands
	idleShare       = 0.6
	lateShare       = 0.25  // of the settings' grace: a silent call to discovery,
	pauseShare      = 0.125 // and the pause after it
	longWatch       = 5.0   // seconds that a call to discovery is held; what a silent one misses counts as told 7 s after it
	askedWatch      = 3.0   // where calls are asked for: 6 s after it, and the call that follows may be refused once
	longestWait     = 10    // client timeouts of the deployment: what is longer is a mistake
)

func limits(memoryMB, sockets int, told *Settings) Limits {
	rest := sockets - keptSockets
	memory := int64(memoryMB) << 20
	longest := 0.0
	for _, g := range told.CommandGroups {
		longest = max(longest, g.ClientTimeout)
	}
	// Where lists come by themselves what the agent has when it returns from a silence binds within the grace, whatever
	// call or pause it meets: they have to be over well before. Where they are asked for a crowded registry answers late,
	// and giving its calls up early crowded it more. A connection that came up for a member that was told to drain
	// meanwhile has to be made within the grace too.
	late, pause, dial, watch := 1.0, 1.0, told.ConnectTimeout, longWatch
	if told.PollList {
		watch = askedWatch
	}
	if told.DrainGrace > 0 {
		dial = min(dial, told.DrainGrace)
		if !told.PollList {
			late, pause = min(late, lateShare*told.DrainGrace), min(pause, pauseShare*told.DrainGrace)
		}
	}
	return Limits{
		Sizes: Sizes{
			Memory:           memory,
			BufferBlock:      blockSize,
			ClientMessage:    longestText*largestValue + blockSize,
			BackendMessage:   longestText*largestValue + blockSize,
			InspectedMessage: 8 << 10,
			DiscoveryReply:   8 << 20,
			DiscoveryLine:    8 << 10,
			StartupPacket:    10000,
			StatementComment: 1 << 10,
			ReadPerTurn:      64 << 10,
			DiscardedInput:   1 << 20,
			UnsentAnswers:    longestText * largestValue,
		},
		Counts: Counts{
			Sockets:            sockets,
			BufferBlocks:       int(memory / blockShare / blockSize),
			EventsPerTurn:      256,
			AcceptsPerTurn:     64,
			ListenBacklog:      1024,
			MessagesPerTurn:    32,
			PipelinedCommands:  64,
			InvalidQueries:     16,
			SharedDescriptors:  rest,
			ClientConnections:  rest - rest/memberShare,
			IdleClients:        sockets / idleClients,
			BackendConnections: rest / memberShare,
		},
		Durations: Durations{
			PositionEpoch:      3600,
			AnswerMargin:       told.BatchInterval,
			MaxClientTimeout:   longestWait * longest,
			FirstQueryTimeout:  2,
			MessageTimeout:     2,
			WriteStallTimeout:  10,
			IdleTimeout:        5,
			ShedGrace:          0.01,
			ConnectTimeout:     dial,
			HealthCheckTimeout: told.ConnectTimeout,
			BackendIdleTimeout: idleShare * told.BackendIdle,
			ReuseDelay:         told.BatchInterval,
			MaxClockSkew:       1,
			LongPollHold:       watch,
			SilenceTimeout:     late,
			ReplyTimeout:       1,
			MinBackoff:         min(0.05, pause),
			MaxBackoff:         pause,
			AcceptLinger:       0.5,
			DrainDeadline:      0.15,
			CloseLinger:        1,
		},
	}
}
