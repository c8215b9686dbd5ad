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
	ID                       string // the client's, unlike that of any other command in hand
	Group                    int
	Shard                    int // by Core.Set
	Session                  uint64
	ClientRetry              bool
	LastWriteAge             float64 // seconds since the session's last write, below 0 if ahead of this clock; 0: not told
	ClientDeadline           float64 // the client stops waiting
	Statement                buffer.Chain
	TimeoutStart, TimeoutEnd int // where the digits of the time to wait stand in the text
	Responder                Responder
	Owner                    any // the front's own

	trackingID uint32
	attempt    *member.Dispatch // the one that is out
	done       bool
}

// Responder gives a command its one final answer. It may call Take and Left meanwhile.
type Responder interface {
	Answer(c *Command, row *buffer.Chain) // the row is the front's to free
	Reject(c *Command, comeBack float64)  // seconds; 0: no advice
	Fail(c *Command)
}

// endedAttempt is the end of a dispatch.
type endedAttempt struct {
	attempt *member.Dispatch
	result  router.Result
	elapsed float64
	answer  pg.Answer
}

type healthCheckResult struct {
	endpoint int
	result   router.Result
	elapsed  float64
	report   string
}

type listUpdate struct {
	list           roster.List
	cached, failed bool
}

// Dispatcher is one router.
type Dispatcher struct {
	loop     *loop.Loop
	settings *site.Settings
	router   *router.Router
	tracker  *hand.Tracker
	seed     uint64
	backends *member.Members
	watch    *discovery.Watch
	counters *count.Counters
	log      zerolog.Logger

	positionEpochUnixMs float64 // Unix milliseconds from which positions count
	maxClockSkewSeconds float64
	endpoints           *index.Table[string] // emptied when the module lets a member go
	shards              *index.Table[int]    // as many as the deployment has
	zones               *index.Table[string] // and these

	commands       map[uint32]*Command // emptied, as ids is, by final answers
	clientIDs      map[string]bool     // the clients' names of the commands in hand
	lastTrackingID uint32

	// What was gathered in this turn, and what came back.
	listUpdates   []listUpdate
	healthChecks  []healthCheckResult
	endedAttempts []endedAttempt
	goneClients   [][]*Command // by client
	received      []*Command
	cancels       []*member.Dispatch
	sends         []*member.Dispatch
}

// New returns a router that knows the list it had last.
func New(s *site.Config, l *loop.Loop, blocks *buffer.Pool, c *count.Counters, log zerolog.Logger) *Dispatcher {
	o := &Dispatcher{
		loop: l, settings: &s.Settings, counters: c, log: log, maxClockSkewSeconds: s.Limits.Durations.MaxClockSkew, endpoints: index.New[string](),
		shards: index.New[int](), zones: index.New[string](), commands: map[uint32]*Command{}, clientIDs: map[string]bool{},
	}
	for _, z := range s.Settings.Zones {
		o.zones.Intern(z)
	}
	// Positions count from a while before the start. The module takes a negative one as not told, and rounds
	// reports by a share of theirs: this is far enough back for any replica worth reading, and near enough that
	// the rounding stays under a millisecond.
	o.positionEpochUnixMs = float64(l.StartedAt().UnixMilli()) - s.Limits.Durations.PositionEpoch*1000
	o.seed = s.Seed
	o.router = o.newRouter()
	o.tracker = hand.New(o.router, o)
	o.backends = member.New(l, &s.Limits, blocks, o, c)
	o.watch = discovery.New(l, &s.Limits, s.Discovery, s.Settings.PollList, blocks, o, log)
	o.listUpdates = append(o.listUpdates, listUpdate{list: s.KnownList, cached: true})
	if !s.Settings.PollList {
		o.watch.Poll()
	}
	return o
}

// newRouter is a router under the settings, which knows nothing yet.
func (o *Dispatcher) newRouter() *router.Router {
	told := o.settings.Config
	told.PositionEpoch = o.loopTime(o.positionEpochUnixMs)
	if told.Zone >= 0 && told.Zone < len(o.settings.Zones) {
		told.Zone = o.zones.Intern(o.settings.Zones[told.Zone]) // zones keep their index when the settings' order changes
	}
	return router.New(told, o.seed)
}

// ApplySettings has the settings as they are now decide about every command from here on. What has been taken must have
// been settled under the earlier ones; it ends under them.
func (o *Dispatcher) ApplySettings() {
	o.router = o.newRouter()
	o.tracker.SwitchRouter(o.loop.Now(), o.router)
}

// loopTime turns a Unix time in milliseconds into the module's.
func (o *Dispatcher) loopTime(unixMs float64) float64 {
	return (unixMs*1e6 - float64(o.loop.StartedAt().UnixNano())) / 1e9
}

// SecondsSince is how long ago a Unix time in seconds was.
func (o *Dispatcher) SecondsSince(unix float64) float64 { return o.loop.Now() - o.loopTime(unix*1000) }

// LookupShard is the index of the set that a client's cluster names, and false if no list has named it.
func (o *Dispatcher) LookupShard(cluster int) (int, bool) {
	return o.shards.Lookup(cluster)
}

// IsInFlight says whether a command of this name is in hand. Another must not be taken then: members would see a
// second copy of the first.
func (o *Dispatcher) IsInFlight(name string) bool { return o.clientIDs[name] }

// Submit takes a command; it gets one final answer.
func (o *Dispatcher) Submit(c *Command) {
	o.lastTrackingID++
	c.trackingID = o.lastTrackingID
	o.commands[c.trackingID] = c
	o.clientIDs[c.ID] = true
	o.received = append(o.received, c)
	o.counters.Received++
	o.counters.ReceivedByGroup[c.Group]++
}

// ClientGone takes in that the client of these commands has gone.
func (o *Dispatcher) ClientGone(cs []*Command) { o.goneClients = append(o.goneClients, cs) }

// InFlight is the number of commands without a final answer.
func (o *Dispatcher) InFlight() int { return len(o.commands) }

// BackendConnections is the number of connections to members.
func (o *Dispatcher) BackendConnections() int { return o.backends.Open() }

// EndpointRows is the number of members that have a row, and of rows.
func (o *Dispatcher) EndpointRows() (members, rows int) { return o.endpoints.Len(), o.backends.Hosts() }

// CloseIdleBackend closes an idle connection to a member, if members hold more than their own descriptors.
func (o *Dispatcher) CloseIdleBackend() bool { return o.backends.MakeRoom() }

// SetDiscoveryAddress has the list watched at another address.
func (o *Dispatcher) SetDiscoveryAddress(at netip.AddrPort) { o.watch.SetAddress(at) }

// Close ends the watch and all idle connections to members.
func (o *Dispatcher) Close() {
	o.watch.Close()
	o.backends.Close()
}

// HandleList implements discovery.ListHandler.
func (o *Dispatcher) HandleList(list roster.List) {
	o.listUpdates = append(o.listUpdates, listUpdate{list: list})
}

// HandleCallFailure implements discovery.ListHandler.
func (o *Dispatcher) HandleCallFailure() {
	o.listUpdates = append(o.listUpdates, listUpdate{failed: true})
}

// Ended implements member.Sink.
func (o *Dispatcher) Ended(d *member.Dispatch, e router.Result, took float64, a *pg.Answer) {
	out := endedAttempt{attempt: d, result: e, elapsed: took}
	if a != nil {
		out.answer = *a
	}
	o.endedAttempts = append(o.endedAttempts, out)
}

// Probed implements member.Sink.
func (o *Dispatcher) Probed(node int, ending router.Result, took float64, report string) {
	o.healthChecks = append(o.healthChecks, healthCheckResult{endpoint: node, result: ending, elapsed: took, report: report})
}

// RunTurn hands over what was gathered until nothing more comes of it, and returns when to settle next.
func (o *Dispatcher) RunTurn(now float64) float64 {
	for {
		o.deliver(now)
		next, keep := o.tracker.ReviewDue(now)
		o.carryOut()
		for _, node := range keep.HealthCheck {
			o.backends.Probe(node)
		}
		for _, node := range keep.Release {
			o.backends.Forget(node)
			o.endpoints.Release(node)
		}
		if keep.Subscribe {
			o.watch.Poll()
		}
		if len(o.listUpdates)+len(o.healthChecks)+len(o.endedAttempts)+len(o.goneClients)+len(o.received) == 0 {
			return next
		}
	}
}

// deliver tells the module what was gathered: what it should know first comes first. Giving answers lets
// fronts take more in, which is heard next.
func (o *Dispatcher) deliver(now float64) {
	lists, probes, ends, left, taken := o.listUpdates, o.healthChecks, o.endedAttempts, o.goneClients, o.received
	o.listUpdates, o.healthChecks, o.endedAttempts, o.goneClients, o.received = nil, nil, nil, nil, nil
	for _, l := range lists {
		o.deliverList(now, l)
	}
	for _, p := range probes {
		position, primary := o.report(p.report)
		o.router.HealthChecked(now, p.endpoint, p.result, p.elapsed, position, primary)
	}
	for i := range ends {
		o.deliverAttempt(now, &ends[i])
	}
	for _, cs := range left {
		unsent := false
		for _, c := range cs {
			unsent = o.abandon(now, c) || unsent
		}
		if unsent {
			o.counters.ClientsLeftUnsent++
		}
	}
	arrived := o.loop.Clock() // a turn may be held up between its poll and its reading: never earlier than they came
	for _, c := range taken {
		if !c.done {
			o.tracker.Add(now, c.trackingID, router.Command{
				Group: c.Group, Shard: c.Shard, Session: c.Session,
				ArrivedAt: arrived, ClientDeadline: c.ClientDeadline, LastWriteAge: c.LastWriteAge, ClientRetry: c.ClientRetry,
			})
		}
	}
}

func (o *Dispatcher) deliverList(now float64, l listUpdate) {
	if l.failed {
		o.counters.ListCallsFailed++
		o.router.EndpointListFailed(now)
		return
	}
	if !l.cached {
		o.counters.ListsReceived++
	}
	facts := make([]router.EndpointInfo, 0, len(l.list.Endpoints))
	for _, m := range l.list.Endpoints {
		node := o.endpoints.Intern(m.ID)
		o.backends.Place(node, m.Address, m.State == roster.StateGone)
		started := math.Inf(-1)
		if m.StartedUnixMs > 0 {
			started = o.loopTime(float64(m.StartedUnixMs))
		}
		facts = append(facts, router.EndpointInfo{
			Index: node, Shard: o.shards.Intern(m.Shard), Zone: o.zones.Intern(m.Zone),
			State: router.EndpointState(m.State), StartedAt: started, Primary: m.Primary,
		})
	}
	o.tracker.UpdateEndpoints(now, facts, l.list.Complete || l.cached, l.cached)
	if len(facts) == 0 { // a watch that brought nothing
		return
	}
	o.log.Info().Int64("generation", l.list.Generation).Bool("whole", l.list.Complete).Bool("known", l.cached).
		Int("members", len(l.list.Endpoints)).Msg("list")
}

// position turns a member's Unix time in seconds into the module's position, or -1 if it tells none: one that
// is no number, or lies in the future, would have a member cover reads that it does not.
func (o *Dispatcher) position(unix float64) float64 {
	if at := unix - o.positionEpochUnixMs/1000; at >= 0 && o.loopTime(unix*1000) <= o.loop.Now()+o.maxClockSkewSeconds {
		return at
	}
	o.counters.PositionsRejected++
	return -1
}

// report reads a report's position, in seconds from the epoch, and role. Negative: not told. One that cannot
// be read in every part is no report.
func (o *Dispatcher) report(text string) (position float64, primary bool) {
	position = -1
	if text == "" {
		return position, false
	}
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || name == "x1" && v != 0 && v != 1 {
			o.counters.PositionsRejected++
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

var rolesByRecovery = map[string]router.Role{"off": router.RolePrimary, "on": router.RoleReplica}

// deliverAttempt tells the module of an outcome, and the client if it is answered.
func (o *Dispatcher) deliverAttempt(now float64, e *endedAttempt) {
	o.counters.AttemptResults[e.result]++
	c := o.commands[e.attempt.ID]
	if c != nil && c.attempt == e.attempt {
		c.attempt = nil
	}
	said := router.AttemptResult{
		Attempt: e.attempt.Leg, Result: e.result, Elapsed: e.elapsed, Final: e.result == router.Answered,
		Position: -1, Role: rolesByRecovery[e.answer.Role],
	}
	if e.answer.Position > 0 {
		said.Position = o.position(float64(e.answer.Position) / 1000)
	}
	o.tracker.AttemptEnded(now, e.attempt.ID, said)
	if position, primary := o.report(e.answer.Health); position >= 0 && o.settings.ReportsOnAnswers {
		o.router.HealthChecked(now, e.attempt.Node, e.result, e.elapsed, position, primary)
	}
	if e.result == router.Answered && c != nil && !c.done {
		o.counters.Answered++
		c.Responder.Answer(c, &e.answer.Row)
		o.finish(c)
		return
	}
	e.answer.Row.Free()
}

// abandon takes in that a client has gone. What was not yet sent for it never is; it says whether there was such.
func (o *Dispatcher) abandon(now float64, c *Command) (unsent bool) {
	if c.done {
		return false
	}
	o.counters.Abandoned++
	o.tracker.ClientGone(now, c.trackingID)
	if unsent = c.attempt == nil || c.attempt.Unsent(); unsent && c.attempt != nil {
		o.cancels = append(o.cancels, c.attempt)
	}
	o.finish(c)
	return unsent
}

// finish forgets a command that has had its final answer.
func (o *Dispatcher) finish(c *Command) {
	c.done = true
	c.Statement.Free()
	delete(o.commands, c.trackingID)
	delete(o.clientIDs, c.ID)
}

// carryOut carries out what came back. What is given up is closed before anything new goes out.
func (o *Dispatcher) carryOut() {
	for _, d := range o.cancels {
		o.backends.Recall(d)
	}
	for _, d := range o.sends {
		if o.commands[d.ID] == nil { // its client left in this same turn
			o.Ended(d, router.NeverSent, 0, nil)
			continue
		}
		o.backends.Send(d)
	}
	clear(o.cancels)
	clear(o.sends)
	o.cancels, o.sends = o.cancels[:0], o.sends[:0]
}

// Forward implements hand.Executor.
func (o *Dispatcher) Forward(id uint32, leg, node int, until float64) {
	c := o.commands[id]
	d := &member.Dispatch{ID: id, Leg: leg, Node: node, Text: &c.Statement, From: c.TimeoutStart, To: c.TimeoutEnd, Until: until}
	c.attempt = d
	o.sends = append(o.sends, d)
}

// Cancel implements hand.Executor.
func (o *Dispatcher) Cancel(id uint32, leg int) {
	if c := o.commands[id]; c != nil && c.attempt != nil && c.attempt.Leg == leg {
		o.cancels = append(o.cancels, c.attempt)
	}
}

// Reject implements hand.Executor.
func (o *Dispatcher) Reject(id uint32, comeBack float64) {
	c := o.commands[id]
	o.counters.Rejected++
	c.Responder.Reject(c, comeBack)
	o.finish(c)
}

// Fail implements hand.Executor.
func (o *Dispatcher) Fail(id uint32) {
	c := o.commands[id]
	o.counters.Failed++
	c.Responder.Fail(c)
	o.finish(c)
}
