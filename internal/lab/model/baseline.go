package model

import (
	"math"
	"math/rand/v2"
	"slices"

	"stoatdale.example/stoatdale/internal/router"
)

// baselinePolicy is a simple policy that knows only the endpoint list and its own attempts. It sends reads to a random one
// of the backends that choose returns, and everything else to the primary in the list. It retries an attempt that never ran
// at another backend. It also retries idempotent commands that may have run.
type baselinePolicy struct {
	instance     *instance
	choose       func(b *baselinePolicy, c *baselineCommand) []int
	seesBackends bool // whether it knows the true state of backends without delay
	random       *rand.Rand
	endpoints    []router.EndpointInfo
	inFlight     []int              // attempts in flight by backend
	nextReplica  int                // reads so far, for round-robin
	lastWrites   map[uint64]float64 // time of the last write of each session, deleted after primaryWindow
	commands     map[uint32]*baselineCommand
}

// baselineCommand is a command that a baseline policy has not finished.
type baselineCommand struct {
	id         uint32
	command    router.Command
	mayHaveRun bool  // whether an earlier attempt may have been executed
	tried      []int // backends of all attempts so far
	endpoint   int   // backend of the current attempt
}

const (
	baselineMaxAttempts = 3
	primaryWindow       = 1.0 // seconds after a session's write during which the policy window sends its reads to the primary
)

func newBaseline(choose func(b *baselinePolicy, c *baselineCommand) []int) func(r *instance) Policy {
	return func(r *instance) Policy {
		return &baselinePolicy{
			instance: r, choose: choose, random: rand.New(rand.NewPCG(r.world.seed, hashName("simple")+uint64(r.index)<<8+uint64(r.starts))),
			inFlight: make([]int, len(r.world.backends)), lastWrites: map[uint64]float64{}, commands: map[uint32]*baselineCommand{},
		}
	}
}

// UpdateEndpoints implements Policy.
func (b *baselinePolicy) UpdateEndpoints(_ float64, endpoints []router.EndpointInfo) {
	b.endpoints = endpoints
}

// HealthChecked implements Policy. Baselines make no health checks.
func (b *baselinePolicy) HealthChecked(float64, int, bool, float64, float64, bool) {}

// ReviewDue implements Policy. It only deletes old writes, because commands never wait for a review.
func (b *baselinePolicy) ReviewDue(now float64) (float64, []int) {
	for session, at := range b.lastWrites {
		if now-at > primaryWindow {
			delete(b.lastWrites, session)
		}
	}
	return now + primaryWindow, nil
}

// Add implements Policy.
func (b *baselinePolicy) Add(_ float64, id uint32, c router.Command) {
	tracked := &baselineCommand{id: id, command: c}
	b.commands[id] = tracked
	b.startAttempt(tracked)
}

// ClientGone implements Policy.
func (b *baselinePolicy) ClientGone(_ float64, id uint32) { delete(b.commands, id) }

func (b *baselinePolicy) group(c *baselineCommand) *Group {
	return &b.instance.world.spec.Groups[c.command.Group]
}

// primary returns the index of the shard's primary in the endpoint list, or -1 if there is none. The omniscient policy
// gets the actual primary instead.
func (b *baselinePolicy) primary(shard int) int {
	for _, candidate := range b.instance.world.shards[shard] {
		if b.seesBackends && candidate.primary {
			return candidate.index
		}
	}
	for _, e := range b.endpoints {
		if e.Shard == shard && e.Primary {
			return e.Index
		}
	}
	return -1
}

// untriedReplicas returns the replicas of the command's shard that are ready in the list and that the command has not
// tried yet.
func (b *baselinePolicy) untriedReplicas(c *baselineCommand) (replicas []int) {
	for _, e := range b.endpoints {
		if e.Shard == c.command.Shard && !e.Primary && e.State == router.Ready && !slices.Contains(c.tried, e.Index) {
			replicas = append(replicas, e.Index)
		}
	}
	return replicas
}

// startAttempt sends the command to a backend, or ends it if there is none or it has used up its attempts.
func (b *baselinePolicy) startAttempt(c *baselineCommand) {
	endpoint := b.primary(c.command.Shard)
	if consistencies[b.group(c).Consistency] != router.PrimaryOnly {
		if candidates := b.choose(b, c); len(candidates) > 0 {
			endpoint = candidates[b.random.IntN(len(candidates))]
		}
	}
	if endpoint < 0 || len(c.tried) >= baselineMaxAttempts {
		delete(b.commands, c.id)
		if c.mayHaveRun && idempotencies[b.group(c).Idempotency] != router.Idempotent {
			b.instance.Fail(c.id)
		} else {
			b.instance.Reject(c.id, 0)
		}
		return
	}
	c.endpoint = endpoint
	c.tried = append(c.tried, endpoint)
	b.inFlight[endpoint]++
	b.instance.Forward(c.id, len(c.tried)-1, endpoint, c.command.ClientDeadline)
}

// AttemptEnded implements Policy.
func (b *baselinePolicy) AttemptEnded(now float64, id uint32, result router.AttemptResult) {
	c := b.commands[id]
	if c == nil {
		return
	}
	b.inFlight[c.endpoint]--
	if result.Result == router.Answered {
		if consistencies[b.group(c).Consistency] == router.PrimaryOnly {
			b.lastWrites[c.command.Session] = now
		}
		delete(b.commands, id)
		return
	}
	c.mayHaveRun = c.mayHaveRun || result.Result == router.ConnectionLost || result.Result == router.TimedOut
	if now < c.command.ClientDeadline && (!c.mayHaveRun || idempotencies[b.group(c).Idempotency] == router.Idempotent) {
		b.startAttempt(c)
		return
	}
	delete(b.commands, id)
	b.instance.Fail(id)
}

// backendStalled cancels the attempts at a backend that does not answer any more, if the policy is omniscient and the
// commands may be retried.
func (b *baselinePolicy) backendStalled(endpoint int) {
	if !b.seesBackends {
		return
	}
	var ids []uint32
	for id, c := range b.commands {
		if c.endpoint == endpoint && idempotencies[b.group(c).Idempotency] == router.Idempotent && len(c.tried) < baselineMaxAttempts {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		b.instance.Cancel(id, len(b.commands[id].tried)-1)
	}
}

// primaryOnly chooses no replica, so that reads go to the primary too.
func primaryOnly(*baselinePolicy, *baselineCommand) []int { return nil }

// anyReplica chooses all untried replicas, whatever the age of their data.
func anyReplica(b *baselinePolicy, c *baselineCommand) []int { return b.untriedReplicas(c) }

// primaryForAWindow chooses the primary for reads shortly after a write of their session, and all untried replicas for
// other reads.
func primaryForAWindow(b *baselinePolicy, c *baselineCommand) []int {
	if at, wrote := b.lastWrites[c.command.Session]; wrote && c.command.ArrivedAt-at <= primaryWindow {
		return nil
	}
	return b.untriedReplicas(c)
}

// roundRobin chooses the untried replicas in turn.
func roundRobin(b *baselinePolicy, c *baselineCommand) []int {
	candidates := b.untriedReplicas(c)
	if len(candidates) == 0 {
		return nil
	}
	b.nextReplica++
	return candidates[b.nextReplica%len(candidates) : b.nextReplica%len(candidates)+1]
}

// withFewestAttempts returns the candidates that have the fewest attempts from this router in flight. It overwrites
// candidates.
func (b *baselinePolicy) withFewestAttempts(candidates []int) []int {
	fewest := math.MaxInt
	for _, i := range candidates {
		fewest = min(fewest, b.inFlight[i])
	}
	return slices.DeleteFunc(candidates, func(i int) bool { return b.inFlight[i] > fewest })
}

// leastAttempts chooses the untried replicas with the fewest attempts from this router in flight.
func leastAttempts(b *baselinePolicy, c *baselineCommand) []int {
	return b.withFewestAttempts(b.untriedReplicas(c))
}

// twoChoices draws two untried replicas at random and chooses the one with fewer attempts in flight, or both if equal.
func twoChoices(b *baselinePolicy, c *baselineCommand) []int {
	candidates := b.untriedReplicas(c)
	for len(candidates) > 2 {
		i := b.random.IntN(len(candidates))
		candidates = slices.Delete(candidates, i, i+1)
	}
	return b.withFewestAttempts(candidates)
}

// omniscient chooses by the true state of the backends, which no router can know. It shows what the best policy could
// achieve. Of the working backends whose data is new enough for the read, the primary included, it chooses the one with
// the shortest queue relative to its speed.
func omniscient(b *baselinePolicy, c *baselineCommand) []int {
	w := b.instance.world
	simulated := b.instance.commands[c.id]
	best, shortest := []int(nil), math.Inf(1)
	for _, candidate := range w.shards[c.command.Shard] {
		if candidate.down || candidate.hung || candidate.cut || candidate.listedState != router.Ready ||
			slices.Contains(c.tried, candidate.index) {
			continue
		}
		if consistencies[b.group(c).Consistency] != router.Eventual && candidate.position(w.now) < math.Max(simulated.RequiredPosition, simulated.SeenPosition) {
			continue
		}
		// The backend may still start to drain or fall behind while the attempt is on the network.
		queue := float64(candidate.busySlots+len(candidate.queue)+candidate.inTransit+1) *
			candidate.slowdown / candidate.capacityShare(w.now)
		if queue < shortest {
			best, shortest = []int{candidate.index}, queue
		}
	}
	return best
}
