package site

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strconv"

	"stoatdale.example/stoatdale/internal/roster"
)

// Start is what a router on sockets is started with.
type Start struct {
	Name      string
	Listen    netip.AddrPort
	Discovery netip.AddrPort
	Seed      uint64
	Known     roster.List // as this router had it last
	Told      Told
	Move      bool // a running router takes these settings in
	Limits    Limits
}

// Limits is every size, count and time that the router keeps to. Sizes are bytes, times seconds.
type Limits struct {
	Memory    int64   // of the process
	Sockets   int     // descriptors of the process
	Block     int     // of a buffer
	Blocks    int     // in use before clients are no longer read
	Message   int     // longest message of a client
	Answer    int     // longest message of a member
	Page      int     // longest reply of discovery
	Packet    int     // longest start-up packet
	Comment   int     // longest comment of a statement
	Note      int     // longest message of a member that is looked into
	Line      int     // longest line of discovery's
	Events    int     // gathered in one turn
	Read      int     // of one connection in one turn
	Accepts   int     // in one turn
	Backlog   int     // of connections not yet accepted
	Messages  int     // of one connection in one turn
	Pipeline  int     // commands in hand of one connection
	Faults    int     // queries of one connection that are no command, before it is ended
	Away      int     // bytes read away of a connection that was ended
	Unsent    int     // answers that a connection may owe before it is read again
	Shared    int     // descriptors for clients and members together
	Clients   int     // client connections
	Idles     int     // of them between commands
	Members   int     // member connections, or more while descriptors are free
	Epoch     float64 // before the start from which positions count; the reason stands in core
	Way       float64 // kept of a client's time for the answer's way: what one tick of the settings is
	Wait      float64 // longest that a command may name
	First     float64 // from a client's coming to its first whole query
	Whole     float64 // from a message's first bytes to its last
	Stall     float64 // that a client may leave an answer untaken
	Quiet     float64 // after which a client between commands is closed
	Mute      float64 // that a client is spared when others need its descriptor, and that the listener rests if none makes room
	Dial      float64 // that a connection may take to come up
	Probe     float64 // that a probe may take
	Idle      float64 // after which an idle member connection is closed
	Rest      float64 // that a member connection stands before it is used again; the reason stands in member
	Ahead     float64 // that a member's position may lie in the future
	Watch     float64 // that discovery may hold a call
	Late      float64 // that discovery may say nothing when it should, beyond which the call has failed
	Reply     float64 // that a reply of discovery may take from its first byte to its last
	Pause     float64 // before discovery is dialled again, doubled up to
	LongPause float64 // this
	Linger    float64 // that a router told to end goes on accepting
	LastCall  float64 // after that, for clients that have not asked yet or are in the middle of a message
	Farewell  float64 // that a client has to close a connection that was ended
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

func limits(memoryMB, sockets int, told *Told) Limits {
	rest := sockets - keptSockets
	memory := int64(memoryMB) << 20
	longest := 0.0
	for _, g := range told.Groups {
		longest = max(longest, g.Timeout)
	}
	// Where lists come by themselves what the agent has when it returns from a silence binds within the grace, whatever
	// call or pause it meets: they have to be over well before. Where they are asked for a crowded registry answers late,
	// and giving its calls up early crowded it more. A connection that came up for a member that was told to drain
	// meanwhile has to be made within the grace too.
	late, pause, dial, watch := 1.0, 1.0, told.Dial, longWatch
	if told.Ask {
		watch = askedWatch
	}
	if told.Grace > 0 {
		dial = min(dial, told.Grace)
		if !told.Ask {
			late, pause = min(late, lateShare*told.Grace), min(pause, pauseShare*told.Grace)
		}
	}
	return Limits{
		Memory: memory, Sockets: sockets,
		Block: blockSize, Blocks: int(memory / blockShare / blockSize),
		Message: longestText*largestValue + blockSize, Answer: longestText*largestValue + blockSize, Page: 8 << 20,
		Packet: 10000, Comment: 1 << 10, Note: 8 << 10, Line: 8 << 10, Events: 256,
		Read: 64 << 10, Accepts: 64, Backlog: 1024, Messages: 32, Pipeline: 64, Faults: 16, Away: 1 << 20,
		Unsent: longestText * largestValue,
		Shared: rest, Clients: rest - rest/memberShare, Idles: sockets / idleClients, Members: rest / memberShare,
		Epoch: 3600, Way: told.Tick, Wait: longestWait * longest,
		First: 2, Whole: 2, Stall: 10, Quiet: 5, Mute: 0.01, Dial: dial, Probe: told.Dial, Idle: idleShare * told.Idle,
		Rest: told.Tick, Ahead: 1,
		Watch: watch, Late: late, Reply: 1, Pause: min(0.05, pause), LongPause: pause,
		Linger: 0.5, LastCall: 0.15, Farewell: 1,
	}
}

// file is GW_CONFIG's document.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Memory  *int `json:"memory_mb"`
		Sockets *int `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
	Move     bool            `json:"move"`
}

// Load reads the variables GW_NAME, GW_LISTEN, GW_DISCOVERY and GW_CONFIG by way of env and the file that
// the last one names. A variable and the file must not differ; either may be left out but GW_CONFIG.
func Load(env func(string) string) (Start, error) { return read(env, true) }

// Reload reads them again by the same checks, but for one: where a variable and the file differ the file
// wins, since the environment still holds what the process was started with.
func Reload(env func(string) string) (Start, error) { return read(env, false) }

// Parse reads a document as Load does, with nothing from the environment, for whoever hands routers theirs.
func Parse(raw []byte) (Start, error) {
	return parse(raw, func(string) string { return "" }, true)
}

func read(env func(string) string, agree bool) (Start, error) {
	path := env("GW_CONFIG")
	if path == "" {
		return Start{}, errors.New("GW_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Start{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	return parse(raw, env, agree)
}

func parse(raw []byte, env func(string) string, agree bool) (Start, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return Start{}, fmt.Errorf("GW_CONFIG: %w", err)
	}
	for _, p := range []struct {
		variable, key string
		value         *string
	}{{"GW_NAME", "name", &f.Name}, {"GW_LISTEN", "listen", &f.Listen}, {"GW_DISCOVERY", "discovery", &f.Discovery}} {
		v := env(p.variable)
		if agree && v != "" && *p.value != "" && v != *p.value {
			return Start{}, fmt.Errorf("%s is %q, but %s in GW_CONFIG is %q", p.variable, v, p.key, *p.value)
		}
		if *p.value == "" {
			*p.value = v
		}
		if *p.value == "" {
			return Start{}, fmt.Errorf("%s is missing: set %s or %s in GW_CONFIG", p.key, p.variable, p.key)
		}
	}
	return f.check()
}

func (f *file) check() (Start, error) {
	s := Start{Name: f.Name, Move: f.Move}
	var err error
	if s.Listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return s, fmt.Errorf("listen: %w", err)
	}
	if s.Discovery, err = netip.ParseAddrPort(f.Discovery); err != nil {
		return s, fmt.Errorf("discovery: %w", err)
	}
	if s.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return s, fmt.Errorf("seed: %w", err)
	}
	if len(f.Settings) == 0 {
		return s, errors.New("settings is missing")
	}
	if s.Told, err = Read(f.Settings); err == nil {
		err = s.Told.Fault()
	}
	if err != nil {
		return s, err
	}
	memory, sockets := defaultMemoryMB, defaultSockets
	if f.Limits.Memory != nil {
		memory = *f.Limits.Memory
	}
	if f.Limits.Sockets != nil {
		sockets = *f.Limits.Sockets
	}
	if memory < leastMemoryMB {
		return s, fmt.Errorf("limits.memory_mb is %d, and must be %d at least", memory, leastMemoryMB)
	}
	if sockets < leastSockets {
		return s, fmt.Errorf("limits.sockets is %d, and must be %d at least", sockets, leastSockets)
	}
	s.Limits = limits(memory, sockets, &s.Told)
	if len(f.Known) == 0 {
		return s, errors.New("known is missing")
	}
	if s.Known, err = roster.Parse(f.Known); err != nil {
		return s, fmt.Errorf("known: %w", err)
	}
	return s, nil
}

// Moves says that another start asks a running router to take its settings in, and that they differ. How the
// list comes is part of how a router starts.
func (s *Start) Moves(other *Start) bool {
	return other.Move && s.Told.Ask == other.Told.Ask && !reflect.DeepEqual(s.Told, other.Told)
}

// Take takes another start's settings in, and what of the limits follows from them; memory and descriptors stay.
func (s *Start) Take(other *Start) {
	s.Told = other.Told
	s.Limits = limits(int(s.Limits.Memory>>20), s.Limits.Sockets, &s.Told)
}

// Fixed names the keys in which another start differs and that only a restart takes in. The list that was
// known last is none: it changes by itself.
func (s *Start) Fixed(other *Start) []string {
	var keys []string
	for _, k := range []struct {
		name string
		same bool
	}{
		{"name", s.Name == other.Name}, {"listen", s.Listen == other.Listen}, {"seed", s.Seed == other.Seed},
		{"limits", s.Limits.Memory == other.Limits.Memory && s.Limits.Sockets == other.Limits.Sockets},
		{"settings", reflect.DeepEqual(s.Told, other.Told) || s.Moves(other)},
	} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	return keys
}
