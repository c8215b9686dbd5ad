package model

import (
	"math"
	"math/rand/v2"
	"slices"

	"stoatdale.example/stoatdale/internal/router"
)

// baselinePolicy knows the endpoint list and its own attempts. Reads go where choose says, all else to the listed
// primary; an attempt that never ran is retried elsewhere, idempotent commands also if they may have run.
type baselinePolicy struct {
	instance     *instance
	choose       func(b *baselinePolicy, s *baselineCommand) []int
	seesBackends bool // it knows the true state of backends at once
	random       *rand.Rand
	list         []router.EndpointInfo
	out          []int // attempts by node
	turn         int
	wrote        map[uint64]float64 // when sessions last wrote, for the window; emptied with each that has run out
	commands     map[uint32]*baselineCommand
}

// baselineCommand is a command that a baseline policy has not finished.
type baselineCommand struct {
	id      uint32
	command router.Command
	ran     bool
	tried   []int
	at      int
}

const (
	baselineMaxAttempts = 3
	primaryWindow       = 1.0 // seconds after a session's write in which its reads go to the primary
)

func newBaseline(choose func(b *baselinePolicy, s *baselineCommand) []int) func(r *instance) Policy {
	return func(r *instance) Policy {
		return &baselinePolicy{
			instance: r, choose: choose, random: rand.New(rand.NewPCG(r.world.seed, hashName("simple")+uint64(r.index)<<8+uint64(r.boots))),
			out: make([]int, len(r.world.backends)), wrote: map[uint64]float64{}, commands: map[uint32]*baselineCommand{},
		}
	}
}

// UpdateEndpoints implements Policy.
func (b *baselinePolicy) UpdateEndpoints(_ float64, l []router.EndpointInfo) { b.list = l }

// HealthChecked implements Policy: a baseline makes no health checks.
func (b *baselinePolicy) HealthChecked(float64, int, bool, float64, float64, bool) {}

// ReviewDue implements Policy: no command waits for a review; only old writes are forgotten.
func (b *baselinePolicy) ReviewDue(now float64) (float64, []int) {
	for s, at := range b.wrote {
		if now-at > primaryWindow {
			delete(b.wrote, s)
		}
	}
	return now + primaryWindow, nil
}

// Add implements Policy.
func (b *baselinePolicy) Add(_ float64, id uint32, c router.Command) {
	s := &baselineCommand{id: id, command: c}
	b.commands[id] = s
	b.place(s)
}

// ClientGone implements Policy.
func (b *baselinePolicy) ClientGone(_ float64, id uint32) { delete(b.commands, id) }

func (b *baselinePolicy) group(s *baselineCommand) *Group {
	return &b.instance.world.spec.Groups[s.command.Group]
}

func (b *baselinePolicy) primary(shard int) int {
	for _, m := range b.instance.world.shards[shard] {
		if b.seesBackends && m.primary {
			return m.node
		}
	}
	for _, l := range b.list {
		if l.Shard == shard && l.Primary {
			return l.Index
		}
	}
	return -1
}

// replicas that are listed ready and were not tried for this command.
func (b *baselinePolicy) replicas(s *baselineCommand) (out []int) {
	for _, l := range b.list {
		if l.Shard == s.command.Shard && !l.Primary && l.State == router.Ready && !slices.Contains(s.tried, l.Index) {
			out = append(out, l.Index)
		}
	}
	return out
}

func (b *baselinePolicy) place(s *baselineCommand) {
	at := b.primary(s.command.Shard)
	if consistencies[b.group(s).Need] != router.PrimaryOnly {
		if some := b.choose(b, s); len(some) > 0 {
			at = some[b.random.IntN(len(some))]
		}
	}
	if at < 0 || len(s.tried) >= baselineMaxAttempts {
		delete(b.commands, s.id)
		if s.ran && idempotencies[b.group(s).Effect] != router.Idempotent {
			b.instance.Fail(s.id)
		} else {
			b.instance.Reject(s.id, 0)
		}
		return
	}
	s.at = at
	s.tried = append(s.tried, at)
	b.out[at]++
	b.instance.Forward(s.id, len(s.tried)-1, at, s.command.ClientDeadline)
}

// AttemptEnded implements Policy.
func (b *baselinePolicy) AttemptEnded(now float64, id uint32, o router.AttemptResult) {
	s := b.commands[id]
	if s == nil {
		return
	}
	b.out[s.at]--
	if o.Result == router.Answered {
		if consistencies[b.group(s).Need] == router.PrimaryOnly {
			b.wrote[s.command.Session] = now
		}
		delete(b.commands, id)
		return
	}
	s.ran = s.ran || o.Result == router.ConnectionLost || o.Result == router.TimedOut
	if now < s.command.ClientDeadline && (!s.ran || idempotencies[b.group(s).Effect] == router.Idempotent) {
		b.place(s)
		return
	}
	delete(b.commands, id)
	b.instance.Fail(id)
}

// backendStalled cancels attempts at a backend that will not answer, if the policy is omniscient and they may be retried.
func (b *baselinePolicy) backendStalled(node int) {
	if !b.seesBackends {
		return
	}
	var ids []uint32
	for id, s := range b.commands {
		if s.at == node && idempotencies[b.group(s).Effect] == router.Idempotent && len(s.tried) < baselineMaxAttempts {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		b.instance.Cancel(id, len(b.commands[id].tried)-1)
	}
}

// primaryOnly sends reads to the primary too.
func primaryOnly(*baselinePolicy, *baselineCommand) []int { return nil }

func anyReplica(b *baselinePolicy, s *baselineCommand) []int { return b.replicas(s) }

func primaryForAWindow(b *baselinePolicy, s *baselineCommand) []int {
	if at, wrote := b.wrote[s.command.Session]; wrote && s.command.ArrivedAt-at <= primaryWindow {
		return nil
	}
	return b.replicas(s)
}

func roundRobin(b *baselinePolicy, s *baselineCommand) []int {
	all := b.replicas(s)
	if len(all) == 0 {
		return nil
	}
	b.turn++
	return all[b.turn%len(all) : b.turn%len(all)+1]
}

// fewest are those with the fewest attempts of this router.
func (b *baselinePolicy) fewest(some []int) []int {
	least := math.MaxInt
	for _, i := range some {
		least = min(least, b.out[i])
	}
	return slices.DeleteFunc(some, func(i int) bool { return b.out[i] > least })
}

func leastDispatches(b *baselinePolicy, s *baselineCommand) []int { return b.fewest(b.replicas(s)) }

func twoChoices(b *baselinePolicy, s *baselineCommand) []int {
	all := b.replicas(s)
	for len(all) > 2 {
		i := b.random.IntN(len(all))
		all = slices.Delete(all, i, i+1)
	}
	return b.fewest(all)
}

// omniscient knows every backend's true state, which no router can: what could be had. Of those that cover a read and
// work, it takes the one whose queue is the shortest for its pace, the primary too.
func omniscient(b *baselinePolicy, s *baselineCommand) []int {
	w := b.instance.world
	c := b.instance.commands[s.id]
	best, least := []int(nil), math.Inf(1)
	for _, m := range w.shards[s.command.Shard] {
		if m.down || m.hung || m.cut || m.listedState != router.Ready || slices.Contains(s.tried, m.node) {
			continue
		}
		if consistencies[b.group(s).Need] != router.Eventual && m.position(w.now) < math.Max(c.RequiredPosition, c.SeenPosition) {
			continue
		}
		// One that drains or falls behind while the attempt is on its way is the price of the way.
		queue := float64(m.busy+len(m.queue)+m.inTransit+1) * m.slow / m.capacityShare(w.now)
		if queue < least {
			best, least = []int{m.node}, queue
		}
	}
	return best
}
