package standin

import (
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// answerSlack is how long after its time a client still waits for the answer to a request.
const answerSlack = time.Second

// Clients asks a router over connections that are used again. It may be used from several goroutines.
type Clients struct {
	Address string

	mu   sync.Mutex
	idle []*Client // the one used last is last
}

// Ask sends a request on a connection that rests, or on a new one, and waits for its answer. Should the router end a resting
// connection just then, the request is sent once more on a new one, as the protocol has it.
func (p *Clients) Ask(text string, timeout time.Duration) (Reply, error) {
	if c := p.take(); c != nil {
		reply, err := p.askOn(c, text, timeout)
		if !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
			return reply, err
		}
	}
	c, err := Dial(p.Address)
	if err != nil {
		return Reply{}, err
	}
	return p.askOn(c, text, timeout)
}

func (p *Clients) askOn(c *Client, text string, timeout time.Duration) (Reply, error) {
	reply, err := c.Ask(text, timeout+answerSlack)
	if err != nil {
		c.Close()
		return reply, err
	}
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	return reply, nil
}

func (p *Clients) take() *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// Close closes the connections that rest.
func (p *Clients) Close() {
	for c := p.take(); c != nil; c = p.take() {
		c.Close()
	}
}

// Every calls a function at random moments, rate times a second in the mean, each time on a goroutine of its own. It returns
// when the time is over and all calls have ended.
func Every(rng *rand.Rand, rate float64, during time.Duration, call func()) {
	var running sync.WaitGroup
	next := time.Now()
	for end := next.Add(during); next.Before(end); {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		running.Go(call)
	}
	running.Wait()
}
