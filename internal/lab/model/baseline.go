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
	choose       func(b *baselinePolicy, s *baselineCommand) []int
	seesBackends bool // whether it knows the true state of backends without delay
	random       *rand.Rand
	endpoints    []router.EndpointInfo
	inFlight     []int // attempts in flight by backend
	nextReplica  int
	lastWrites   map[uint64]float64 // time of the last write of each session, deleted after primaryWindow
	commands     map[uint32]*baselineCommand
}

// baselineCommand is a command that a baseline policy has not finished.
type baselineCommand struct {
	id         uint32
	command    router.Command
	mayHaveRun bool
	tried      []int
	endpoint   int
}

const (
	baselineMaxAttempts = 3
	primaryWindow       = 1.0 // seconds after a session's write during which the policy window sends its reads to the primary
)

func newBaseline(choose func(b *baselinePolicy, s *baselineCommand) []int) func(r *instance) Policy {
	return func(r *instance) Policy {
		return &baselinePolicy{
			instance: r, choose: choose, random: rand.New(rand.NewPCG(r.world.seed, hashName("simple")+uint64(r.index)<<8+uint64(r.starts))),
			inFlight: make([]int, len(r.world.backends)), lastWrites: map[uint64]float64{}, commands: map[uint32]*baselineCommand{},
		}
	}
}

// UpdateEndpoints implements Policy.
func (b *baselinePolicy) UpdateEndpoints(_ float64, l []router.EndpointInfo) { b.endpoints = l }

// HealthChecked implements Policy. Baselines make no health checks.
func (b *baselinePolicy) HealthChecked(float64, int, bool, float64, float64, bool) {}

// ReviewDue implements Policy. It only deletes old writes, because commands never wait for a review.
func (b *baselinePolicy) ReviewDue(now float64) (float64, []int) {
	for s, at := range b.lastWrites {
		if now-at > primaryWindow {
			delete(b.lastWrites, s)
		}
	}
	return now + primaryWindow, nil
}

// Add implements Policy.
func (b *baselinePolicy) Add(_ float64, id uint32, c router.Command) {
	s := &baselineCommand{id: id, command: c}
	b.commands[id] = s
	b.startAttempt(s)
}

// ClientGone implements Policy.
func (b *baselinePolicy) ClientGone(_ float64, id uint32) { delete(b.commands, id) }

func (b *baselinePolicy) group(s *baselineCommand) *Group {
	return &b.instance.world.spec.Groups[s.command.Group]
}

// primary returns the index of the shard's primary, or -1 if the list has none.
func (b *baselinePolicy) primary(shard int) int {
	for _, m := range b.instance.world.shards[shard] {
		if b.seesBackends && m.primary {
			return m.index
		}
	}
	for _, l := range b.endpoints {
		if l.Shard == shard && l.Primary {
			return l.Index
		}
	}
	return -1
}

// untriedReplicas returns the replicas of the command's shard that are ready in the list and that the command has not
// tried yet.
func (b *baselinePolicy) untriedReplicas(s *baselineCommand) (out []int) {
	for _, l := range b.endpoints {
		if l.Shard == s.command.Shard && !l.Primary && l.State == router.Ready && !slices.Contains(s.tried, l.Index) {
			out = append(out, l.Index)
		}
	}
	return out
}

// startAttempt sends the command to a backend, or ends it if there is none or it has used up its attempts.
func (b *baselinePolicy) startAttempt(s *baselineCommand) {
	at := b.primary(s.command.Shard)
	if consistencies[b.group(s).Need] != router.PrimaryOnly {
		if some := b.choose(b, s); len(some) > 0 {
			at = some[b.random.IntN(len(some))]
		}
	}
	if at < 0 || len(s.tried) >= baselineMaxAttempts {
		delete(b.commands, s.id)
		if s.mayHaveRun && idempotencies[b.group(s).Effect] != router.Idempotent {
			b.instance.Fail(s.id)
		} else {
			b.instance.Reject(s.id, 0)
		}
		return
	}
	s.endpoint = at
	s.tried = append(s.tried, at)
	b.inFlight[at]++
	b.instance.Forward(s.id, len(s.tried)-1, at, s.command.ClientDeadline)
}

// AttemptEnded implements Policy.
func (b *baselinePolicy) AttemptEnded(now float64, id uint32, o router.AttemptResult) {
	s := b.commands[id]
	if s == nil {
		return
	}
	b.inFlight[s.endpoint]--
	if o.Result == router.Answered {
		if consistencies[b.group(s).Need] == router.PrimaryOnly {
			b.lastWrites[s.command.Session] = now
		}
		delete(b.commands, id)
		return
	}
	s.mayHaveRun = s.mayHaveRun || o.Result == router.ConnectionLost || o.Result == router.TimedOut
	if now < s.command.ClientDeadline && (!s.mayHaveRun || idempotencies[b.group(s).Effect] == router.Idempotent) {
		b.startAttempt(s)
		return
	}
	delete(b.commands, id)
	b.instance.Fail(id)
}

// backendStalled cancels the attempts at a backend that does not answer any more, if the policy is omniscient and the
// commands may be retried.
func (b *baselinePolicy) backendStalled(node int) {
	if !b.seesBackends {
		return
	}
	var ids []uint32
	for id, s := range b.commands {
		if s.endpoint == node && idempotencies[b.group(s).Effect] == router.Idempotent && len(s.tried) < baselineMaxAttempts {
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
func anyReplica(b *baselinePolicy, s *baselineCommand) []int { return b.untriedReplicas(s) }

// primaryForAWindow chooses the primary for reads shortly after a write of their session, and all untried replicas for
// other reads.
func primaryForAWindow(b *baselinePolicy, s *baselineCommand) []int {
	if at, wrote := b.lastWrites[s.command.Session]; wrote && s.command.ArrivedAt-at <= primaryWindow {
		return nil
	}
	return b.untriedReplicas(s)
}

// roundRobin chooses the untried replicas in turn.
func roundRobin(b *baselinePolicy, s *baselineCommand) []int {
	all := b.untriedReplicas(s)
	if len(all) == 0 {
		return nil
	}
	b.nextReplica++
	return all[b.nextReplica%len(all) : b.nextReplica%len(all)+1]
}

// withFewestAttempts are those with the withFewestAttempts attempts of this router.
func (b *baselinePolicy) withFewestAttempts(some []int) []int {
	least := math.MaxInt
	for _, i := range some {
		least = min(least, b.inFlight[i])
	}
	return slices.DeleteFunc(some, func(i int) bool { return b.inFlight[i] > least })
}

// leastAttempts chooses the untried replicas with the fewest attempts from this router in flight.
func leastAttempts(b *baselinePolicy, s *baselineCommand) []int {
	return b.withFewestAttempts(b.untriedReplicas(s))
}

// twoChoices draws two untried replicas at random and chooses the one with fewer attempts in flight, or both if equal.
func twoChoices(b *baselinePolicy, s *baselineCommand) []int {
	all := b.untriedReplicas(s)
	for len(all) > 2 {
		i := b.random.IntN(len(all))
		all = slices.Delete(all, i, i+1)
	}
	return b.withFewestAttempts(all)
}

// omniscient chooses by the true state of the backends, which no router can know. It shows what the best policy could
// achieve. Of the working backends whose data is new enough for the read, the primary included, it chooses the one with
// the shortest queue relative to its speed.
func omniscient(b *baselinePolicy, s *baselineCommand) []int {
	w := b.instance.world
	c := b.instance.commands[s.id]
	best, least := []int(nil), math.Inf(1)
	for _, m := range w.shards[s.command.Shard] {
		if m.down || m.hung || m.cut || m.listedState != router.Ready || slices.Contains(s.tried, m.index) {
			continue
		}
		if consistencies[b.group(s).Need] != router.Eventual && m.position(w.now) < math.Max(c.Needs, c.Seen) {
			continue
		}
		// The backend may still start to drain or fall behind while the attempt is on the network.
		queue := float64(m.busySlots+len(m.queue)+m.inTransit+1) * m.slowdown / m.capacityShare(w.now)
		if queue < least {
			best, least = []int{m.index}, queue
		}
	}
	return best
}
