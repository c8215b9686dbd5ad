package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"os"
	"sync"
	"time"

	"stoatdale.example/stoatdale/internal/fleet/api"
	"stoatdale.example/stoatdale/internal/fleet/coordinator"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

const (
	idBytes            = 6  // of chance in an identifier
	answersPerAgent    = 4  // that wait for the driver without holding up a call
	minAnswerQueueSize = 16 // with few agents
)

// NewID returns an identifier that nothing else has, by chance.
func NewID() string {
	var random [idBytes]byte
	_, _ = rand.Read(random[:]) // it never fails
	return hex.EncodeToString(random[:])
}

// NewRollout is the task of rolling a revision out. With restart, instances are restarted also where a reload would do.
func (c *Client) NewRollout(r protocol.Revision, restart bool) coordinator.Task {
	digest := c.Fleet.InstancesDigest()
	return coordinator.Task{
		Operation:   coordinator.OperationBegin,
		Operator:    c.Operator,
		FleetDigest: digest,
		Rollout: protocol.Rollout{
			Rollout:         rollout.Rollout{ID: NewID(), Revision: r.Digest, Restart: restart},
			RevisionName:    r.Name,
			StartedBy:       c.Operator,
			StartedAt:       time.Now().Unix(),
			InstancesDigest: digest,
		},
	}
}

// RequestAction leaves a request with the agents for whoever drives a rollout, and returns how many took it.
func (c *Client) RequestAction(ctx context.Context, r protocol.Rollout, action rollout.OperatorRequest) int {
	request := protocol.Request{
		Verb:            protocol.RequestActionVerb,
		AgentsDigest:    c.Fleet.AgentsDigest(),
		OperatorRequest: protocol.OperatorRequest{RolloutID: r.ID, Run: r.Run, Action: action, Operator: c.Operator},
	}
	accepted := 0
	for _, answer := range c.Broadcast(ctx, request) {
		if answer.Err == nil {
			accepted++
		}
	}
	return accepted
}

// NewestRollout is the newest rollout that an agent knows, and whether a tool holds the lease to drive it now.
func (c *Client) NewestRollout(ctx context.Context) (rollout protocol.Rollout, driven, found bool) {
	answers := c.Broadcast(ctx, protocol.Request{Verb: protocol.StatusVerb})
	rollout, found = newestRecord(answers)
	return rollout, leaseStatus(answers).Held, found
}

// Drive carries a task out and returns its outcome. Once ctx ends the lease is given back, and the rollout waits to be
// resumed. watch, if it is not nil, is called in turn with what has come about.
func (c *Client) Drive(ctx context.Context, task coordinator.Task, watch func(coordinator.View, []coordinator.Event)) coordinator.Outcome {
	d := c.newDriver(task, watch)
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx)) // the lease is still to be given back
	defer d.calling.Wait()
	defer cancel()
	interrupted := ctx.Done()
	for {
		wait := d.advance(calls)
		if outcome, over := d.coordinator.Outcome(); over {
			return outcome
		}
		timer := time.NewTimer(wait)
		select {
		case a := <-d.answers:
			d.takeAnswers(a)
		case <-timer.C:
		case <-interrupted:
			interrupted = nil
			d.coordinator.Quit(d.now())
		}
		timer.Stop()
	}
}

// driver joins a coordinator, which decides, to the agents.
type driver struct {
	client      *Client
	coordinator *coordinator.Coordinator
	watch       func(coordinator.View, []coordinator.Event)
	startedAt   time.Time
	answers     chan callAnswer
	slots       chan struct{} // one for each call at the same time
	calling     sync.WaitGroup
}

// callAnswer is what came of a call of the coordinator's.
type callAnswer struct {
	id    uint64
	reply protocol.Reply
	err   error
}

func (c *Client) newDriver(task coordinator.Task, watch func(coordinator.View, []coordinator.Event)) *driver {
	task.FleetDigest = c.Fleet.InstancesDigest()
	host, _ := os.Hostname() // for people only
	coordinator := coordinator.New(coordinator.Config{
		Fleet:         c.Fleet.PlannerFleet(),
		InstanceNames: c.Fleet.InstanceNames(),
		Agents:        len(c.agents),
		AgentsDigest:  c.Fleet.AgentsDigest(),
		Holder:        api.HolderName(c.Operator, host+"/"+NewID()),
		Timing: coordinator.Timing{
			PollSeconds:            float64(c.Fleet.Times.PollInterval),
			MajorityTimeoutSeconds: float64(c.Fleet.Times.ContactTimeout),
		},
		Task:   task,
		Random: mathrand.Float64,
	})
	return &driver{
		client:      c,
		coordinator: coordinator,
		watch:       watch,
		startedAt:   time.Now(),
		answers:     make(chan callAnswer, answersPerAgent*len(c.agents)+minAnswerQueueSize),
		slots:       make(chan struct{}, maxConcurrentCalls),
	}
}

// now is the time on the coordinator's clock, in seconds.
func (d *driver) now() float64 { return time.Since(d.startedAt).Seconds() }

// advance has the coordinator decide, makes the calls that it asks for, and returns how long it may be left alone.
func (d *driver) advance(ctx context.Context) time.Duration {
	calls, wake := d.coordinator.Tick(d.now())
	for _, call := range calls {
		d.calling.Go(func() { d.makeCall(ctx, call) })
	}
	if d.watch != nil {
		d.watch(d.coordinator.View(d.now()), d.coordinator.TakeEvents())
	} else {
		d.coordinator.TakeEvents()
	}
	return time.Duration(max(0, wake-d.now()) * float64(time.Second))
}

func (d *driver) makeCall(ctx context.Context, call coordinator.OutgoingCall) {
	d.slots <- struct{}{}
	reply, err := d.client.call(ctx, call.Agent, call.Request)
	<-d.slots
	d.answers <- callAnswer{id: call.ID, reply: reply, err: err}
}

// takeAnswers hands the coordinator an answer and all others that have come meanwhile.
func (d *driver) takeAnswers(a callAnswer) {
	for {
		if a.err != nil {
			d.coordinator.HandleFailure(d.now(), a.id, a.err.Error())
		} else {
			d.coordinator.HandleReply(d.now(), a.id, a.reply)
		}
		select {
		case a = <-d.answers:
		default:
			return
		}
	}
}
