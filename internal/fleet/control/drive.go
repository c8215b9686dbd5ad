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
	idBytes            = 6  // random bytes in an identifier
	answersPerAgent    = 4  // length of the answer queue per agent; a call waits to deliver its answer while the queue is full
	extraQueuedAnswers = 16 // added to the length of the answer queue, for fleets with few agents
)

// NewID returns a random identifier, long enough that no other is likely to be the same.
func NewID() string {
	var random [idBytes]byte
	_, _ = rand.Read(random[:]) // rand.Read never fails
	return hex.EncodeToString(random[:])
}

// NewRollout returns the task of rolling out a revision. With restart, instances are restarted even where a reload would be
// enough.
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

// RequestAction sends the agents a request for the tool that drives a rollout, and returns the number of agents that accepted
// it. The tool receives the request from the agents.
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

// NewestRollout returns the newest rollout that any agent reports. driven is true if a tool holds the lease now.
func (c *Client) NewestRollout(ctx context.Context) (rollout protocol.Rollout, driven, found bool) {
	answers := c.Broadcast(ctx, protocol.Request{Verb: protocol.StatusVerb})
	rollout, found = newestRecord(answers)
	return rollout, leaseStatus(answers).Held, found
}

// Drive carries out a task and returns its outcome. When ctx ends, it releases the lease, and the rollout can be resumed.
// Unless watch is nil, Drive calls it with the rollout's state and the new events each time the coordinator has decided.
func (c *Client) Drive(ctx context.Context, task coordinator.Task, watch func(coordinator.View, []coordinator.Event)) coordinator.Outcome {
	d := c.newDriver(task, watch)
	callContext, cancel := context.WithCancel(context.WithoutCancel(ctx)) // ctx may end before the lease is released
	defer d.runningCalls.Wait()
	defer cancel()
	interrupted := ctx.Done()
	for {
		wait := d.advance(callContext)
		if outcome, over := d.coordinator.Outcome(); over {
			return outcome
		}
		timer := time.NewTimer(wait)
		select {
		case answer := <-d.answers:
			d.handleAnswers(answer)
		case <-timer.C:
		case <-interrupted:
			interrupted = nil
			d.coordinator.Quit(d.now())
		}
		timer.Stop()
	}
}

// driver makes the calls of a coordinator and passes it the agents' answers.
type driver struct {
	client       *Client
	coordinator  *coordinator.Coordinator
	watch        func(coordinator.View, []coordinator.Event)
	startedAt    time.Time
	answers      chan callAnswer
	slots        chan struct{} // holds one element for each call that is being made
	runningCalls sync.WaitGroup
}

// callAnswer is the reply to a call of the coordinator, or its error.
type callAnswer struct {
	id    uint64 // ID of the coordinator.OutgoingCall
	reply protocol.Reply
	err   error
}

func (c *Client) newDriver(task coordinator.Task, watch func(coordinator.View, []coordinator.Event)) *driver {
	task.FleetDigest = c.Fleet.InstancesDigest()
	host, _ := os.Hostname() // shown to operators only
	coordinator := coordinator.New(coordinator.Config{
		Fleet:         c.Fleet.PlannerFleet(),
		InstanceNames: c.Fleet.InstanceNames(),
		AgentCount:    len(c.agents),
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
		answers:     make(chan callAnswer, answersPerAgent*len(c.agents)+extraQueuedAnswers),
		slots:       make(chan struct{}, maxConcurrentCalls),
	}
}

// now returns the time on the coordinator's clock, in seconds.
func (d *driver) now() float64 { return time.Since(d.startedAt).Seconds() }

// advance lets the coordinator decide, starts the calls that it returns, and returns the time until the next advance is due.
func (d *driver) advance(ctx context.Context) time.Duration {
	calls, nextTick := d.coordinator.Tick(d.now())
	for _, call := range calls {
		d.runningCalls.Go(func() { d.makeCall(ctx, call) })
	}
	if d.watch != nil {
		d.watch(d.coordinator.View(d.now()), d.coordinator.TakeEvents())
	} else {
		d.coordinator.TakeEvents()
	}
	return time.Duration(max(0, nextTick-d.now()) * float64(time.Second))
}

func (d *driver) makeCall(ctx context.Context, call coordinator.OutgoingCall) {
	d.slots <- struct{}{}
	reply, err := d.client.call(ctx, call.Agent, call.Request)
	<-d.slots
	d.answers <- callAnswer{id: call.ID, reply: reply, err: err}
}

// handleAnswers passes the coordinator an answer and all other answers that have arrived.
func (d *driver) handleAnswers(answer callAnswer) {
	for {
		if answer.err != nil {
			d.coordinator.HandleFailure(d.now(), answer.id, answer.err.Error())
		} else {
			d.coordinator.HandleReply(d.now(), answer.id, answer.reply)
		}
		select {
		case answer = <-d.answers:
		default:
			return
		}
	}
}
