// Package core joins the parts: what fronts, members and discovery have gathered in a turn goes to the
// module in one go, and what comes back is carried out. It maps names to the module's small indices and
// decides nothing.
package core

import (
	"math"
	"net/netip"
	"strconv"
	"strings"

	"github.com/rs/zerolog"

	"stoatdale.example/stoatdale/internal/buffer"
	"stoatdale.example/stoatdale/internal/count"
	"stoatdale.example/stoatdale/internal/discovery"
	"stoatdale.example/stoatdale/internal/hand"
	"stoatdale.example/stoatdale/internal/index"
	"stoatdale.example/stoatdale/internal/loop"
	"stoatdale.example/stoatdale/internal/member"
	"stoatdale.example/stoatdale/internal/pg"
	"stoatdale.example/stoatdale/internal/roster"
	"stoatdale.example/stoatdale/internal/router"
	"stoatdale.example/stoatdale/internal/site"
)

// Command is a command as a front took it. The front fills the first part.
type Command struct {
	Name     string // the client's, unlike that of any other command in hand
	Group    int
	Set      int // by Core.Set
	Session  uint64
	Repeat   bool
	WriteAge float64 // seconds since the session's last write, below 0 if ahead of this clock; 0: not told
	GiveUp   float64 // the client stops waiting
	Text     buffer.Chain
	From, To int // where the digits of the time to wait stand in the text
	Front    Front
	Owner    any // the front's own

	id       uint32
	dispatch *member.Dispatch // the one that is out
	done     bool
}

// Front gives a command its one final answer. It may call Take and Left meanwhile.
type Front interface {
	Answered(c *Command, row *buffer.Chain) // the row is the front's to free
	Throttled(c *Command, comeBack float64) // seconds; 0: no advice
	Failed(c *Command)
}

// outcome is the end of a dispatch.
type outcome struct {
	d      *member.Dispatch
	ending router.Result
	took   float64
	answer pg.Answer
}

type probed struct {
	node   int
	ending router.Result
	took   float64
	report string
}

type listed struct {
	list           roster.List
	cached, failed bool
}

// Core is one router.
type Core struct {
	loop    *loop.Loop
	told    *site.Settings
	router  *router.Router
	hand    *hand.Tracker
	seed    uint64
	members *member.Members
	watch   *discovery.Watch
	count   *count.Counters
	log     zerolog.Logger

	zeroMs float64 // Unix milliseconds from which positions count
	ahead  float64
	nodes  *index.Table[string] // emptied when the module lets a member go
	sets   *index.Table[int]    // as many as the deployment has
	zones  *index.Table[string] // and these

	cmds map[uint32]*Command // emptied, as ids is, by final answers
	ids  map[string]bool     // the clients' names of the commands in hand
	last uint32

	// What was gathered in this turn, and what came back.
	lists   []listed
	probes  []probed
	ends    []outcome
	left    [][]*Command // by client
	taken   []*Command
	recalls []*member.Dispatch
	sends   []*member.Dispatch
}

// New returns a router that knows the list it had last.
func New(s *site.Config, l *loop.Loop, blocks *buffer.Pool, c *count.Counters, log zerolog.Logger) *Core {
	o := &Core{loop: l, told: &s.Settings, count: c, log: log, ahead: s.Limits.Durations.MaxClockSkew, nodes: index.New[string](),
		sets: index.New[int](), zones: index.New[string](), cmds: map[uint32]*Command{}, ids: map[string]bool{}}
	for _, z := range s.Settings.Zones {
		o.zones.Intern(z)
	}
	// Positions count from a while before the start. The module takes a negative one as not told, and rounds
	// reports by a share of theirs: this is far enough back for any replica worth reading, and near enough that
	// the rounding stays under a millisecond.
	o.zeroMs = float64(l.StartedAt().UnixMilli()) - s.Limits.Durations.PositionEpoch*1000
	o.seed = s.Seed
	o.router = o.fresh()
	o.hand = hand.New(o.router, o)
	o.members = member.New(l, &s.Limits, blocks, o, c)
	o.watch = discovery.New(l, &s.Limits, s.Discovery, s.Settings.PollList, blocks, o, log)
	o.lists = append(o.lists, listed{list: s.KnownList, cached: true})
	if !s.Settings.PollList {
		o.watch.Poll()
	}
	return o
}

// fresh is a router under the settings, which knows nothing yet.
func (o *Core) fresh() *router.Router {
	told := o.told.Config
	told.PositionEpoch = o.clock(o.zeroMs)
	if told.Zone >= 0 && told.Zone < len(o.told.Zones) {
		told.Zone = o.zones.Intern(o.told.Zones[told.Zone]) // zones keep their index when the settings' order changes
	}
	return router.New(told, o.seed)
}

// Move has the settings as they are now decide about every command from here on. What has been taken must have
// been settled under the earlier ones; it ends under them.
func (o *Core) Move() {
	o.router = o.fresh()
	o.hand.SwitchRouter(o.loop.Now(), o.router)
}

// clock turns a Unix time in milliseconds into the module's.
func (o *Core) clock(unixMs float64) float64 {
	return (unixMs*1e6 - float64(o.loop.StartedAt().UnixNano())) / 1e9
}

// Age is how long ago a Unix time in seconds was.
func (o *Core) Age(unix float64) float64 { return o.loop.Now() - o.clock(unix*1000) }

// Set is the index of the set that a client's cluster names, and false if no list has named it.
func (o *Core) Set(cluster int) (int, bool) {
	return o.sets.Lookup(cluster)
}

// Open says whether a command of this name is in hand. Another must not be taken then: members would see a
// second copy of the first.
func (o *Core) Open(name string) bool { return o.ids[name] }

// Take takes a command; it gets one final answer.
func (o *Core) Take(c *Command) {
	o.last++
	c.id = o.last
	o.cmds[c.id] = c
	o.ids[c.Name] = true
	o.taken = append(o.taken, c)
	o.count.Received++
	o.count.ReceivedByGroup[c.Group]++
}

// Left takes in that the client of these commands has gone.
func (o *Core) Left(cs []*Command) { o.left = append(o.left, cs) }

// InHand is the number of commands without a final answer.
func (o *Core) InHand() int { return len(o.cmds) }

// Members is the number of connections to members.
func (o *Core) Members() int { return o.members.Open() }

// Known is the number of members that have a row, and of rows.
func (o *Core) Known() (members, rows int) { return o.nodes.Len(), o.members.Hosts() }

// MakeRoom closes an idle connection to a member, if members hold more than their own descriptors.
func (o *Core) MakeRoom() bool { return o.members.MakeRoom() }

// Follow has the list watched at another address.
func (o *Core) Follow(at netip.AddrPort) { o.watch.SetAddress(at) }

// Close ends the watch and all idle connections to members.
func (o *Core) Close() {
	o.watch.Close()
	o.members.Close()
}

// Listed implements discovery.ListHandler.
func (o *Core) HandleList(list roster.List) { o.lists = append(o.lists, listed{list: list}) }

// ListFailed implements discovery.ListHandler.
func (o *Core) HandleCallFailure() { o.lists = append(o.lists, listed{failed: true}) }

// Ended implements member.Sink.
func (o *Core) Ended(d *member.Dispatch, e router.Result, took float64, a *pg.Answer) {
	out := outcome{d: d, ending: e, took: took}
	if a != nil {
		out.answer = *a
	}
	o.ends = append(o.ends, out)
}

// Probed implements member.Sink.
func (o *Core) Probed(node int, ending router.Result, took float64, report string) {
	o.probes = append(o.probes, probed{node: node, ending: ending, took: took, report: report})
}

// Settle hands over what was gathered until nothing more comes of it, and returns when to settle next.
func (o *Core) Settle(now float64) float64 {
	for {
		o.hear(now)
		next, keep := o.hand.ReviewDue(now)
		o.carry()
		for _, node := range keep.HealthCheck {
			o.members.Probe(node)
		}
		for _, node := range keep.Release {
			o.members.Forget(node)
			o.nodes.Release(node)
		}
		if keep.Subscribe {
			o.watch.Poll()
		}
		if len(o.lists)+len(o.probes)+len(o.ends)+len(o.left)+len(o.taken) == 0 {
			return next
		}
	}
}

// hear tells the module what was gathered: what it should know first comes first. Giving answers lets
// fronts take more in, which is heard next.
func (o *Core) hear(now float64) {
	lists, probes, ends, left, taken := o.lists, o.probes, o.ends, o.left, o.taken
	o.lists, o.probes, o.ends, o.left, o.taken = nil, nil, nil, nil, nil
	for _, l := range lists {
		o.list(now, l)
	}
	for _, p := range probes {
		position, primary := o.report(p.report)
		o.router.HealthChecked(now, p.node, p.ending, p.took, position, primary)
	}
	for i := range ends {
		o.end(now, &ends[i])
	}
	for _, cs := range left {
		unsent := false
		for _, c := range cs {
			unsent = o.leave(now, c) || unsent
		}
		if unsent {
			o.count.ClientsLeftUnsent++
		}
	}
	arrived := o.loop.Clock() // a turn may be held up between its poll and its reading: never earlier than they came
	for _, c := range taken {
		if !c.done {
			o.hand.Add(now, c.id, router.Command{Group: c.Group, Shard: c.Set, Session: c.Session,
				ArrivedAt: arrived, ClientDeadline: c.GiveUp, LastWriteAge: c.WriteAge, ClientRetry: c.Repeat})
		}
	}
}

func (o *Core) list(now float64, l listed) {
	if l.failed {
		o.count.ListCallsFailed++
		o.router.EndpointListFailed(now)
		return
	}
	if !l.cached {
		o.count.ListsReceived++
	}
	facts := make([]router.EndpointInfo, 0, len(l.list.Endpoints))
	for _, m := range l.list.Endpoints {
		node := o.nodes.Intern(m.ID)
		o.members.Place(node, m.Address, m.State == roster.StateGone)
		started := math.Inf(-1)
		if m.StartedUnixMs > 0 {
			started = o.clock(float64(m.StartedUnixMs))
		}
		facts = append(facts, router.EndpointInfo{Index: node, Shard: o.sets.Intern(m.Shard), Zone: o.zones.Intern(m.Zone),
			State: router.EndpointState(m.State), StartedAt: started, Primary: m.Primary})
	}
	o.hand.UpdateEndpoints(now, facts, l.list.Complete || l.cached, l.cached)
	if len(facts) == 0 { // a watch that brought nothing
		return
	}
	o.log.Info().Int64("generation", l.list.Generation).Bool("whole", l.list.Complete).Bool("known", l.cached).
		Int("members", len(l.list.Endpoints)).Msg("list")
}

// position turns a member's Unix time in seconds into the module's position, or -1 if it tells none: one that
// is no number, or lies in the future, would have a member cover reads that it does not.
func (o *Core) position(unix float64) float64 {
	if at := unix - o.zeroMs/1000; at >= 0 && o.clock(unix*1000) <= o.loop.Now()+o.ahead {
		return at
	}
	o.count.PositionsRejected++
	return -1
}

// report reads a report's position, in seconds from the epoch, and role. Negative: not told. One that cannot
// be read in every part is no report.
func (o *Core) report(text string) (position float64, primary bool) {
	position = -1
	if text == "" {
		return position, false
	}
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || name == "x1" && v != 0 && v != 1 {
			o.count.PositionsRejected++
			return -1, false
		}
		switch name {
		case "x0":
			position = o.position(v)
		case "x1":
			primary = v == 1
		}
	}
	return position, primary
}

var roles = map[string]router.Role{"off": router.RolePrimary, "on": router.RoleReplica}

// end tells the module of an outcome, and the client if it is answered.
func (o *Core) end(now float64, e *outcome) {
	o.count.AttemptResults[e.ending]++
	c := o.cmds[e.d.ID]
	if c != nil && c.dispatch == e.d {
		c.dispatch = nil
	}
	said := router.AttemptResult{Attempt: e.d.Leg, Result: e.ending, Elapsed: e.took, Final: e.ending == router.Answered,
		Position: -1, Role: roles[e.answer.Role]}
	if e.answer.Position > 0 {
		said.Position = o.position(float64(e.answer.Position) / 1000)
	}
	o.hand.AttemptEnded(now, e.d.ID, said)
	if position, primary := o.report(e.answer.Health); position >= 0 && o.told.ReportsOnAnswers {
		o.router.HealthChecked(now, e.d.Node, e.ending, e.took, position, primary)
	}
	if e.ending == router.Answered && c != nil && !c.done {
		o.count.Answered++
		c.Front.Answered(c, &e.answer.Row)
		o.finish(c)
		return
	}
	e.answer.Row.Free()
}

// leave takes in that a client has gone. What was not yet sent for it never is; it says whether there was such.
func (o *Core) leave(now float64, c *Command) (unsent bool) {
	if c.done {
		return false
	}
	o.count.Abandoned++
	o.hand.ClientGone(now, c.id)
	if unsent = c.dispatch == nil || c.dispatch.Unsent(); unsent && c.dispatch != nil {
		o.recalls = append(o.recalls, c.dispatch)
	}
	o.finish(c)
	return unsent
}

// finish forgets a command that has had its final answer.
func (o *Core) finish(c *Command) {
	c.done = true
	c.Text.Free()
	delete(o.cmds, c.id)
	delete(o.ids, c.Name)
}

// carry carries out what came back. What is given up is closed before anything new goes out.
func (o *Core) carry() {
	for _, d := range o.recalls {
		o.members.Recall(d)
	}
	for _, d := range o.sends {
		if o.cmds[d.ID] == nil { // its client left in this same turn
			o.Ended(d, router.NeverSent, 0, nil)
			continue
		}
		o.members.Send(d)
	}
	clear(o.recalls)
	clear(o.sends)
	o.recalls, o.sends = o.recalls[:0], o.sends[:0]
}

// Forward implements hand.Executor.
func (o *Core) Forward(id uint32, leg, node int, until float64) {
	c := o.cmds[id]
	d := &member.Dispatch{ID: id, Leg: leg, Node: node, Text: &c.Text, From: c.From, To: c.To, Until: until}
	c.dispatch = d
	o.sends = append(o.sends, d)
}

// Cancel implements hand.Executor.
func (o *Core) Cancel(id uint32, leg int) {
	if c := o.cmds[id]; c != nil && c.dispatch != nil && c.dispatch.Leg == leg {
		o.recalls = append(o.recalls, c.dispatch)
	}
}

// Reject implements hand.Executor.
func (o *Core) Reject(id uint32, comeBack float64) {
	c := o.cmds[id]
	o.count.Rejected++
	c.Front.Throttled(c, comeBack)
	o.finish(c)
}

// Fail implements hand.Executor.
func (o *Core) Fail(id uint32) {
	c := o.cmds[id]
	o.count.Failed++
	c.Front.Failed(c)
	o.finish(c)
}
