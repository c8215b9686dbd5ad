package testserver

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"sync"
	"time"
)

// Load runs clients that send commands to routers, each client one command at a time, and counts the outcomes. It counts
// only what is visible on the wire: what clients wrote and received, and which statements backends received.
type Load struct {
	Routers    []string      // addresses of the routers
	Clients    int           // number of concurrent clients
	Think      time.Duration // pause of a client between an answer and its next command
	Timeout    time.Duration // client timeout, stated in each command
	WriteShare float64       // share of mutating commands, from 0 to 1

	mu            sync.Mutex
	counts        Counts
	responseTimes []time.Duration // of all answered commands
	received      map[string]int  // number of times that each command reached a backend, by its ID and group
	unanswered    map[string]bool // commands without an answer, by their ID and group
	stop          chan struct{}
	running       sync.WaitGroup
}

// Counts is the number of commands by outcome.
type Counts struct {
	Sent       int // written completely
	Answered   int // with a value
	Throttled  int // answered with the error 53300
	Failed     int // answered with another error
	Late       int // answered after the client timeout, with a value or an error
	Lost       int // never answered, though a backend received them or the client timeout passed
	Refused    int // never answered and never received by a backend: the router closed the connection first
	Duplicated int // mutating commands that backends received more than once
}

var routingComment = regexp.MustCompile(`/\* id=([0-9a-f]+),c=([a-z]+)`)

// RecordStatement records a statement that a backend received. Backends have to call it for each.
func (l *Load) RecordStatement(statement string) {
	if m := routingComment.FindStringSubmatch(statement); m != nil {
		l.mu.Lock()
		l.received[m[1]+m[2]]++
		l.mu.Unlock()
	}
}

// Start starts the clients. The seed determines the commands that they send.
func (l *Load) Start(seed uint64) {
	l.stop = make(chan struct{})
	l.received, l.unanswered = map[string]int{}, map[string]bool{}
	for i := range l.Clients {
		l.running.Add(1)
		go l.runClient(i, rand.New(rand.NewPCG(seed, uint64(i))))
	}
}

// Stop stops the clients once their current commands are answered. It returns the counts of all commands and the response
// times of the answered ones.
func (l *Load) Stop() (Counts, []time.Duration) {
	close(l.stop)
	l.running.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range l.received {
		if id[len(id)-len(Order):] == Order && n > 1 {
			l.counts.Duplicated++
		}
	}
	for id := range l.unanswered { // never answered: lost if a backend received the command
		if l.received[id] > 0 {
			l.counts.Lost++
		} else {
			l.counts.Refused++
		}
	}
	return l.counts, l.responseTimes
}

// runClient runs one client until Stop. It starts with one of the routers and changes to the next when a connection
// fails.
func (l *Load) runClient(clientIndex int, rng *rand.Rand) {
	defer l.running.Done()
	routerIndex := clientIndex % len(l.Routers)
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
			if c, err = Dial(l.Routers[routerIndex], l.Timeout); err != nil {
				routerIndex = (routerIndex + 1) % len(l.Routers)
				continue
			}
		}
		if !l.sendCommand(c, rng) {
			_ = c.Close()
			c, routerIndex = nil, (routerIndex+1)%len(l.Routers)
		}
	}
}

// sendCommand sends one command and counts its outcome. It returns false if the connection can no longer be used.
func (l *Load) sendCommand(c *Client, rng *rand.Rand) bool {
	id := fmt.Sprintf("%016x", rng.Uint64()|1)
	group, text := Look, "SELECT doc FROM items WHERE id = '%s' /* id=%s,c=%s,d=%d,cluster=2 */"
	if rng.Float64() < l.WriteShare {
		group, text = Order, `INSERT INTO items (id, doc) VALUES ('%s', '\x9f') RETURNING doc /* id=%s,c=%s,d=%d,cluster=2 */`
	}
	statement := fmt.Sprintf(text, id, id, group, l.Timeout.Milliseconds())
	l.mu.Lock()
	l.unanswered[id+group] = true
	l.mu.Unlock()
	sentAt := time.Now()
	reply, sent, err := c.Query(statement, l.Timeout+time.Second)
	took := time.Since(sentAt)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !sent {
		delete(l.unanswered, id+group)
		return false
	}
	l.counts.Sent++
	if err != nil {
		if took > l.Timeout {
			delete(l.unanswered, id+group)
			l.counts.Lost++
		}
		return false
	}
	delete(l.unanswered, id+group)
	l.responseTimes = append(l.responseTimes, took)
	if took > l.Timeout {
		l.counts.Late++
	}
	switch reply.Code {
	case "":
		l.counts.Answered++
	case "53300":
		l.counts.Throttled++
	default:
		l.counts.Failed++
	}
	return true
}
