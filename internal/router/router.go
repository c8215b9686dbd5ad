// Package router decides where each command of a sharded, replicated database goes.
//
// New takes a Config. Route answers where to send a command (or not yet, or never), AttemptEnded what to do
// once an attempt has ended, Maintain how long until the next look and which maintenance is due. The others
// feed facts in. Values are plain (types.go), times seconds, ids small indices; docs/design.md has the why.
package router

import (
	"cmp"
	"math"
	"slices"
)

// Tuned values: shares and multiples of what the site states or the router sees.
const (
	spillShare  = 0.2     // of this router's reads in the last second may go to the primary
	spillSlots  = 10      // in which that second is counted
	catchUp     = 0.1     // seconds that a read waits for a replica
	holdShare   = 0.5     // of its client's time after which a command that was never sent is given up
	pollShare   = 0.05    // of catchUp between two looks at a waiting command
	crowdSlack  = 0.1     // of the response target by which a member may be slower than the best
	lowCut      = 0.4     // of the queueing room that the least beneficial group has
	roomShare   = 0.4     // of the tightest bearable queueing time; the rest waits at the router
	blindShare  = 0.3     // more of it where targets bring fewer dispatches than
	blindUnder  = 0.5     // this to a member: nothing is seen of its queue then
	leaveShare  = 0.5     // of a group's clients leave before their time: then only their stay counts
	repeatCut   = 0.2     // of its room that a client's repeat has
	memorySpan  = 4       // longest response targets over which a node's pace fades; its health does in one,
	evidence    = 2       // or in the time of so many dispatches to it, where these are rare
	quietAlone  = 8.0     // mean answer times, shared by the dispatches since the last answer, beyond one
	lostAfter   = 5.0     // foretold answer times after which an answer that others overtook is lost
	mostRuns    = 2       // dispatches without an answer, after which a command is itself at fault
	mostStretch = 3.0     // times what was foretold that one answer tells of at most
	failMargin  = 0.35    // a share of failures this far above the fleet's median is doubted: not one alone
	trialShare  = 0.05    // of this router's commands may be trials of doubted nodes
	lastResort  = 0.25    // of the longest target after a failure until a doubted node is better than none
	priorWeight = 2.0     // answers' worth of the fleet's mean in a node's own mean
	groupWeight = 0.05    // of one answer in the fleet's means
	dialWeight  = 0.2     // of one failed connection in what a new one costs
	freeOut     = 2       // dispatches out at a node that need no room: its pace must show at some load,
	freeOver    = 3       // as long as as many routers do not add up to more than this
	workBatch   = 8.0     // answers whose mean stands for a command group's work if it is the least yet
	workSpan    = 25      // longest targets in which it follows batches that are above it
	coldMargin  = 0.5     // of the overload factor: what a cold node gets over its share of a warm one's rate
	coldBurst   = 0.25    // of the fall span whose budget is given out at once
	sessionCap  = 1 << 16 // sessions remembered before the older half is let go
	keepSpans   = 8       // longest client timeouts after which they, and members that are gone, are let go
	probeShare  = 0.25    // probes a command for positions, and as many for signs of life, unasked
	askShare    = 0.0625  // of the asking rule's span before a failed list call is repeated
	workShare   = 0.25    // of its target that a group's work is taken for until answers tell
	testShare   = 0.25    // of the longest target between two role tests of one member, of few routers
	roundOff    = 1.0 / (1 << 23)
)

// group is a command group's row.
type group struct {
	CommandGroup
	work              float64 // mean time of an answer without a queue
	batch, batched    float64 // answers since work was last weighed: time, number
	weighedAt         float64 // when the last whole batch was
	left, stay        float64 // share of clients that leave early; after how long
	stretch           float64 // its answer times over what queues alone foretell
	room, primaryRoom float64 // queueing time that it may meet, by benefit
	asked, answered   float64 // first tries, and answers within the target
	weight            float64 // of its benefit: more for the worst-served
}

// node is what this router knows of a member.
type node struct {
	set, zone                           int
	drains, listPrimary                 bool
	started, fadedAt                    float64
	heardAt, pos                        float64 // last sign with a position, and the highest position told
	lag                                 float64 // how far behind it was then
	role                                Role    // by its own word
	roleAt                              float64
	goneAt                              float64 // when the list dropped it; +Inf: it did not
	out, legs                           int     // dispatches in its foretold queue, and all that are out
	idle                                int     // connections that should stand open without a dispatch
	unheard                             int     // dispatches since its last answer
	owed                                float64 // their work
	since                               float64 // when the first of those was sent
	lat, places, done                   float64 // fading sums over answers: time, places in its queue, number
	bad, all                            float64 // fading sums: failures, outcomes
	sent                                float64 // fading number of dispatches
	lastGood, trialAt, testAt, probedAt float64
	budget, budgetAt                    float64 // dispatches that a cold node may still get
	fullAt                              float64 // when it last turned a command away as full
	shunned                             bool    // was doubted, and has not answered since
	downAt, lostAt                      float64 // first and latest failed contact since its last answer, or +Inf
}

// blank is a node of which nothing is known, a reused row too.
var blank = node{set: -1, goneAt: math.Inf(1), pos: math.Inf(-1), heardAt: math.Inf(-1), lag: math.Inf(1),
	roleAt: math.Inf(-1), lastGood: math.Inf(-1), started: math.Inf(-1), downAt: math.Inf(1),
	probedAt: math.Inf(-1), testAt: math.Inf(-1), fullAt: math.Inf(-1)}

// set is the nodes that hold the same data.
type set struct {
	nodes              []int
	floor              float64 // the highest position owed to a session that was let go
	top, oldTop        float64 // the highest of the young and old generations
	lat, done, fadedAt float64 // fading sums over its nodes' answers (time, number), as of then
}

// session is a session's two positions, and how many of its writes are out.
type session struct{ token, seen, out float64 }

// Router is one router's knowledge.
type Router struct {
	site                        Config
	groups                      []group
	nodes                       []node
	sets                        []set
	z, w                        uint32
	span, longest               float64 // the longest target of what needs fresh data, and client timeout of all
	fade                        float64 // over which records fade
	gap                         float64 // between two looks at a node: the tightest bound or session target
	lat                         float64 // fleet's mean answer time
	heard                       float64 // answers so far
	places                      float64 // and of this router's places in a queue
	base                        float64 // fleet's mean work
	median                      float64 // fleet's median share of failures
	dial                        float64 // what a new connection costs, in time beyond an answer's
	warmRate                    float64 // dispatches a second that a warm node gets from this router
	cmds                        float64 // fading number of commands
	look                        float64 // between two probes of a member that is not heard,
	retry                       float64 // and of a doubted one
	tryGap                      float64 // between two trials of doubted nodes
	wanted                      []int   // nodes whose position a read in hand asks for
	waitedAt, triedAt, turnedAt float64
	// Sessions in two generations: the older is dropped whole, and raises its sets' floors.
	young, old               map[uint64]session
	reads, spills            [spillSlots]float64
	slotAt                   int64
	following                bool
	followAt, followFailures float64 // when the list may be asked for again; failures in a row
	spare                    []int
	sound                    int // replicas that are not doubted and may cover the read that was looked at last
}

// New returns a router that knows nothing but its site.
func New(s Config, seed uint64) *Router {
	r := &Router{site: s, z: uint32(seed) | 1, w: uint32(seed>>32) | 1, young: map[uint64]session{},
		old: map[uint64]session{}, waitedAt: math.Inf(-1), gap: math.Inf(1)}
	for _, g := range s.CommandGroups {
		r.groups = append(r.groups, group{CommandGroup: g, stretch: 1, weight: 1, room: g.LatencyObjective,
			primaryRoom: g.LatencyObjective})
		r.longest = math.Max(r.longest, g.ClientTimeout)
		if g.Consistency != Eventual {
			r.span = math.Max(r.span, g.LatencyObjective)
		}
		switch g.Consistency {
		case BoundedStaleness:
			r.gap = math.Min(r.gap, g.MaxStaleness)
		case SessionConsistent:
			r.gap = math.Min(r.gap, g.LatencyObjective)
		}
	}
	if r.span == 0 {
		r.span = r.longest
	}
	r.site.RouterCount, r.site.MaxAttempts = max(1, s.RouterCount), max(1, s.MaxAttempts)
	r.site.PollWindow = math.Max(s.PollWindow, r.span) // where it is not stated the list is not flooded
	r.gap = math.Max(s.BatchInterval, math.Min(r.gap, r.span))
	r.fade = memorySpan * r.span
	return r
}

// chance draws from [0, n) with a multiply-with-carry generator.
func (r *Router) chance(n int) int {
	r.z = 36969*(r.z&0xffff) + r.z>>16
	r.w = 18000*(r.w&0xffff) + r.w>>16
	return int((r.z<<16 + r.w) % uint32(n))
}

// draw draws from [0, 1).
func (r *Router) draw() float64 { return float64(r.chance(1<<16)) / (1 << 16) }

// UpdateEndpoints takes in the list: the whole of it or only what changed.
func (r *Router) UpdateEndpoints(now float64, list []EndpointInfo, whole, cached bool) {
	if !cached {
		r.following, r.followFailures = true, 0
	}
	if whole {
		for i := range r.nodes {
			r.nodes[i].goneAt = math.Min(r.nodes[i].goneAt, now)
		}
	}
	for _, l := range list {
		for len(r.nodes) <= l.Index {
			r.nodes = append(r.nodes, blank)
		}
		for len(r.sets) <= l.Shard {
			r.sets = append(r.sets, set{floor: math.Inf(-1), top: math.Inf(-1), oldTop: math.Inf(-1)})
		}
		n := &r.nodes[l.Index]
		if n.set != l.Shard {
			r.unplace(l.Index)
			n.set = l.Shard
			r.sets[l.Shard].nodes = append(r.sets[l.Shard].nodes, l.Index)
		}
		n.zone, n.listPrimary, n.started = l.Zone, l.Primary, math.Max(n.started, l.StartedAt)
		if l.State == Removed {
			n.goneAt = math.Min(n.goneAt, now)
			continue
		}
		n.drains, n.goneAt = l.State == Draining, math.Inf(1)
	}
}

// unplace takes a node out of its set.
func (r *Router) unplace(at int) {
	if s := r.nodes[at].set; s >= 0 {
		r.sets[s].nodes = slices.DeleteFunc(r.sets[s].nodes, func(i int) bool { return i == at })
	}
}

// EndpointListFailed says that a list call failed. The next waits, twice as long each time, so that the
// list service is not flooded when it can least bear it.
func (r *Router) EndpointListFailed(now float64) {
	r.following = false
	gap := math.Min(askShare*r.site.PollWindow*math.Exp2(r.followFailures), r.site.PollWindow/2)
	r.followFailures++
	r.followAt = now + gap*(1+r.draw())/2
}

// HealthChecked takes in a probe's result. Only its report speaks for the node's data. An error tells nothing, and
// silence less than an answer meanwhile: hosts that served while probes failed counted as started anew.
func (r *Router) HealthChecked(now float64, at int, ending Result, took, position float64, primary bool) {
	n := &r.nodes[at]
	switch ending {
	case Answered:
	case Errored, Overloaded, NotServed:
		return
	default:
		if n.lastGood < now-took {
			n.unreached(now)
		}
		return
	}
	r.revive(now, n)
	n.idle = max(1, n.idle) // the probe's connection stands
	if position < 0 || !r.site.LoadReports {
		return
	}
	position *= 1 - roundOff
	role, seenAt := RoleReplica, now-took
	if primary {
		role, seenAt = RolePrimary, r.site.PositionEpoch+position
	}
	r.tell(n, seenAt, position, role)
}

// tell notes a position and a role that held at a time.
func (r *Router) tell(n *node, at, position float64, role Role) {
	if position >= 0 {
		p := r.site.PositionEpoch + position
		n.pos = math.Max(n.pos, p)
		if at > n.heardAt {
			n.heardAt, n.lag = at, math.Max(0, at-p)
		}
	}
	if role != RoleUnknown && at >= n.roleAt {
		n.role, n.roleAt = role, at
	}
}

func (n *node) unreached(now float64) { n.downAt, n.lostAt = math.Min(n.downAt, now), now }

// revive sees a node answer that was out of reach for longer than chance, by two failed contacts: it may have
// started anew before any list says so, and counts as cold. Harm: one behind a broken link does too.
func (r *Router) revive(now float64, n *node) {
	if n.lostAt-n.downAt > r.span {
		n.started = math.Max(n.started, now)
	}
	if !math.IsInf(n.downAt, 1) {
		// What was sent to it meanwhile never reached it, and its silence would shun it again at once.
		n.shunned, n.bad, n.unheard, n.downAt = false, 0, 0, math.Inf(1)
	}
}

// Route answers where to send a command, or not yet, or never. What nobody could take by half of its
// client's time is given back while the client can still try elsewhere. Harm: some would have found a place.
func (r *Router) Route(now float64, c *Command) Decision {
	g := &r.groups[c.Group]
	if !c.asked {
		c.asked, c.need = true, math.Inf(-1)
		r.cmds++
		if !c.ClientRetry {
			g.asked++
		}
	}
	if i := slices.IndexFunc(c.Attempts, func(l Attempt) bool { return l.InFlight }); i >= 0 {
		return r.review(now, c, g, i)
	}
	if now >= c.ClientDeadline || c.Shard < 0 || c.Shard >= len(r.sets) || len(c.Attempts) >= r.site.MaxAttempts ||
		c.runs >= mostRuns || !r.mayGoAgain(now, c, g) || now+g.work*(1-crowdSlack) > r.horizon(c, g) ||
		!c.wrote && now+2*r.site.BatchInterval > c.ArrivedAt+holdShare*(c.ClientDeadline-c.ArrivedAt) {
		return r.never(now, c, g)
	}
	at, spilled := r.choose(now, c, g)
	// A keyed repeat may have to stay in its zone: it would not be known elsewhere.
	if at < 0 || c.runs > 0 && g.Idempotency == IdempotentWithKey && g.KeyScope == ZoneScope &&
		r.nodes[at].zone != r.nodes[c.ranOn].zone {
		return Decision{Action: Wait, ReviewAt: now + math.Max(r.site.BatchInterval, pollShare*catchUp), CancelAttempt: -1}
	}
	return r.send(now, c, g, at, spilled)
}

// owed is the position that a session's read must cover if it is sent now: also what the session was told
// while it waited. A write that is out may stand in the log already, with its answer on its way.
func (r *Router) owed(now float64, c *Command) float64 {
	s := r.session(c.Session)
	need := math.Max(math.Max(s.token, s.seen), r.sets[c.Shard].floor)
	if r.site.ClientTokens && c.LastWriteAge != 0 {
		need = math.Max(need, c.ArrivedAt-c.LastWriteAge)
	} else if s.out > 0 && !r.site.ClientTokens {
		need = now
	}
	return need
}

// note keeps what a session has written or seen, and that one more of its writes is out, or one less.
func (r *Router) note(c *Command, g *group, out, at float64) {
	s := r.session(c.Session)
	switch {
	case c.Session != 0 && g.Consistency == PrimaryOnly:
		s.out, s.token = math.Max(0, s.out+out), math.Max(s.token, at)
	case c.Session != 0 && g.Consistency == SessionConsistent && !math.IsInf(at, -1):
		s.seen = math.Max(s.seen, at)
	default:
		return
	}
	r.young[c.Session], r.sets[c.Shard].top = s, math.Max(r.sets[c.Shard].top, at)
}

// session is what is remembered of a session, if anything.
func (r *Router) session(id uint64) session {
	for _, generation := range []map[uint64]session{r.young, r.old} {
		if s, ok := generation[id]; ok {
			return s
		}
	}
	return session{token: math.Inf(-1), seen: math.Inf(-1)}
}

// horizon is how long a command is worth having: its target, and with late benefit a part of
// the time after it.
func (r *Router) horizon(c *Command, g *group) float64 {
	if g.left > leaveShare {
		return math.Min(c.ArrivedAt+math.Min(g.LatencyObjective, g.stay), c.ClientDeadline)
	}
	end := c.ArrivedAt + g.LatencyObjective
	return math.Min(end+g.LateValue*math.Max(0, c.ClientDeadline-end), c.ClientDeadline)
}

// mayGoAgain keeps rule 2: a repeat only of what is known not to have run, or within bounds.
func (r *Router) mayGoAgain(now float64, c *Command, g *group) bool {
	// A connection may still have to be made, so a keyed repeat must leave by that much earlier.
	return c.runs == 0 || g.Idempotency == Idempotent ||
		g.Idempotency == IdempotentWithKey && now+r.site.ConnectTimeout+r.site.BatchInterval < c.ranAt+g.IdempotencyWindow
}

// never is the final answer of a command given up: throttled where a retry does no harm.
func (r *Router) never(now float64, c *Command, g *group) Decision {
	if c.runs > 0 && (g.Idempotency == NonIdempotent || g.Idempotency == IdempotentWithKey && g.KeyScope != GlobalScope) {
		return Decision{Action: Fail, CancelAttempt: -1}
	}
	a := Decision{Action: Reject, CancelAttempt: -1}
	// A try that comes too late for the target should come late; one in time may come at once.
	if r.site.RetryAfterAllowed && now+2*g.work*(1-crowdSlack) > c.ArrivedAt+g.LatencyObjective {
		a.RetryAfter = r.site.MaxRetryAfter
	}
	return a
}

// usable says whether rule 3 lets anything new go to a node. With soft removal being gone does not bind.
func (r *Router) usable(n *node) bool {
	return n.set >= 0 && !n.drains && (math.IsInf(n.goneAt, 1) || r.site.SoftRemoval)
}

// choose picks a node, or -1, and tells a read spilled onto the primary.
func (r *Router) choose(now float64, c *Command, g *group) (at int, spilled bool) {
	p := r.primary(c.Shard)
	open := p >= 0 && !r.doubted(now, p)
	switch {
	case open && (g.Consistency == PrimaryOnly || g.Consistency == Linearizable):
		return r.fit(now, c, g, p), false
	case g.Consistency == PrimaryOnly:
		return r.seekPrimary(now, c, p), false
	case g.Consistency == Linearizable:
		c.need = c.ArrivedAt // a replica that covers it will do
	case g.Consistency == BoundedStaleness:
		c.need = now - g.MaxStaleness
	case g.Consistency == SessionConsistent:
		c.need = r.owed(now, c)
	}
	if at = r.pick(now, c, g, c.need); at >= 0 {
		return at, false
	}
	if open && r.maySpill(now) && !r.crowded(now, c, g, p) {
		if at = r.fit(now, c, g, p); at >= 0 {
			return at, true
		}
	}
	futile := !r.ask(now, c, p) || c.missed
	if r.site.ReplicasCheckReads && (!futile || !open) {
		if at = r.leastBehind(now, c, g); at >= 0 {
			return at, false
		}
	}
	// No longer than half of the time in which it earns: an answer must fit in after the wait.
	if open && (futile || now-c.ArrivedAt >= math.Min(catchUp, holdShare*(r.horizon(c, g)-c.ArrivedAt))) {
		return r.fit(now, c, g, p), true
	}
	return -1, false
}

// ask has one replica, this router's own, probed for a read that none is known to cover: all routers spread
// evenly, and keeping all fresh cost more probes than commands. It tells whether any may cover in time. One
// that is cold and has its share already is not asked: reads found that it covers, and waited for it in vain.
func (r *Router) ask(now float64, c *Command, primary int) (may bool) {
	r.spare = r.spare[:0]
	for _, i := range r.sets[c.Shard].nodes {
		if n := &r.nodes[i]; i != primary && r.usable(n) && !n.shunned && n.mayCover(now, c.need) {
			may = true
			if r.coldRoom(now, i) {
				r.spare = append(r.spare, i)
			}
		}
	}
	at := r.gather(c.Shard)
	r.narrow(func(i int) bool { return i != at })
	r.near()
	if len(r.spare) > 0 {
		i := r.spare[r.site.Instance%len(r.spare)]
		n := &r.nodes[i]
		known := n.pos >= c.need || now-math.Max(n.heardAt, n.probedAt) < catchUp
		if r.site.LoadReports && !r.site.ReplicasCheckReads && !known { // a guarded one tells by turning the read away
			r.probe(now, i)
		}
	}
	return may
}

// crowded says that a replica which may yet cover a read foretells an answer so much earlier than the primary
// that the read rather waits for it: reads that spill from hundreds of routers, each of which knows few
// positions, overran primaries with writes to do. Harm: such a read waits for a probe, or all of its wait.
func (r *Router) crowded(now float64, c *Command, g *group, primary int) bool {
	most := r.sojourn(primary, g) - crowdSlack*g.LatencyObjective
	return slices.ContainsFunc(r.sets[c.Shard].nodes, func(i int) bool {
		n := &r.nodes[i]
		return i != primary && r.usable(n) && !n.shunned && n.mayCover(now, c.need) && r.sojourn(i, g) < most
	})
}

// probe notes a probe for the upkeep that is due next.
func (r *Router) probe(now float64, at int) {
	if r.site.HealthChecks {
		r.nodes[at].probedAt = now
		r.wanted = append(r.wanted, at)
	}
}

// mayCover says whether a member can have applied up to a position within the wait, at twice the log's pace.
func (n *node) mayCover(now, need float64) bool {
	return math.IsInf(n.heardAt, -1) || need <= n.pos+2*(now+catchUp-n.heardAt)
}

// primary is the member whose own word for being the primary is the newest; the list counts
// only for a member that was never heard, since it may be seconds late or frozen.
func (r *Router) primary(s int) int {
	best, bestAt := -1, math.Inf(-1)
	for _, i := range r.sets[s].nodes {
		if n := &r.nodes[i]; r.usable(n) && n.role == RolePrimary && n.roleAt > bestAt {
			best, bestAt = i, n.roleAt
		} else if r.usable(n) && best < 0 && n.role == RoleUnknown && n.listPrimary {
			best = i
		}
	}
	return best
}

// seekPrimary tests members with a write where no primary is known, or only a doubted one, since a miss is
// harmless and comes at once.
func (r *Router) seekPrimary(now float64, c *Command, p int) int {
	r.spare = r.spare[:0]
	for _, i := range r.sets[c.Shard].nodes {
		n := &r.nodes[i]
		if r.usable(n) && i != p && !r.doubted(now, i) && now >= n.testAt && len(c.Attempts) < r.site.MaxAttempts-1 &&
			now-n.roleAt > testShare*r.span && r.coldRoom(now, i) {
			r.spare = append(r.spare, i)
		}
	}
	if len(r.spare) == 0 {
		// Few answers tell little, and there is no other primary. Where none is known it may be a doubted member:
		// with these left out, a set refused its writes until a read happened to try its new primary.
		for _, i := range r.sets[c.Shard].nodes {
			n := &r.nodes[i]
			if (i == p || p < 0 && r.usable(n) && r.doubted(now, i)) && r.lastHope(now, n) && r.coldRoom(now, i) {
				n.trialAt = now + r.span
				return i
			}
		}
		return -1
	}
	at := r.spare[r.chance(len(r.spare))]
	// A hundred routers' tests push members that come back cold over.
	r.nodes[at].testAt = now + testShare*r.span*math.Max(1, math.Sqrt(float64(r.site.RouterCount))/2)
	return at
}

// pick spreads reads uniformly over the replicas that cover a position, answer, and are not crowded.
func (r *Router) pick(now float64, c *Command, g *group, need float64) int {
	if trial := r.qualify(now, c, g, need); trial >= 0 {
		n := &r.nodes[trial]
		// What was out of reach is left to probes. Where all are doubted the one that failed longest ago is
		// taken, or many bad members at once would leave nobody to send to, and nobody to learn from.
		due := now >= n.trialAt && now-c.ArrivedAt < crowdSlack*g.LatencyObjective && now-r.triedAt >= r.tryGap &&
			(math.IsInf(n.downAt, 1) || !r.site.HealthChecks)
		if due || r.sound == 0 && r.lastHope(now, n) {
			n.trialAt, r.triedAt = now+r.span, now
			return trial
		}
	}
	if at := r.gather(c.Shard); r.heavy(g) {
		r.spare = slices.DeleteFunc(r.spare, func(i int) bool { return i != at })
	} else {
		r.narrow(func(i int) bool { return i != at })
	}
	return r.spread(now, c, g)
}

// gather is the first listed replica within reach, or -1. A heavy read can stop a replica's log while it
// runs: spread evenly such reads kept all replicas behind. All routers know one order, so heavy reads meet
// there and others, as long as another will do, do not. Harm: one is crowded, and of no use to fresh reads.
func (r *Router) gather(s int) int {
	if !slices.ContainsFunc(r.groups, func(g group) bool { return r.heavy(&g) }) {
		return -1
	}
	p := r.primary(s)
	for _, i := range r.sets[s].nodes {
		if n := &r.nodes[i]; i != p && r.usable(n) && math.IsInf(n.downAt, 1) {
			return i
		}
	}
	return -1
}

// heavy says that any age will do for a group and that its target is beyond that of all that need fresh data.
func (r *Router) heavy(g *group) bool { return g.LatencyObjective > r.span }

// lastHope says that a doubted node may be asked for want of a better one.
func (r *Router) lastHope(now float64, n *node) bool {
	return n.out == 0 && math.IsInf(n.downAt, 1) && now >= n.trialAt-(1-lastResort)*r.span
}

// leastBehind serves sites whose replicas check reads themselves.
func (r *Router) leastBehind(now float64, c *Command, g *group) int {
	r.qualify(now, c, g, math.Inf(-1))
	r.spare = slices.DeleteFunc(r.spare, func(i int) bool { // each is tried once
		return slices.ContainsFunc(c.Attempts, func(l Attempt) bool { return l.Endpoint == i })
	})
	least := math.Inf(1)
	for _, i := range r.spare {
		least = math.Min(least, r.behind(now, i))
	}
	r.spare = slices.DeleteFunc(r.spare, func(i int) bool { return r.behind(now, i) > least+catchUp/2 })
	return r.spread(now, c, g)
}

// behind is how far a replica lagged lately; one not heard of late may have caught up since.
func (r *Router) behind(now float64, at int) float64 {
	if n := &r.nodes[at]; now-n.heardAt <= r.span {
		return n.lag
	}
	return 0
}

// qualify makes the spare nodes those that may take a read of the position needed. It returns the
// doubted node that is due for a trial first, or -1: a doubted primary too, whose data is excused.
func (r *Router) qualify(now float64, c *Command, g *group, need float64) int {
	p, trial := r.primary(c.Shard), -1
	r.spare, r.sound = r.spare[:0], 0
	for _, i := range r.sets[c.Shard].nodes {
		n := &r.nodes[i]
		doubted := r.doubted(now, i)
		if i != p && !doubted && r.usable(n) && n.mayCover(now, need) {
			r.sound++
		}
		if i == p && !doubted || !r.usable(n) || n.pos < need && i != p || !r.coldRoom(now, i) {
			continue
		}
		if !doubted {
			r.spare = append(r.spare, i)
		} else if n.out == 0 && g.Idempotency == Idempotent && (trial < 0 || n.trialAt < r.nodes[trial].trialAt) {
			trial = i
		}
	}
	return trial
}

// spread draws from the spare nodes that are not crowded, or gives -1 if the best has no room.
func (r *Router) spread(now float64, c *Command, g *group) int {
	if len(r.spare) == 0 {
		return -1
	}
	best := slices.MinFunc(r.spare, func(a, b int) int { return cmp.Compare(r.sojourn(a, g), r.sojourn(b, g)) })
	if !r.fits(now, c, g, best, g.room) {
		return -1
	}
	most := r.sojourn(best, g) + crowdSlack*g.LatencyObjective
	r.spare = slices.DeleteFunc(r.spare, func(i int) bool { return r.sojourn(i, g) > most })
	// Hundreds of routers that each spread a few reads over all hosts open a connection for most of them, and
	// hear of a position twice nowhere. Harm: a router with several times the mean traffic leans on few.
	if r.near(); r.blind() {
		r.narrow(func(i int) bool { return r.nodes[i].idle > 0 })
	}
	return r.spare[r.chance(len(r.spare))]
}

// blind says that a target brings so few dispatches to a member that nothing is seen of it in time.
func (r *Router) blind() bool { return r.warmRate*r.span < blindUnder }

// near keeps a blind router to its own zone: a slow way to another is over before it has seen it. Harm: load
// follows clients' zones until members there are foretold as crowded.
func (r *Router) near() {
	if r.blind() {
		r.narrow(func(i int) bool { return r.nodes[i].zone == r.site.Zone })
	}
}

// narrow keeps the spare nodes that are better, if any are.
func (r *Router) narrow(better func(int) bool) {
	if slices.ContainsFunc(r.spare, better) {
		r.spare = slices.DeleteFunc(r.spare, func(i int) bool { return !better(i) })
	}
}

// fit returns a primary if it has room for the command in time, else -1.
func (r *Router) fit(now float64, c *Command, g *group, at int) int {
	if !r.coldRoom(now, at) || !r.fits(now, c, g, at, g.primaryRoom) {
		return -1
	}
	return at
}

// fits sheds by benefit: a group joins only queues that leave room for what carries more benefit for its
// work, and nothing is sent too late. A client's repeat has spent its target on the first try.
func (r *Router) fits(now float64, c *Command, g *group, at int, room float64) bool {
	if c.ClientRetry && g.left <= leaveShare {
		room *= repeatCut
	}
	n := &r.nodes[at]
	pace := r.pace(n, n.out)
	// Many routers' free places are taken in turn: each rests for as long as the others need.
	rest := pace * (float64(r.site.RouterCount)/freeOver - 1)
	free := n.out < freeOut && n.out*r.site.RouterCount < freeOver && now-n.lastGood >= rest
	// A queue that was full has a place again when some of it is done.
	return (pace-r.base <= room || free) && now-n.fullAt >= r.base && now+r.sojourn(at, g) <= r.horizon(c, g)
}

// pace foretells a node's answer time over all command groups. The other routers' part of the
// queue shows only in its answer times; this router's own, one in so many, goes with what is out.
func (r *Router) pace(n *node, ahead int) float64 {
	places := (n.places + priorWeight*r.places) / (n.done + priorWeight)
	others := math.Sqrt(float64(r.site.RouterCount)) - 1
	return r.mean(n) * (others + float64(ahead+1)/(places+1)) / (others + 1)
}

// mean is a node's mean answer time, leaning on its set's while there are few, and that on the fleet's. Thin
// routers hear a node every ten seconds, its set every second: leaning on the fleet alone, hundreds went on
// sending to sets that answered nothing in time. Harm: one slow node slows its set's others a little.
func (r *Router) mean(n *node) float64 {
	s := &r.sets[n.set]
	return (n.lat + priorWeight*(s.lat+priorWeight*r.lat)/(s.done+priorWeight)) / (n.done + priorWeight)
}

// failing is a node's share of failures.
func (n *node) failing() float64 { return n.bad / (n.all + priorWeight) }

// sojourn foretells a node's answer time for a command group.
func (r *Router) sojourn(at int, g *group) float64 {
	n := &r.nodes[at]
	t := math.Max(g.work, r.pace(n, n.out)*g.stretch)
	if n.idle == 0 && r.dear() {
		t += r.dial
	}
	return t
}

// dear says that new connections cost much, so that those that stand are worth keeping.
func (r *Router) dear() bool { return r.dial >= crowdSlack*r.span }

// doubted says that a node takes work and answers none, or fails more than the fleet does; if hung it keeps
// its position. It stays so until it answers: a trial at a time, or a probe where it could not be reached.
func (r *Router) doubted(now float64, at int) bool {
	n := &r.nodes[at]
	r.fadeNode(now, n)
	// One that is not out any more tells little: hundreds of routers that each hear a node every few seconds
	// shut out a seventh of a healthy fleet on it.
	silent := n.unheard > 1 || n.legs > 0 && n.unheard > 0
	if silent && now-n.since > r.patience(n) || n.failing() > r.median+failMargin {
		n.shunned = true
	}
	return n.shunned
}

// patience is how long a node may stay silent after a dispatch; lone lost answers do not count, nor silence
// that costs little of the target: where answers are quick a long one among them doubted healthy nodes.
func (r *Router) patience(n *node) float64 {
	mean, unheard := cmp.Or(r.mean(n), workShare*r.span), float64(max(1, n.unheard))
	// A record of a second is no silence among answers of a tenth.
	mean += math.Max(0, n.owed/unheard-cmp.Or(r.base, mean))
	return math.Max(crowdSlack*r.span, mean*(1+quietAlone/unheard))
}

// workOf is a command group's work, or before its first answer what its target makes likely.
func (r *Router) workOf(g *group) float64 { return cmp.Or(g.work, workShare*g.LatencyObjective) }

// fadeNode lets the records of a node and of its set fade.
func (r *Router) fadeNode(now float64, n *node) {
	if now > n.fadedAt {
		f, quick := math.Exp((n.fadedAt-now)/r.fade), math.Exp(memorySpan*(n.fadedAt-now)/r.fade)
		n.lat, n.places, n.done, n.sent = n.lat*f, n.places*f, n.done*f, n.sent*f
		n.bad, n.all = n.bad*quick, n.all*quick
		n.fadedAt = now
	}
	if s := &r.sets[n.set]; now > s.fadedAt {
		f := math.Exp((s.fadedAt - now) / (memorySpan * r.span))
		s.lat, s.done, s.fadedAt = s.lat*f, s.done*f, now
	}
}

func (r *Router) blame(now float64, n *node) {
	r.fadeNode(now, n)
	n.bad++
	n.all++
	n.trialAt = now + r.span
}

// coldRoom keeps rule 4: a node that has just started gets its share of what a warm one gets
// from this router, as far as its capacity has grown at the slowest. All routers do the same.
func (r *Router) coldRoom(now float64, at int) bool {
	n := &r.nodes[at]
	age := now - n.started
	if age >= r.site.SlowStart {
		return true
	}
	part := r.site.SlowStartFloor + (1-r.site.SlowStartFloor)*math.Max(0, age)/r.site.SlowStart
	// A router that has just started, or meets no warm node, has no rate to go by: a node does one command at a
	// time at least. Where half of the fleet was new, hundreds of such routers left it idle.
	least := coldMargin * r.site.OverloadFactor * part / cmp.Or(r.base, r.site.SlowStart)
	least = math.Max(1/r.site.OverloadWindow, least)
	rate := math.Max(coldMargin*r.site.OverloadFactor*part*r.warmRate, least/float64(r.site.RouterCount))
	// Rounded at random and never saved up: the parts of a dispatch that many routers have add up
	// to the whole. One apiece at once, from a hundred routers, pushed a cold node over.
	if span := coldBurst * r.site.OverloadWindow; now-n.budgetAt >= span {
		n.budget, n.budgetAt = math.Floor(rate*span+r.draw()), now
	}
	return n.budget >= 1
}

// maySpill keeps reads on the primary to one in five of the last second's.
func (r *Router) maySpill(now float64) bool {
	r.turnSlots(now)
	var reads, spills float64
	for i := range r.reads {
		reads += r.reads[i]
		spills += r.spills[i]
	}
	return spills+1 <= spillShare*(reads+1)
}

func (r *Router) turnSlots(now float64) {
	at := int64(math.Floor(now * spillSlots))
	for k := max(r.slotAt+1, at-spillSlots+1); k <= at; k++ {
		r.reads[k%spillSlots], r.spills[k%spillSlots] = 0, 0
	}
	r.slotAt = max(r.slotAt, at)
}

// send books a dispatch.
func (r *Router) send(now float64, c *Command, g *group, at int, spilled bool) Decision {
	n := &r.nodes[at]
	if n.unheard++; n.unheard == 1 {
		n.since, n.owed = now, 0
	}
	n.owed += r.workOf(g)
	c.Attempts = append(c.Attempts, Attempt{Endpoint: at, SentAt: now, InFlight: true, ahead: n.out, fresh: n.idle == 0})
	n.idle = max(0, n.idle-1)
	r.fadeNode(now, n)
	n.out, n.legs, n.sent = n.out+1, n.legs+1, n.sent+1
	n.budget = math.Max(0, n.budget-1)
	r.note(c, g, 1, math.Inf(-1))
	if g.Consistency != PrimaryOnly && len(c.Attempts) == 1 {
		r.turnSlots(now)
		r.reads[r.slotAt%spillSlots]++
		if spilled {
			r.spills[r.slotAt%spillSlots]++
		}
	}
	until := c.ClientDeadline
	if c.runs > 0 && g.Idempotency == IdempotentWithKey {
		until = math.Min(until, c.ranAt+g.IdempotencyWindow) // what is not whole there by then must not run any more
	}
	if g.Idempotency == Idempotent && g.LateValue == 0 && !r.dear() {
		until = math.Min(until, c.ArrivedAt+g.LatencyObjective)
	}
	return Decision{Action: Forward, Endpoint: at, AttemptDeadline: until, CancelAttempt: -1,
		ReviewAt: now + math.Min(r.patience(n), lostAfter*r.sojourn(at, g)) + r.site.BatchInterval}
}

// review looks at a dispatch that is still out. One that is overdue counts against its node
// (else a hang is never seen); one at a doubted node is called off where a repeat is allowed.
func (r *Router) review(now float64, c *Command, g *group, i int) Decision {
	l := &c.Attempts[i]
	n := &r.nodes[l.Endpoint]
	wait := r.patience(n)
	a := Decision{Action: Wait, ReviewAt: now + wait/2, CancelAttempt: -1}
	if now-l.SentAt > wait && !l.late && n.unheard > 0 && now-n.since > wait {
		l.late = true
		r.blame(now, n)
	}
	// Its node has answered others since, so this answer is lost, or the command very costly: it
	// holds no place in the foretold queue any more.
	if lost := l.SentAt + lostAfter*r.sojourn(l.Endpoint, g); now < lost {
		a.ReviewAt = math.Min(a.ReviewAt, lost+r.site.BatchInterval)
	} else if !l.lost && n.lastGood > l.SentAt {
		l.lost = true
		n.out--
	}
	// With as much time left as it was given, a lost answer is worth another try, at the same node too: it
	// is its connection that fell silent. Harm: work done twice.
	lost := l.lost && now+lostAfter*r.sojourn(l.Endpoint, g) < r.horizon(c, g)
	if r.site.CanCancel && !l.recall && !r.dear() && g.Idempotency != NonIdempotent && len(c.Attempts) < r.site.MaxAttempts &&
		(lost || l.late && r.doubted(now, l.Endpoint) && r.elsewhere(now, c, g, l.Endpoint)) {
		l.recall = true
		a.CancelAttempt = i
	}
	return a
}

// elsewhere says whether another member may take a command that is called off.
func (r *Router) elsewhere(now float64, c *Command, g *group, at int) bool {
	p := r.primary(c.Shard)
	return slices.ContainsFunc(r.sets[c.Shard].nodes, func(i int) bool {
		return i != at && (g.Consistency != PrimaryOnly || i == p) && r.usable(&r.nodes[i]) && !r.doubted(now, i)
	})
}

// ClientGone takes in that the client of an unfinished command has gone, and calls its dispatch off.
// Where many leave before their time, only what can be answered before then is worth sending.
func (r *Router) ClientGone(now float64, c *Command) int {
	g := &r.groups[c.Group]
	if age := now - c.ArrivedAt; now < c.ClientDeadline-r.site.BatchInterval && age > r.site.BatchInterval {
		g.stay = cmp.Or(g.stay, age)
		g.left += groupWeight * (1 - g.left)
		g.stay += groupWeight * (age - g.stay)
	}
	return r.callOff(c)
}

// callOff names a dispatch that nobody waits for any more, or -1.
func (r *Router) callOff(c *Command) int {
	for i := range c.Attempts {
		if l := &c.Attempts[i]; l.InFlight && !l.recall && r.site.CanCancel {
			l.recall = true
			return i
		}
	}
	return -1
}

// AttemptEnded takes in how a dispatch ended and says what to do.
func (r *Router) AttemptEnded(now float64, c *Command, o AttemptResult) Decision {
	g := &r.groups[c.Group]
	l := &c.Attempts[o.Attempt]
	n := &r.nodes[l.Endpoint]
	l.InFlight, n.legs = false, n.legs-1
	r.note(c, g, -1, math.Inf(-1))
	c.wrote = c.wrote || o.Result != ConnectFailed && o.Result != NeverSent
	if !l.lost {
		n.out--
	}
	r.fadeNode(now, n)
	switch o.Result {
	case Answered, Errored, Overloaded, NotServed:
		n.idle++
		if n.shunned && o.Result != Overloaded {
			n.shunned, n.bad = false, n.bad/2
		}
		n.unheard = 0
		r.revive(now, n)
		position := o.Position
		if g.Consistency == PrimaryOnly && o.Result == Answered {
			position = -1 // the commit's, not the node's
		}
		r.tell(n, now, position, o.Role)
	}
	// Where new connections are slow and costly those that stand are worth more than an even spread;
	// a dispatch that ran out of time or was called off loses its own.
	if l.fresh && o.Result == Answered {
		r.dial += groupWeight * (o.Elapsed - r.mean(n) - r.dial)
	} else if o.Result == ConnectFailed && now-n.lastGood < r.fade/memorySpan {
		r.dial += dialWeight * (o.Elapsed - r.dial)
	}
	switch o.Result {
	case Answered:
		r.learn(now, c, g, n, l, o)
	case Errored, ConnectionLost, TimedOut, ConnectFailed:
		if !l.late {
			r.blame(now, n)
		}
		if o.Result == ConnectFailed {
			n.unreached(now)
		}
	case Overloaded: // a failure like others: a host that turns all away at once would look idle and draw more
		r.blame(now, n)
		n.fullAt = now
		r.measure(g, n, l, math.Max(o.Elapsed, g.LatencyObjective))
	case NotServed:
		n.all++
		c.missed = c.missed || g.Consistency != PrimaryOnly
	}
	switch o.Result {
	case TimedOut, Canceled:
		// Its answer would have taken as much again in the mean. Where clients left early what they left had
		// counted as quick, and hundreds of routers went on sending to a primary that answered nobody.
		r.measure(g, n, l, o.Elapsed+r.pace(n, l.ahead))
		fallthrough
	case Errored, ConnectionLost:
		if c.runs++; c.runs == 1 {
			c.ranAt, c.ranOn = l.SentAt, l.Endpoint
		}
		r.note(c, g, 0, now) // it may have been answered: a connection can break under its answer
	}
	if o.Final {
		return Decision{Action: None, CancelAttempt: r.callOff(c)}
	}
	return r.Route(now, c)
}

// measure adds an answer time, or the least that it would have been.
func (r *Router) measure(g *group, n *node, l *Attempt, took float64) {
	if seen := r.pace(n, l.ahead); seen > 0 {
		g.stretch += groupWeight * (math.Min(took/seen, mostStretch) - g.stretch)
	}
	n.lat += r.asMean(g, took)
	n.places += float64(l.ahead + 1)
	n.done++
	s := &r.sets[n.set]
	s.lat, s.done = s.lat+r.asMean(g, took), s.done+1
}

// asMean is an answer time as of a command of mean work. What a heavier one takes beyond its own work is
// chance of that work more than queue, so it counts in proportion.
func (r *Router) asMean(g *group, took float64) float64 {
	return math.Max(0, r.base+(took-g.work)*math.Min(1, r.base/math.Max(g.work, roundOff)))
}

// learn takes in an answer: the node's health and pace, the session's positions.
func (r *Router) learn(now float64, c *Command, g *group, n *node, l *Attempt, o AttemptResult) {
	g.left -= groupWeight * g.left
	if now <= c.ArrivedAt+g.LatencyObjective {
		g.answered++
	}
	n.all++
	n.lastGood = now
	// The least mean time lately is the work: under load every answer holds a queue too.
	g.batch += o.Elapsed
	g.batched++
	switch mean := g.batch / g.batched; {
	case g.batched >= workBatch:
		drift := 1 - math.Exp((g.weighedAt-now)/(workSpan*r.span))
		g.work = math.Min(mean, g.work+drift*(mean-g.work))
		g.batch, g.batched, g.weighedAt = 0, 0, now
	case g.weighedAt == 0:
		g.work = (g.batch + priorWeight*workShare*g.LatencyObjective) / (g.batched + priorWeight)
	}
	if !r.heavy(g) {
		r.heard++ // the first answers count alike, or the first alone would stand for minutes
		w := math.Max(groupWeight, 1/r.heard)
		r.base += w * (g.work - r.base)
		r.lat += w * (math.Min(r.asMean(g, o.Elapsed), mostStretch*r.base) - r.lat)
		r.places += w * (float64(l.ahead+1) - r.places)
	}
	r.measure(g, n, l, o.Elapsed)
	if o.Position >= 0 {
		r.note(c, g, 0, r.site.PositionEpoch+o.Position)
	} else if g.Consistency == PrimaryOnly {
		r.note(c, g, 0, now)
	}
}

// Maintain says how long until the next look, and what upkeep is due now.
func (r *Router) Maintain(now float64) (float64, Maintenance) {
	var up Maintenance
	if r.site.PollList && !r.following && now >= r.followAt {
		up.Subscribe = true
		r.followAt = now + r.site.PollWindow/2
	}
	if now-r.waitedAt >= r.gap/2 {
		// What clients left must be seen again and again: commands throttled before then tell nothing.
		f := math.Exp((r.waitedAt - now) / r.fade)
		for i := range r.groups {
			r.groups[i].left *= f
		}
		r.dial, r.cmds, r.waitedAt = r.dial*f, r.cmds*f, now
		r.weigh(now)
		r.forget(now)
		for i := range r.nodes {
			n := &r.nodes[i]
			if n.set < 0 {
				continue
			}
			doubted := r.doubted(now, i)
			// A flapping list, a cold start and what is still out are over by then; the row may be another's.
			if n.legs == 0 && now-math.Max(n.goneAt, n.lastGood) > r.site.SlowStart+keepSpans*r.longest {
				r.unplace(i)
				*n = blank
				up.Release = append(up.Release, i)
			}
			// A position that was not told lately, or a sign of life from a doubted node. It tells nothing of one that
			// was reached and is silent or failing: a trial does.
			away, due := !math.IsInf(n.downAt, 1), r.look
			if doubted {
				due = math.Max(r.look, r.retry)
			}
			if r.usable(n) && (doubted && away && now-n.probedAt >= r.retry || r.site.LoadReports &&
				!math.IsInf(r.look, 1) && now-math.Max(n.heardAt, n.probedAt) >= due) {
				r.probe(now, i)
			}
		}
	}
	up.HealthCheck, r.wanted = append(up.HealthCheck, r.wanted...), r.wanted[:0]
	if r.site.PollList && !r.following { // a list that was missed binds, however rarely members are looked at
		return math.Max(0, math.Min(r.waitedAt+r.gap/2, r.followAt)-now), up
	}
	return r.waitedAt + r.gap/2 - now, up
}

// weigh brings the fleet's figures up to date: the median share of failures, a warm node's
// rate, and each command group's share of its target by benefit for work.
func (r *Router) weigh(now float64) {
	var shares []float64
	var rate, warm, shunned float64
	for i := range r.nodes {
		n := &r.nodes[i]
		if !r.usable(n) {
			continue
		}
		r.fadeNode(now, n)
		shares = append(shares, n.failing())
		if n.shunned {
			shunned++
		} else if now-n.started >= r.site.SlowStart {
			rate += n.sent / r.fade
			warm++
		}
	}
	if len(shares) > 0 {
		slices.Sort(shares)
		r.median = shares[(len(shares)-1)/2]
	}
	if warm > 0 { // it falls no faster than a node warms: where most is doubted little is sent
		r.warmRate = math.Max(rate/warm, r.warmRate*(1-r.gap/r.site.SlowStart))
	}
	every := 1 / math.Max(r.cmds/r.fade, 1/r.longest)
	// A position is looked up unasked only where each member gets a command while it is good. Hundreds of
	// routers with little traffic each asked every host in the first second, and few of the answers were used.
	if r.look = math.Max(r.gap, float64(len(shares))*every/probeShare); float64(len(shares))*every > r.gap {
		r.look = math.Inf(1)
	}
	r.retry = math.Max(r.span/2, shunned*every/probeShare)
	r.tryGap = every / trialShare
	r.fade = memorySpan * math.Max(r.span, math.Min(evidence/r.warmRate, r.longest))
	r.favour()
	for i := range r.groups {
		r.groups[i].room = r.roomOf(i, false)
		r.groups[i].primaryRoom = r.roomOf(i, true)
	}
}

// favour gives the worst-served group the weight that the site's goal gives it beside the whole.
func (r *Router) favour() {
	worst, least, sum, benefit := -1, math.Inf(1), 0.0, 0.0
	for i := range r.groups {
		g := &r.groups[i]
		g.weight = 1
		served := (g.answered + priorWeight) / (g.asked + priorWeight)
		sum += g.answered * g.PriorityWeight
		benefit += g.asked * g.PriorityWeight
		if served < least {
			worst, least = i, served
		}
	}
	if worst >= 0 && least < sum/math.Max(benefit, 1) && r.site.TotalWeight > 0 {
		g := &r.groups[worst]
		g.weight += r.site.WorstGroupWeight * benefit / (r.site.TotalWeight * g.asked * g.PriorityWeight)
	}
}

// density is a command group's benefit for its work.
func (r *Router) density(g *group) float64 {
	return g.weight * g.PriorityWeight / math.Max(g.work, r.site.BatchInterval+roundOff)
}

// roomOf is the queueing time that a group may meet: what the groups of at least its density
// can bear, and less the less its own is. Writes count where the queue is a primary's.
func (r *Router) roomOf(i int, primary bool) float64 {
	g := &r.groups[i]
	room, top, own := math.Inf(1), roundOff, r.density(g)
	for k := range r.groups {
		h := &r.groups[k]
		if h.Consistency == PrimaryOnly && !primary {
			continue
		}
		d := r.density(h)
		top = math.Max(top, d)
		if d >= own {
			room = math.Min(room, math.Max(0, h.LatencyObjective-h.work))
		}
	}
	share := roomShare + blindShare*math.Max(0, 1-r.warmRate*r.span/blindUnder)
	return share * room * (lowCut + (1-lowCut)*math.Min(1, own/top))
}

// forget lets the older generation of sessions go; their positions become their sets' floors.
func (r *Router) forget(now float64) {
	if now-r.turnedAt < keepSpans*r.longest && len(r.young) < sessionCap/2 {
		return
	}
	r.turnedAt = now
	for i := range r.sets {
		s := &r.sets[i]
		s.floor, s.oldTop, s.top = math.Max(s.floor, s.oldTop), s.top, math.Inf(-1)
	}
	for i := range r.groups { // how groups are served is remembered about as long
		r.groups[i].asked, r.groups[i].answered = r.groups[i].asked/2, r.groups[i].answered/2
	}
	r.old, r.young = r.young, map[uint64]session{}
}
