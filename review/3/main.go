// Program 3 plays replicas that lag by turns and connections to database servers of which a third comes up late, and checks
// that no read is sent to data older than its group allows.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"stoatdale.example/stoatdale/review/standin"
)

const (
	rate      = 100                    // requests a second
	during    = 100 * time.Second      // 5 rounds of quiet and lag
	quiet     = 11 * time.Second       // of a round, in which replicas catch up
	lagging   = 9 * time.Second        // of a round, in which replicas apply the log more slowly
	slowness  = 10                     // times more slowly
	catchUp   = 2                      // times as fast as the log is written, while a replica is behind
	usualLag  = 20 * time.Millisecond  // of a replica
	work      = 50 * time.Millisecond  // mean, of a server for a request
	lateBy    = 200 * time.Millisecond // of a connection that comes up late
	lateOneIn = 3                      // connections
	idleClose = 50 * time.Millisecond  // after which a server closes an idle connection

	bound     = 800 * time.Millisecond // oldest data that a read may see, counted from the last byte of its sending
	slack     = 50 * time.Millisecond  // by which every time limit is longer on sockets
	timeout   = time.Second
	leastDone = 0.8 // share of the requests that has to be served in a run that counts
)

// replica is how far a replica has applied the log.
type replica struct {
	lags func() bool

	mu      sync.Mutex
	applied time.Time // every commit until then is applied
	at      time.Time // when that was so
}

// position returns up to when the replica has applied the log now.
func (r *replica) position() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	elapsed := now.Sub(r.at)
	r.at = now
	advance := catchUp * elapsed
	if r.lags() {
		advance = elapsed / slowness
	}
	r.applied = r.applied.Add(advance)
	if newest := now.Add(-usualLag); r.applied.After(newest) {
		r.applied = newest
	}
	return r.applied
}

// world is the state that the stand-ins share.
type world struct {
	run   *standin.Run
	start time.Time

	mu    sync.Mutex
	rng   *rand.Rand
	stale map[string]time.Duration // age of the data from which a read was answered against the rule, by its id

	sent, served, refused, failed, unanswered, toReplicas, broken int
}

func (w *world) lags() bool { return time.Since(w.start)%(quiet+lagging) > quiet }

func (w *world) workTime() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rng.ExpFloat64() * float64(work))
}

// connectDelay returns how late a connection comes up.
func (w *world) connectDelay(int) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.run.Trouble && w.rng.IntN(lateOneIn) == 0 {
		return lateBy
	}
	return 0
}

func (w *world) newPrimary(name string) *standin.Host {
	h := &standin.Host{Name: name, IdleClose: idleClose, ConnectDelay: w.connectDelay}
	h.Serve = func(s standin.Statement) []byte {
		w.run.Record.Printf("%s conn %d got id=%s, primary", name, s.Conn, s.ID)
		time.Sleep(w.workTime())
		return standin.Row("from "+name, standin.Status{Recovery: "off", PositionMs: time.Now().UnixMilli()})
	}
	h.Health = func() []byte { return standin.Report(time.Now(), true) }
	return h
}

func (w *world) newReplica(name string) *standin.Host {
	now := time.Now()
	r := &replica{lags: w.lags, applied: now, at: now}
	h := &standin.Host{Name: name, IdleClose: idleClose, ConnectDelay: w.connectDelay}
	h.Serve = func(s standin.Statement) []byte {
		age := s.Arrived.Sub(r.position())
		w.run.Record.Printf("%s conn %d got id=%s, first of its connection %t, data %.3f s old", name, s.Conn, s.ID, s.First, age.Seconds())
		w.mu.Lock()
		w.toReplicas++
		if age > bound+slack {
			w.stale[s.ID] = age
		}
		w.mu.Unlock()
		time.Sleep(w.workTime())
		return standin.Row("from "+name, standin.Status{Recovery: "on", PositionMs: r.position().UnixMilli()})
	}
	h.Health = func() []byte { return standin.Report(r.position(), false) }
	return h
}

func (w *world) request(clients *standin.Clients) {
	w.mu.Lock()
	id := fmt.Sprintf("%016x", w.rng.Uint64())
	w.sent++
	w.mu.Unlock()
	w.run.Record.Printf("client sends id=%s", id)
	reply, err := clients.Ask(standin.Read(id[:12], id, "track-view", timeout), timeout)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case err != nil:
		w.unanswered++
		w.run.Record.Printf("client has no answer to id=%s: %v", id, err)
	case reply.Served:
		w.served++
		w.run.Record.Printf("client is served id=%s %s", id, reply.Value)
		if age := w.stale[id]; age > 0 {
			w.broken++
			w.run.Record.Say("STALE: id=%s was answered %s, sent to it when its data were %.3f s old; bound %.3f s, slack %.3f s",
				id, reply.Value, age.Seconds(), bound.Seconds(), slack.Seconds())
		}
	case reply.Code == "53300" || reply.Code == "57P03":
		w.refused++
	default:
		w.failed++
	}
}

func settings() map[string]any {
	const boundMs, timeoutMs = 800, 1000
	return standin.Settings([]standin.Group{
		{Name: "track-view", Needs: "lag_bound", Effect: "pure", Aim: 300, Timeout: timeoutMs, Bound: boundMs, Worth: 3},
		{Name: "scan-write", Needs: "mutate", Effect: "token", Aim: 750, Timeout: 3000, Window: 3000, Worth: 6, Late: 0.3},
	})
}

func play(r *standin.Run) (int, error) {
	w := &world{run: r, start: time.Now(), rng: rand.New(rand.NewPCG(r.Seed, 1)), stale: map[string]time.Duration{}}
	hosts := []*standin.Host{w.newPrimary("db-1"), w.newReplica("db-2"), w.newReplica("db-3"), w.newReplica("db-4")}
	discovery, rows, err := r.StartHosts(hosts, 0)
	if err != nil {
		return standin.CouldNot, err
	}
	router, err := r.StartRouter(standin.Document(discovery.Address, settings(), 192, rows))
	if err != nil {
		return standin.CouldNot, err
	}
	clients := &standin.Clients{Address: router.Address}
	standin.Every(rand.New(rand.NewPCG(r.Seed, 2)), rate, during, func() { w.request(clients) })
	clients.Close()
	r.Record.Say("sent %d, served %d, refused %d, failed %d, no answer %d; reads that replicas got %d; answered from data too old %d",
		w.sent, w.served, w.refused, w.failed, w.unanswered, w.toReplicas, w.broken)
	if err := router.Ended(); err != nil {
		return standin.CouldNot, err
	}
	switch {
	case w.broken > 0:
		return standin.Broken, nil
	case float64(w.served) < leastDone*float64(w.sent):
		return standin.CouldNot, errors.New("too little was served for the run to count")
	}
	return standin.Held, nil
}

func main() { standin.Main(play) }
