// Program 2 plays a primary that hangs while clients send many commands at once, and checks that the router stays within
// the memory that it was given. It takes the platform's place too: over its limit the router is killed.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"stoatdale.example/stoatdale/review/standin"
)

const (
	memoryMB   = 64       // the limit of the router
	valueSize  = 64 << 10 // of every value, in bytes
	rate       = 900      // requests a second of the router
	batch      = 64       // requests that a client sends at once
	clients    = 60       // clients that send by turns
	writeShare = 0.06     // of the requests
	replicas   = 6
	work       = 3 * time.Millisecond // of a server for a request
	lag        = 20 * time.Millisecond

	calm       = 10 * time.Second // before the primary hangs
	hang       = 14 * time.Second
	afterwards = 6 * time.Second
	leastDone  = 0.9 // share of the requests before the hang that has to be served in a run that counts

	readTimeout  = time.Second
	writeTimeout = 3 * time.Second
	bytesPerMB   = 1 << 20
)

// world is the state that the stand-ins share.
type world struct {
	run   *standin.Run
	value string
	hangs atomic.Bool
	end   time.Time

	sent, served, refused, failed, lost atomic.Int64
	peak                                atomic.Int64 // most memory of the router seen, in bytes
	killed                              atomic.Bool  // the router was over its limit
}

// newHost returns a database server. The primary answers nothing while it hangs.
func (w *world) newHost(name string, primary bool) *standin.Host {
	await := func() {
		for primary && w.hangs.Load() && time.Now().Before(w.end) {
			time.Sleep(5 * time.Millisecond)
		}
	}
	h := &standin.Host{Name: name}
	h.Serve = func(s standin.Statement) []byte {
		await()
		status := standin.Status{Recovery: "on", PositionMs: time.Now().Add(-lag).UnixMilli()}
		if primary {
			status = standin.Status{Recovery: "off", PositionMs: time.Now().UnixMilli()}
		}
		if s.Group == "scan-write" && !primary {
			w.run.Record.Printf("%s turned away id=%s", name, s.ID)
			return standin.Refusal("25006", status)
		}
		time.Sleep(work)
		w.run.Record.Printf("%s ran id=%s", name, s.ID)
		return standin.Row(w.value, status)
	}
	h.Health = func() []byte {
		await()
		return standin.Report(time.Now().Add(-lag), primary)
	}
	return h
}

// client sends batches of requests, one batch at a time, until the run ends or its connection does.
func (w *world) client(address string, rng *rand.Rand) {
	period := time.Second * clients * batch / rate
	time.Sleep(time.Duration(rng.Float64() * float64(period)))
	for time.Now().Add(period).Before(w.end) && !w.killed.Load() {
		began := time.Now()
		c, err := standin.Dial(address)
		if err != nil {
			return
		}
		w.sendBatch(c, rng)
		c.Close()
		time.Sleep(time.Until(began.Add(period)))
	}
}

// sendBatch sends the requests of a batch in one piece and reads their answers.
func (w *world) sendBatch(c *standin.Client, rng *rand.Rand) {
	var texts, ids []string
	for range batch {
		id := fmt.Sprintf("%016x", rng.Uint64())
		text := standin.Read(id, id, "track-view", readTimeout)
		if rng.Float64() < writeShare {
			text = standin.Write(id, id, "scan-write", writeTimeout)
		}
		texts, ids = append(texts, text), append(ids, id)
	}
	w.run.Record.Printf("client sends at once %s", strings.Join(ids, " "))
	if err := c.Send(texts...); err != nil {
		return
	}
	w.sent.Add(batch)
	for i, id := range ids {
		reply, err := c.Read(3*writeTimeout + time.Second)
		if err != nil {
			w.lost.Add(int64(batch - i))
			w.run.Record.Printf("client has no answer to %s and %d behind it: %v", id, batch-i-1, err)
			return
		}
		w.count(id, reply)
	}
}

func (w *world) count(id string, reply standin.Reply) {
	switch {
	case reply.Served:
		w.served.Add(1)
		w.run.Record.Printf("client is served id=%s", id)
	case reply.Code == "53300" || reply.Code == "57P03":
		w.refused.Add(1)
		w.run.Record.Printf("client is refused id=%s", id)
	default:
		w.failed.Add(1)
		w.run.Record.Printf("client hears of id=%s: failed, %s", id, reply.Code)
	}
}

// watchMemory takes the platform's place until the run ends. Only memory of the process's own counts here, without that of
// files, which the platform counts too.
func (w *world) watchMemory(router *standin.Router) {
	for lastLine := time.Now(); time.Now().Before(w.end); time.Sleep(10 * time.Millisecond) {
		used := router.Memory("RssAnon")
		w.peak.Store(max(w.peak.Load(), used))
		if time.Since(lastLine) > time.Second/2 {
			lastLine = time.Now()
			w.run.Record.Printf("router uses %.1f MB of %d", float64(used)/bytesPerMB, memoryMB)
		}
		if used > memoryMB*bytesPerMB {
			w.run.Record.Say("OVER THE LIMIT: the router uses %.1f MB of %d and is killed", float64(used)/bytesPerMB, memoryMB)
			w.killed.Store(true)
			router.Kill()
			return
		}
	}
}

func settings() map[string]any {
	return standin.Settings([]standin.Group{
		{Name: "track-view", Needs: "lag_bound", Effect: "pure", Aim: 300, Timeout: 1000, Bound: 800, Worth: 3},
		{Name: "scan-write", Needs: "mutate", Effect: "token", Aim: 750, Timeout: 3000, Window: 3000, Worth: 6, Late: 0.3},
	})
}

// start starts the servers and the router.
func (w *world) start() (*standin.Router, error) {
	hosts := []*standin.Host{w.newHost("db-1", true)}
	for i := range replicas {
		hosts = append(hosts, w.newHost(fmt.Sprintf("db-%d", i+2), false))
	}
	discovery, rows, err := w.run.StartHosts(hosts, 0)
	if err != nil {
		return nil, err
	}
	return w.run.StartRouter(standin.Document(discovery.Address, settings(), memoryMB, rows))
}

func play(r *standin.Run) (int, error) {
	w := &world{run: r, value: strings.Repeat("v", valueSize), end: time.Now().Add(calm + hang + afterwards)}
	router, err := w.start()
	if err != nil {
		return standin.CouldNot, err
	}
	var running sync.WaitGroup
	running.Go(func() { w.watchMemory(router) })
	for i := range clients {
		running.Go(func() { w.client(router.Address, rand.New(rand.NewPCG(r.Seed, uint64(i)))) })
	}
	time.Sleep(calm)
	calmSent, calmServed := w.sent.Load(), w.served.Load()
	r.Record.Say("before: sent %d, served %d, peak %.1f MB", calmSent, calmServed, float64(w.peak.Load())/bytesPerMB)
	if r.Trouble {
		r.Record.Say("the primary db-1 hangs")
		w.hangs.Store(true)
	}
	time.Sleep(hang)
	w.hangs.Store(false)
	running.Wait()
	r.Record.Say("sent %d, served %d, refused %d, failed %d, no answer %d; peak %.1f of %d MB",
		w.sent.Load(), w.served.Load(), w.refused.Load(), w.failed.Load(), w.lost.Load(), float64(w.peak.Load())/bytesPerMB, memoryMB)
	if w.killed.Load() {
		return standin.Broken, nil
	}
	if err := router.Ended(); err != nil {
		return standin.CouldNot, err
	}
	router.Signal(syscall.SIGTERM)
	if float64(calmServed) < leastDone*float64(calmSent)-clients*batch {
		return standin.CouldNot, errors.New("too little was served before the hang for the run to count")
	}
	return standin.Held, nil
}

func main() { standin.Main(play) }
