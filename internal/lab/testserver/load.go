package testserver

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"sync"
	"time"
)

// Load is clients that ask routers steadily, one command at a time each, and keep count of what came of every
// command. What counts is seen on the wire alone: what was written, what came back, and what members were sent.
type Load struct {
	Routers []string      // addresses
	Clients int           // at once
	Think   time.Duration // between an answer and the next command
	Timeout time.Duration // the client timeout that commands state
	Writes  float64       // share of commands that mutate

	mu     sync.Mutex
	counts Counts
	slow   []time.Duration
	seen   map[string]int // commands that reached a member, how often
	open   map[string]bool
	stop   chan struct{}
	done   sync.WaitGroup
}

// Counts is what came of the commands.
type Counts struct {
	Asked     int // written whole
	Answered  int
	Throttled int
	Failed    int
	Late      int // answered after the client timeout, in any way
	Lost      int // reached a member, or were held past the client timeout, and never had an answer
	Turned    int // connections that a router ended before it took the command
	Doubled   int // mutating commands that reached members more than once
}

var ids = regexp.MustCompile(`/\* id=([0-9a-f]+),c=([a-z]+)`)

// Seen is told of each statement that a member was sent.
func (l *Load) Seen(statement string) {
	if m := ids.FindStringSubmatch(statement); m != nil {
		l.mu.Lock()
		l.seen[m[1]+m[2]]++
		l.mu.Unlock()
	}
}

// Start has the clients begin. The seed is of what they ask.
func (l *Load) Start(seed uint64) {
	l.stop = make(chan struct{})
	l.seen, l.open = map[string]int{}, map[string]bool{}
	for i := range l.Clients {
		l.done.Add(1)
		go l.client(i, rand.New(rand.NewPCG(seed, uint64(i))))
	}
}

// Stop ends the clients once their commands are answered, and returns what came of all.
func (l *Load) Stop() (Counts, []time.Duration) {
	close(l.stop)
	l.done.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range l.seen {
		if id[len(id)-len(Order):] == Order && n > 1 {
			l.counts.Doubled++
		}
	}
	for id := range l.open { // ended without an answer: lost if they reached a member
		if l.seen[id] > 0 {
			l.counts.Lost++
		} else {
			l.counts.Turned++
		}
	}
	return l.counts, l.slow
}

// client asks the router that it was given, and the next one if that does not take it.
func (l *Load) client(n int, rng *rand.Rand) {
	defer l.done.Done()
	at := n % len(l.Routers)
	var c *Client
	defer func() {
		if c != nil {
			_ = c.Close()
		}
	}()
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(l.Think):
		}
		if c == nil {
			var err error
			if c, err = Dial(l.Routers[at], l.Timeout); err != nil {
				at = (at + 1) % len(l.Routers)
				continue
			}
		}
		if !l.ask(c, rng) {
			_ = c.Close()
			c, at = nil, (at+1)%len(l.Routers)
		}
	}
}

// ask asks once; false: the connection is of no more use.
func (l *Load) ask(c *Client, rng *rand.Rand) bool {
	id := fmt.Sprintf("%016x", rng.Uint64()|1)
	group, text := Look, "SELECT doc FROM items WHERE id = '%s' /* id=%s,c=%s,d=%d,cluster=2 */"
	if rng.Float64() < l.Writes {
		group, text = Order, `INSERT INTO items (id, doc) VALUES ('%s', '\x9f') RETURNING doc /* id=%s,c=%s,d=%d,cluster=2 */`
	}
	statement := fmt.Sprintf(text, id, id, group, l.Timeout.Milliseconds())
	l.mu.Lock()
	l.open[id+group] = true
	l.mu.Unlock()
	began := time.Now()
	said, sent, err := c.Ask(statement, l.Timeout+time.Second)
	took := time.Since(began)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !sent {
		delete(l.open, id+group)
		return false
	}
	l.counts.Asked++
	if err != nil {
		if took > l.Timeout {
			delete(l.open, id+group)
			l.counts.Lost++
		}
		return false
	}
	delete(l.open, id+group)
	l.slow = append(l.slow, took)
	if took > l.Timeout {
		l.counts.Late++
	}
	switch said.Code {
	case "":
		l.counts.Answered++
	case "53300":
		l.counts.Throttled++
	default:
		l.counts.Failed++
	}
	return true
}
