package world

import (
	"math"
	"math/rand/v2"
	"slices"

	"stoatdale.example/stoatdale/internal/router"
)

// simple is a policy that knows the list and its own dispatches. Reads go where choose says, all else to the listed
// primary; what never ran is tried again elsewhere, replayable commands also where they may have run.
type simple struct {
	r      *instance
	choose func(b *simple, s *standing) []int
	sees   bool // it knows at once what befalls members
	chance *rand.Rand
	list   []router.EndpointInfo
	out    []int // dispatches by node
	turn   int
	wrote  map[uint64]float64 // when sessions last wrote, for the window; emptied with each that has run out
	cmds   map[uint32]*standing
}

// standing is a command of a simple policy.
type standing struct {
	id    uint32
	cmd   router.Command
	ran   bool
	tried []int
	at    int
}

const (
	simpleTries  = 3
	simpleWindow = 1.0 // seconds after a session's write in which its reads go to the primary
)

func baseline(choose func(b *simple, s *standing) []int) func(r *instance) Policy {
	return func(r *instance) Policy {
		return &simple{
			r: r, choose: choose, chance: rand.New(rand.NewPCG(r.w.seed, name("simple")+uint64(r.me)<<8+uint64(r.boots))),
			out: make([]int, len(r.w.members)), wrote: map[uint64]float64{}, cmds: map[uint32]*standing{},
		}
	}
}

// UpdateEndpoints implements Policy.
func (b *simple) UpdateEndpoints(_ float64, l []router.EndpointInfo) { b.list = l }

// HealthChecked implements Policy: it asks nobody.
func (b *simple) HealthChecked(float64, int, bool, float64, float64, bool) {}

// ReviewDue implements Policy: it never waits.
func (b *simple) ReviewDue(now float64) (float64, []int) {
	for s, at := range b.wrote {
		if now-at > simpleWindow {
			delete(b.wrote, s)
		}
	}
	return now + simpleWindow, nil
}

// Add implements Policy.
func (b *simple) Add(_ float64, id uint32, c router.Command) {
	s := &standing{id: id, cmd: c}
	b.cmds[id] = s
	b.place(s)
}

// ClientGone implements Policy.
func (b *simple) ClientGone(_ float64, id uint32) { delete(b.cmds, id) }

func (b *simple) group(s *standing) *Group { return &b.r.w.spec.Groups[s.cmd.Group] }

func (b *simple) primary(set int) int {
	for _, m := range b.r.w.sets[set] {
		if b.sees && m.primary {
			return m.node
		}
	}
	for _, l := range b.list {
		if l.Shard == set && l.Primary {
			return l.Index
		}
	}
	return -1
}

// replicas that are listed ready and were not tried for this command.
func (b *simple) replicas(s *standing) (out []int) {
	for _, l := range b.list {
		if l.Shard == s.cmd.Shard && !l.Primary && l.State == router.Ready && !slices.Contains(s.tried, l.Index) {
			out = append(out, l.Index)
		}
	}
	return out
}

func (b *simple) place(s *standing) {
	at := b.primary(s.cmd.Shard)
	if needs[b.group(s).Need] != router.PrimaryOnly {
		if some := b.choose(b, s); len(some) > 0 {
			at = some[b.chance.IntN(len(some))]
		}
	}
	if at < 0 || len(s.tried) >= simpleTries {
		delete(b.cmds, s.id)
		if s.ran && effects[b.group(s).Effect] != router.Idempotent {
			b.r.Fail(s.id)
		} else {
			b.r.Reject(s.id, 0)
		}
		return
	}
	s.at = at
	s.tried = append(s.tried, at)
	b.out[at]++
	b.r.Forward(s.id, len(s.tried)-1, at, s.cmd.ClientDeadline)
}

// AttemptEnded implements Policy.
func (b *simple) AttemptEnded(now float64, id uint32, o router.AttemptResult) {
	s := b.cmds[id]
	if s == nil {
		return
	}
	b.out[s.at]--
	if o.Result == router.Answered {
		if needs[b.group(s).Need] == router.PrimaryOnly {
			b.wrote[s.cmd.Session] = now
		}
		delete(b.cmds, id)
		return
	}
	s.ran = s.ran || o.Result == router.ConnectionLost || o.Result == router.TimedOut
	if now < s.cmd.ClientDeadline && (!s.ran || effects[b.group(s).Effect] == router.Idempotent) {
		b.place(s)
		return
	}
	delete(b.cmds, id)
	b.r.Fail(id)
}

// befell tells the one that sees all that a member will not answer: what may go elsewhere does so at once.
func (b *simple) befell(node int) {
	if !b.sees {
		return
	}
	var ids []uint32
	for id, s := range b.cmds {
		if s.at == node && effects[b.group(s).Effect] == router.Idempotent && len(s.tried) < simpleTries {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		b.r.Cancel(id, len(b.cmds[id].tried)-1)
	}
}

// primaryOnly sends reads to the primary too.
func primaryOnly(*simple, *standing) []int { return nil }

func anyReplica(b *simple, s *standing) []int { return b.replicas(s) }

func primaryForAWindow(b *simple, s *standing) []int {
	if at, wrote := b.wrote[s.cmd.Session]; wrote && s.cmd.ArrivedAt-at <= simpleWindow {
		return nil
	}
	return b.replicas(s)
}

func roundRobin(b *simple, s *standing) []int {
	all := b.replicas(s)
	if len(all) == 0 {
		return nil
	}
	b.turn++
	return all[b.turn%len(all) : b.turn%len(all)+1]
}

// fewest are those with the fewest dispatches of this router.
func (b *simple) fewest(some []int) []int {
	least := math.MaxInt
	for _, i := range some {
		least = min(least, b.out[i])
	}
	return slices.DeleteFunc(some, func(i int) bool { return b.out[i] > least })
}

func leastDispatches(b *simple, s *standing) []int { return b.fewest(b.replicas(s)) }

func twoChoices(b *simple, s *standing) []int {
	all := b.replicas(s)
	for len(all) > 2 {
		i := b.chance.IntN(len(all))
		all = slices.Delete(all, i, i+1)
	}
	return b.fewest(all)
}

// seesAll knows every member's true state, which no router can: what could be had. Of those that cover a read and
// work, it takes the one whose queue is the shortest for its pace, the primary too.
func seesAll(b *simple, s *standing) []int {
	w := b.r.w
	c := b.r.commands[s.id]
	best, least := []int(nil), math.Inf(1)
	for _, m := range w.sets[s.cmd.Shard] {
		if m.down || m.hung || m.cut || m.told != router.Ready || slices.Contains(s.tried, m.node) {
			continue
		}
		if needs[b.group(s).Need] != router.Eventual && m.position(w.now) < math.Max(c.Needs, c.Seen) {
			continue
		}
		// One that drains or falls behind while the dispatch is on its way is the price of the way.
		queue := float64(m.busy+len(m.queue)+m.coming+1) * m.slow / m.share(w.now)
		if queue < least {
			best, least = []int{m.node}, queue
		}
	}
	return best
}
