package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"stoatdale.example/stoatdale/internal/pg"
)

var (
	soakSeeds = flag.Int("soak.seeds", 8, "number of seeds that TestSoak runs")
	soakFirst = flag.Uint64("soak.first", 1, "the first seed")
)

const (
	soakClients     = 10                      // clients of the router at a time
	soakReplicas    = 3                       // besides the primary
	soakServingTime = 2500 * time.Millisecond // time before the router gets SIGTERM
	soakIdleClients = 150                     // idle clients, in runs that have them
	soakSockets     = 160
	// soakLongestSlowGrace is the longest drain grace where discovery is slow, so that drains last longer than the grace.
	soakLongestSlowGrace = 600 * time.Millisecond
	killMargin           = 700 * time.Millisecond // the platform sends SIGKILL this long after SIGTERM plus the longest deadline
	maxCountedDeadline   = 3 * time.Second        // longer deadlines do not delay the SIGKILL further
)

// soak is one run of a router with backends that fail and clients that behave in random ways. The run sends a series of
// signals and kills the router at the earliest moment at which the platform may do so. All choices come from a seed.
type soak struct {
	t            *testing.T
	rng          *rand.Rand
	ledger       *soakLedger
	groups       []*soakGroup
	grace        time.Duration
	hasIdleCrowd bool
	// discoveryDelay is how late discovery is with each reply: 0, or longer than a call may be silent, and so short that two
	// replies one after the other come within the grace. Discovery does not move then, since a move loses the replies on their
	// way.
	discoveryDelay time.Duration

	backends  []*soakBackend
	router    atomic.Pointer[testRouter]
	discovery atomic.Pointer[testDiscovery]
	termAt    atomic.Pointer[time.Time]
	killed    atomic.Bool
	lastID    atomic.Uint64
}

// TestSoak executes runs one after the other. To execute more: go test ./cmd/stoatdale -run TestSoak -soak.seeds 50.
func TestSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			newSoak(t, seed).runAndCheck()
		})
	}
}

// TestSoakWithSlowDiscovery does the same with a discovery service that is late with its replies.
func TestSoakWithSlowDiscovery(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSoak(t, seed)
			s.grace = min(s.grace, soakLongestSlowGrace)
			s.discoveryDelay = time.Duration((0.26 + 0.1*s.rng.Float64()) * float64(s.grace))
			s.runAndCheck()
		})
	}
}

// runAndCheck executes the run and reports the violations.
func (s *soak) runAndCheck() {
	s.run()
	for _, violation := range s.ledger.check() {
		s.t.Error(violation)
	}
	s.t.Logf("%d commands, longest stall %v, idle clients %v, discovery late by %v",
		len(s.ledger.commands), s.ledger.longestStall, s.hasIdleCrowd, s.discoveryDelay)
}

func newSoak(t *testing.T, seed uint64) *soak {
	rng := rand.New(rand.NewPCG(seed, 0))
	milliseconds := func(low, high int) time.Duration {
		return time.Duration(low+rng.IntN(high-low)) * time.Millisecond
	}
	s := &soak{t: t, rng: rng, ledger: newSoakLedger(), grace: milliseconds(400, 1500), hasIdleCrowd: rng.IntN(3) == 0}
	s.groups = []*soakGroup{
		{name: "look", effect: "pure", deadline: milliseconds(200, 1500)},
		{name: "view", effect: "pure", deadline: milliseconds(200, 1500), staleness: milliseconds(200, 800)},
		{name: "order", effect: "side_effect", deadline: milliseconds(300, 4000)},
		{name: "sign", effect: "token", deadline: milliseconds(300, 2000), window: milliseconds(200, 1500)},
	}
	for i := range 1 + soakReplicas {
		s.backends = append(s.backends, s.newBackend(i))
	}
	return s
}

// settings returns the settings of this run.
func (s *soak) settings() map[string]any {
	settings := testSettings(s.rng.IntN(2) == 0)
	var classes []any
	for _, g := range s.groups {
		classes = append(classes, map[string]any{
			"name": g.name, "effect": g.effect, "targetNs": g.deadline.Nanoseconds() / 2, "deadlineNs": g.deadline.Nanoseconds(),
			"worth": 1, "keyScope": "cell", "memorySpanNs": g.window.Nanoseconds(),
		})
	}
	settings["classes"] = classes
	family := settings["familyInfo"].(map[string]any)
	family["needsByClass"] = []string{"eventual", "lag_bound", "mutate", "mutate"}
	family["classBoundNs"] = []int64{0, s.groups[1].staleness.Nanoseconds(), 0, 0}
	limits := settings["limits"].(map[string]any)
	limits["dialTimeoutNs"], limits["cancel"] = 25e7, s.rng.IntN(2) == 0
	return settings
}

// longestDeadline returns the longest deadline of the groups, each counted up to maxCountedDeadline.
func (s *soak) longestDeadline() (longest time.Duration) {
	for _, g := range s.groups {
		longest = max(longest, min(g.deadline, maxCountedDeadline))
	}
	return longest
}

func (s *soak) run() {
	stop := make(chan struct{})
	var background, clients sync.WaitGroup
	background.Go(func() { s.ledger.measureStalls(stop) })
	router := startRouterWith(s.t, routerOptions{
		settings: s.settings(), sockets: soakSockets, drainGrace: s.grace, seed: fmt.Sprintf("%x", s.rng.Uint64()>>1),
		discoveryDelay: s.discoveryDelay,
	}, s.entries()...)
	s.router.Store(router)
	s.discovery.Store(router.discovery)
	for range soakClients {
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), 0))
		clients.Go(func() { s.client(rng) })
	}
	faultRNG := rand.New(rand.NewPCG(s.rng.Uint64(), 0))
	background.Go(func() { s.injectFaults(faultRNG, stop) })
	if s.hasIdleCrowd {
		background.Go(func() { s.fillDescriptors(router) })
	}
	s.signals(router)
	close(stop)
	clients.Wait()
	background.Wait()
}

// signals sends the router a series of signals. The last is SIGKILL, at the earliest moment at which the platform may
// send it after SIGTERM.
func (s *soak) signals(router *testRouter) {
	end := time.Now().Add(soakServingTime)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(s.rng.IntN(500)) * time.Millisecond)
		for range 1 + s.rng.IntN(3) {
			switch s.rng.IntN(3) {
			case 0:
				router.signal(syscall.SIGUSR1)
			case 1:
				router.signal(syscall.SIGHUP)
			default:
				if s.discoveryDelay > 0 {
					router.signal(syscall.SIGHUP)
					continue
				}
				s.moveDiscovery(router)
			}
		}
	}
	now := time.Now()
	s.termAt.Store(&now)
	router.signal(syscall.SIGTERM)
	for _, extraSignal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1} {
		if s.rng.IntN(2) == 0 {
			_ = router.cmd.Process.Signal(extraSignal) // fails if the router has ended by now
		}
	}
	time.Sleep(time.Until(now.Add(s.longestDeadline() + killMargin)))
	s.killed.Store(true)
	_ = router.cmd.Process.Kill()
	_ = router.cmd.Wait()
}

// moveDiscovery reloads the router's configuration with the address of a new discovery service.
func (s *soak) moveDiscovery(router *testRouter) {
	before := s.discovery.Load()
	next := newLateTestDiscovery(s.t, strings.Join(s.entries(), ","), s.discoveryDelay)
	s.discovery.Store(next)
	router.reload(`"discovery":"`+before.address, `"discovery":"`+next.address)
}

// fillDescriptors opens idle clients and keeps them open until the router is killed.
func (s *soak) fillDescriptors(router *testRouter) {
	for range soakIdleClients {
		connection, err := net.Dial("tcp", router.address)
		if err != nil {
			return
		}
		defer func() { _ = connection.Close() }()
		_, _ = connection.Write(append(pg.AppendStartupMessage(nil), pg.AppendQuery(nil, "")...))
	}
	for !s.killed.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}
