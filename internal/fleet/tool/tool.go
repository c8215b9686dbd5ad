// Package tool is the operator's side of a fleet: it speaks to the agents and drives rollouts.
package tool

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"stoatdale.example/stoatdale/internal/fleet/api"
	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/layout"
	"stoatdale.example/stoatdale/internal/fleet/plan"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/roll"
	"stoatdale.example/stoatdale/internal/keys"
)

// atOnce is how many agents are spoken to at once.
const maxConcurrentCalls = 128

// Tool speaks for one operator.
type Client struct {
	Fleet       *layout.Fleet
	Operator    string
	clients     []*api.Client
	log         zerolog.Logger
	callTimeout time.Duration // that a call may take
}

// New is a tool that has not connected to any agent.
func New(f *layout.Fleet, folder keys.Folder, operator string, log zerolog.Logger) (*Client, error) {
	source := folder.Source(keys.Operator, operator)
	if err := source.Check(); err != nil {
		return nil, fmt.Errorf("operator %s: %w", operator, err)
	}
	t := &Client{
		Fleet: f, Operator: operator, log: log,
		callTimeout: max(time.Second, time.Duration(4*float64(f.Times.PollInterval)*float64(time.Second))),
	}
	for _, a := range f.Agents {
		t.clients = append(t.clients, api.NewClient(a.Name, a.Listen.String(), source, api.SupportedVersions))
	}
	return t, nil
}

// Close ends the tool's connections.
func (t *Client) Close() {
	for _, c := range t.clients {
		c.Close()
	}
}

// Answer is what one agent said.
type Answer struct {
	Agent string
	Reply form.Reply
	Err   error // it could not be asked, or refused
}

func (t *Client) call(ctx context.Context, agent int, c form.Request) (form.Reply, error) {
	within := t.callTimeout
	if c.Verb == form.PutRevisionVerb || c.Verb == form.GetRevisionVerb || c.Verb == form.HistoryVerb {
		within *= 5 // they carry more
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return t.clients[agent].Call(ctx, c)
}

// All asks every agent the same.
func (t *Client) Broadcast(ctx context.Context, c form.Request) []Answer {
	out := make([]Answer, len(t.clients))
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for i := range t.clients {
		g.Go(func() error {
			r, err := t.call(ctx, i, c)
			if err == nil && r.Failure != "" {
				err = fmt.Errorf("agent %s: %s", t.clients[i].Agent, r.Failure)
			}
			out[i] = Answer{Agent: t.clients[i].Agent, Reply: r, Err: err}
			return nil
		})
	}
	_ = g.Wait() // what went wrong stands in the answers
	return out
}

// Status is how a fleet stands.
type Status struct {
	Fleet     string           `json:"fleet"`
	Serving   int              `json:"serving"`
	Total     int              `json:"of"`
	Agents    []AgentStatus    `json:"agents"`
	Instances []InstanceStatus `json:"instances"`
	Rollout   *RolloutStatus   `json:"rollout,omitempty"`
	Lease     *LeaseStatus     `json:"claim,omitempty"`
}

// AgentState is one agent's.
type AgentStatus struct {
	Name      string `json:"name"`
	Reachable bool   `json:"heard"`
	Program   string `json:"program,omitempty"`
	Failure   string `json:"fault,omitempty"`
}

// Instance is one router's state.
type InstanceStatus struct {
	Name               string  `json:"name"`
	Zone               string  `json:"hall"`
	Agent              string  `json:"agent"`
	Known              bool    `json:"known"`
	State              string  `json:"life"`
	Revision           string  `json:"revision,omitempty"`
	TargetRevision     string  `json:"wants,omitempty"`
	ProcessID          int     `json:"process,omitempty"`
	Crashes            int     `json:"crashes,omitempty"`
	EndedCommands      uint64  `json:"ended"`      // commands of the last while
	UnansweredCommands uint64  `json:"unanswered"` // of them
	ReadySeconds       float64 `json:"ready_seconds"`
	Step               string  `json:"step,omitempty"` // open, or failed and why
}

// RolloutState is the newest rollout's.
type RolloutStatus struct {
	ID           string   `json:"id"`
	Revision     string   `json:"revision"`
	RevisionName string   `json:"name,omitempty"`
	State        string   `json:"state"`
	RollingBack  bool     `json:"back"`
	Why          string   `json:"why,omitempty"`
	Cause        string   `json:"cause,omitempty"` // it goes back
	StartedBy    string   `json:"by"`
	RequestedBy  string   `json:"asked,omitempty"`
	StartedAt    string   `json:"began"`
	Steps        uint64   `json:"steps"`
	LeftOut      []string `json:"left_out,omitempty"`
	Step         string   `json:"step,omitempty"` // under way
}

// ClaimState is who may change the fleet.
type LeaseStatus struct {
	Epoch           uint64  `json:"epoch"`
	Holder          string  `json:"holder"`
	Held            bool    `json:"held"` // by a majority
	Grants          int     `json:"grants"`
	SinceSeconds    float64 `json:"since_seconds"`
	LeftSeconds     float64 `json:"left_seconds"`
	Agents          int     `json:"agents"`
	ReachableAgents int     `json:"heard"`
}

// Status asks all agents.
func (t *Client) Status(ctx context.Context) Status {
	return t.status(t.Broadcast(ctx, form.Request{Verb: form.StatusVerb}))
}

func (t *Client) status(answers []Answer) Status {
	s := Status{Fleet: t.Fleet.Name, Total: len(t.Fleet.Instances)}
	told := map[string]form.InstanceStatus{}
	for _, a := range answers {
		state := AgentStatus{Name: a.Agent, Reachable: a.Err == nil, Program: a.Reply.Program}
		if a.Err != nil {
			state.Failure = a.Err.Error()
		}
		s.Agents = append(s.Agents, state)
		for _, x := range a.Reply.Instances {
			told[x.Name] = x
		}
	}
	for _, x := range t.Fleet.Instances {
		row := InstanceStatus{Name: x.Name, Agent: x.Agent, Zone: t.Fleet.Agent(x.Agent).Zone, State: plan.ProcessUnknown.String()}
		if got, ok := told[x.Name]; ok {
			row.Known, row.State, row.ProcessID, row.Crashes = true, got.State.String(), got.ProcessID, got.Crashes
			row.Revision, row.ReadySeconds = revision.ShortDigest(got.Revision), got.ReadySeconds
			row.EndedCommands, row.UnansweredCommands = got.RecentCommands.Completed, got.RecentCommands.Unanswered
			if got.TargetRevision != got.Revision {
				row.TargetRevision = revision.ShortDigest(got.TargetRevision)
			}
			switch {
			case got.LastStep.Number != 0 && got.LastResult == plan.StepPending:
				row.Step = fmt.Sprintf("step %d of %s is open", got.LastStep.Number, got.LastStep.RolloutID)
			case got.LastResult == plan.StepFailed:
				row.Step = "failed: " + got.LastFailure
			}
			if got.State == plan.ProcessReady {
				s.Serving++
			}
		}
		s.Instances = append(s.Instances, row)
	}
	s.Lease = t.leaseStatus(answers)
	if r, ok := newestRecord(answers); ok {
		s.Rollout = t.DescribeRollout(r)
	}
	return s
}

// newest is the newest record told of; what a majority has not kept may be among it.
func newestRecord(answers []Answer) (form.Rollout, bool) {
	var best claim.Record
	for _, a := range answers {
		if a.Err == nil && best.Version.Before(a.Reply.Record.Version) {
			best = a.Reply.Record
		}
	}
	var r form.Rollout
	return r, best.Body != nil && form.Decode("record", best.Body, &r) == nil && r.ID != ""
}

func (t *Client) leaseStatus(answers []Answer) *LeaseStatus {
	c := LeaseStatus{Agents: len(answers)}
	grants := map[string]int{}
	for _, a := range answers {
		if a.Err != nil {
			continue
		}
		c.ReachableAgents++
		st := a.Reply.LeaseState
		c.Epoch = max(c.Epoch, st.Epoch)
		if st.Held {
			grants[st.Holder]++
			if n := grants[st.Holder]; n >= c.Grants {
				c.Holder, c.Grants, c.SinceSeconds, c.LeftSeconds = st.Holder, n, max(c.SinceSeconds, st.HeldSeconds), max(c.LeftSeconds, st.RemainingSeconds)
			}
		}
	}
	c.Held = c.Grants >= claim.Majority(len(answers))
	return &c
}

// Rollout is one for people.
func (t *Client) DescribeRollout(r form.Rollout) *RolloutStatus {
	s := &RolloutStatus{
		ID: r.ID, Revision: revision.ShortDigest(r.Revision), RevisionName: r.RevisionName, State: r.State.String(), RollingBack: r.RollingBack,
		Why: t.Explain(r.Reason), Cause: t.Explain(r.RollbackCause), StartedBy: r.StartedBy, RequestedBy: r.RequestedBy, StartedAt: time.Unix(r.StartedAt, 0).UTC().Format(time.RFC3339), Steps: r.StepsBegun,
	}
	for _, i := range r.ExcludedInstances {
		s.LeftOut = append(s.LeftOut, t.instanceName(i))
	}
	if r.CurrentStep.Number != 0 {
		s.Step = fmt.Sprintf("step %d, %s", r.CurrentStep.Number, t.instanceName(r.CurrentStep.Instance))
	}
	return s
}

func (t *Client) instanceName(i int) string {
	if i < 0 || i >= len(t.Fleet.Instances) {
		return fmt.Sprint("instance ", i)
	}
	return t.Fleet.Instances[i].Name
}

// Explain is a reason in names; empty for none.
func (t *Client) Explain(r plan.Reason) string {
	name := t.instanceName(r.Instance)
	agent := ""
	if r.Instance < len(t.Fleet.Instances) {
		agent = t.Fleet.Instances[r.Instance].Agent
	}
	switch r.Kind {
	case plan.ReasonNone:
		return r.Detail
	case plan.ReasonOperator:
		return "by an operator's word"
	case plan.ReasonAgentUnreachable:
		return fmt.Sprintf("agent %s of instance %s is not heard from: bring it back and resume, or resume with --leave-out %s",
			agent, name, name)
	case plan.ReasonProcessUnknown:
		return fmt.Sprintf("agent %s does not know instance %s yet", agent, name)
	case plan.ReasonInstanceBusy:
		return fmt.Sprintf("instance %s is in a step of another rollout", name)
	case plan.ReasonStepUnresolved:
		return fmt.Sprintf("the step of instance %s has no end", name)
	case plan.ReasonZoneMinimum:
		hall := ""
		if r.Zone < len(t.Fleet.Zones) {
			hall = t.Fleet.Zones[r.Zone].Name
		}
		return fmt.Sprintf("hall %s would be left with %d serving, and its floor is %d", hall, r.Have, r.Need)
	case plan.ReasonFleetMinimum:
		return fmt.Sprintf("the fleet would be left with %d serving, and its floor is %d", r.Have, r.Need)
	case plan.ReasonStepFailed:
		return fmt.Sprintf("instance %s did not come up with the revision: %s", name, r.Detail)
	case plan.ReasonSoakFailed:
		return fmt.Sprintf("instance %s was %s in its soak", name, r.Detail)
	case plan.ReasonMoreUnanswered:
		return fmt.Sprintf("instance %s left %d of %d commands unanswered in its soak, a larger share than before", name, r.Have, r.Need)
	case plan.ReasonCannotRollBack:
		return fmt.Sprintf("instance %s cannot go back: %s", name, r.Detail)
	case plan.ReasonInstancesExcluded:
		return fmt.Sprintf("%d instances were left out and are not done", r.Have)
	case plan.ReasonStepNeverApplied:
		return fmt.Sprintf("the step of %s came to nothing %d times in a row: its agent %s ended before it did anything, or the router "+
			"came up by itself", name, r.Have, agent)
	case plan.ReasonStepRefused:
		return fmt.Sprintf("agent %s refuses the step of %s: %s", agent, name, r.Detail)
	case plan.ReasonNothingToDo:
		return "there is nothing to do"
	}
	return "for a reason that this tool does not know"
}

// Pushed is what came of a push.
type PushResult struct {
	Digest  string        `json:"revision"`
	Name    string        `json:"name,omitempty"`
	Stored  int           `json:"kept"`
	Agents  int           `json:"agents"`
	Missing []AgentStatus `json:"missing,omitempty"`
}

// Read reads a revision's file and checks it for every instance, without an agent.
func (t *Client) ReadRevision(file string) ([]byte, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("revision: %w", err)
	}
	content, err := revision.Canonical(file, raw)
	if err != nil {
		return nil, err
	}
	for i := range t.Fleet.Instances {
		if _, err := revision.Check(content, t.Fleet.Instances[i].RevisionInstance()); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
	}
	return content, nil
}

// Push has every agent keep a revision.
func (t *Client) PushRevision(ctx context.Context, content []byte, name string) PushResult {
	rev := form.Revision{Digest: revision.Digest(content), Name: name, PushedBy: t.Operator, PushedAt: time.Now().Unix(), Content: content}
	p := PushResult{Digest: rev.Digest, Name: name, Agents: len(t.clients)}
	for _, a := range t.Broadcast(ctx, form.Request{Verb: form.PutRevisionVerb, Revision: rev}) {
		if a.Err != nil {
			p.Missing = append(p.Missing, AgentStatus{Name: a.Agent, Failure: a.Err.Error()})
			continue
		}
		p.Stored++
	}
	return p
}

// History is what the agents keep of revisions and rollouts, newest first.
type History struct {
	Revisions []form.Revision
	Rollouts  []form.Rollout
}

// History gathers it.
func (t *Client) History(ctx context.Context) (History, error) {
	var h History
	revs, rolls := map[string]form.Revision{}, map[string]form.Rollout{}
	var faults []error
	heard := 0
	for _, a := range t.Broadcast(ctx, form.Request{Verb: form.HistoryVerb}) {
		if a.Err != nil {
			faults = append(faults, a.Err)
			continue
		}
		heard++
		for _, r := range a.Reply.Revisions {
			if old, has := revs[r.Digest]; !has || old.PushedAt < r.PushedAt {
				revs[r.Digest] = r
			}
		}
		for _, r := range a.Reply.Rollouts {
			if old, has := rolls[r.ID]; !has || old.Run < r.Run || old.Run == r.Run && (old.StepsBegun < r.StepsBegun || r.State.Terminal()) {
				rolls[r.ID] = r
			}
		}
	}
	if heard == 0 {
		return h, errors.Join(faults...)
	}
	for _, r := range revs {
		h.Revisions = append(h.Revisions, r)
	}
	for _, r := range rolls {
		h.Rollouts = append(h.Rollouts, r)
	}
	sort.Slice(h.Revisions, func(i, j int) bool {
		a, b := h.Revisions[i], h.Revisions[j]
		return a.PushedAt > b.PushedAt || a.PushedAt == b.PushedAt && a.Digest < b.Digest
	})
	sort.Slice(h.Rollouts, func(i, j int) bool {
		a, b := h.Rollouts[i], h.Rollouts[j]
		return a.StartedAt > b.StartedAt || a.StartedAt == b.StartedAt && a.ID < b.ID
	})
	return h, nil
}

// Find finds a revision by its name, the newest if it was given twice, or by the beginning of its digest.
func (t *Client) FindRevision(ctx context.Context, called string) (form.Revision, error) {
	h, err := t.History(ctx)
	if err != nil {
		return form.Revision{}, err
	}
	var hits []form.Revision
	for _, r := range h.Revisions {
		if r.Name == called {
			return r, nil
		}
		if len(called) >= 4 && strings.HasPrefix(r.Digest, called) {
			hits = append(hits, r)
		}
	}
	switch len(hits) {
	case 1:
		return hits[0], nil
	case 0:
		return form.Revision{}, fmt.Errorf("no agent keeps a revision %q: see fleet history, or push it", called)
	}
	return form.Revision{}, fmt.Errorf("%d revisions begin with %q", len(hits), called)
}

// Content fetches a revision from whichever agent keeps it.
func (t *Client) RevisionContent(ctx context.Context, digest string) ([]byte, error) {
	var faults []error
	for i := range t.clients {
		r, err := t.call(ctx, i, form.Request{Verb: form.GetRevisionVerb, Revision: form.Revision{Digest: digest}})
		if err != nil {
			faults = append(faults, err)
			continue
		}
		if len(r.Revisions) == 1 && revision.Digest(r.Revisions[0].Content) == digest {
			return r.Revisions[0].Content, nil
		}
	}
	return nil, errors.Join(append(faults, fmt.Errorf("no agent that can be heard keeps revision %s", revision.ShortDigest(digest)))...)
}

// Effect is what a revision would mean for one instance.
type RevisionEffect struct {
	Instance string   `json:"instance"`
	Change   string   `json:"how"` // none, reload, restart, start, unknown
	Keys     []string `json:"keys,omitempty"`
}

// Effects tells beforehand what needs a restart and what moves by a reload.
func (t *Client) PreviewEffects(ctx context.Context, content []byte) ([]RevisionEffect, error) {
	to := revision.Digest(content)
	running := map[string]string{}
	for _, a := range t.Broadcast(ctx, form.Request{Verb: form.StatusVerb}) {
		for _, x := range a.Reply.Instances {
			running[x.Name] = x.Revision
		}
	}
	contents := map[string][]byte{}
	var out []RevisionEffect
	for i := range t.Fleet.Instances {
		x := &t.Fleet.Instances[i]
		e := RevisionEffect{Instance: x.Name}
		switch from, known := running[x.Name]; {
		case !known:
			e.Change = "unknown"
		case from == "":
			e.Change = "start"
		case from == to:
			e.Change = "none"
		default:
			if contents[from] == nil {
				c, err := t.RevisionContent(ctx, from)
				if err != nil {
					return nil, err
				}
				contents[from] = c
			}
			before, err := revision.Check(contents[from], x.RevisionInstance())
			if err != nil {
				return nil, err
			}
			after, err := revision.Check(content, x.RevisionInstance())
			if err != nil {
				return nil, err
			}
			if e.Keys = revision.RestartKeys(&before, &after); len(e.Keys) > 0 {
				e.Change = "restart"
			} else {
				e.Change = "reload"
			}
		}
		out = append(out, e)
	}
	return out, nil
}

// Ask leaves a wish with the agents for whoever drives a rollout. It tells how many took it.
func (t *Client) RequestAction(ctx context.Context, r form.Rollout, w plan.OperatorRequest) int {
	took := 0
	for _, a := range t.Broadcast(ctx, form.Request{
		Verb: form.RequestActionVerb, AgentsDigest: t.Fleet.AgentsDigest(),
		OperatorRequest: form.OperatorRequest{RolloutID: r.ID, Run: r.Run, Action: w, Operator: t.Operator},
	}) {
		if a.Err == nil {
			took++
		}
	}
	return took
}

// Newest is the newest rollout that can be heard of, and whether a tool drives it now.
func (t *Client) NewestRollout(ctx context.Context) (r form.Rollout, driven, found bool) {
	answers := t.Broadcast(ctx, form.Request{Verb: form.StatusVerb})
	r, found = newestRecord(answers)
	return r, t.leaseStatus(answers).Held, found
}

// Unique is a name that nothing else has.
func NewID() string {
	var b [6]byte
	_, _ = rand.Read(b[:]) // it never fails
	return hex.EncodeToString(b[:])
}

// Begin is the task of a new rollout.
func (t *Client) NewRollout(r form.Revision, restart bool) roll.Task {
	return roll.Task{Operation: roll.OperationBegin, Operator: t.Operator, FleetDigest: t.Fleet.InstancesDigest(), Rollout: form.Rollout{
		Rollout: plan.Rollout{ID: NewID(), Revision: r.Digest, Restart: restart}, RevisionName: r.Name, StartedBy: t.Operator,
		StartedAt: time.Now().Unix(), InstancesDigest: t.Fleet.InstancesDigest(),
	}}
}

// Drive carries a task out. Once ctx ends the driver gives its claim back, and the rollout waits to be taken
// up. watch is called, if it is not nil, with what has come about.
func (t *Client) Drive(ctx context.Context, task roll.Task, watch func(roll.View, []roll.Event)) roll.Outcome {
	task.FleetDigest = t.Fleet.InstancesDigest()
	host, _ := os.Hostname() // for people only
	look := float64(t.Fleet.Times.PollInterval)
	d := roll.New(roll.Config{
		Fleet:         t.Fleet.PlannerFleet(),
		InstanceNames: t.Fleet.InstanceNames(),
		Agents:        len(t.clients),
		AgentsDigest:  t.Fleet.AgentsDigest(),
		Holder:        api.HolderName(t.Operator, host+"/"+NewID()),
		Timing:        roll.Timing{PollSeconds: look, MajorityTimeoutSeconds: float64(t.Fleet.Times.ContactTimeout)},
		Task:          task,
		Random:        mathrand.Float64,
	})
	began := time.Now()
	now := func() float64 { return time.Since(began).Seconds() }
	type heard struct {
		id  uint64
		r   form.Reply
		err error
	}
	answers := make(chan heard, 4*len(t.clients)+16)
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx)) // claims are still to be given back
	var out sync.WaitGroup
	defer out.Wait()
	defer cancel()
	left := ctx.Done()
	slots := make(chan struct{}, maxConcurrentCalls)
	for {
		sends, wake := d.Tick(now())
		for _, s := range sends {
			out.Add(1)
			go func() {
				defer out.Done()
				slots <- struct{}{}
				r, err := t.call(calls, s.Agent, s.Request)
				<-slots
				answers <- heard{s.ID, r, err}
			}()
		}
		if watch != nil {
			watch(d.View(now()), d.TakeEvents())
		} else {
			d.TakeEvents()
		}
		if o, over := d.Outcome(); over {
			return o
		}
		timer := time.NewTimer(time.Duration(max(0, wake-now()) * float64(time.Second)))
		select {
		case h := <-answers:
			take := func(h heard) {
				if h.err != nil {
					d.HandleFailure(now(), h.id, h.err.Error())
				} else {
					d.HandleReply(now(), h.id, h.r)
				}
			}
			take(h)
			for more := true; more; { // what has come meanwhile is taken together
				select {
				case h := <-answers:
					take(h)
				default:
					more = false
				}
			}
		case <-timer.C:
		case <-left:
			left = nil
			d.Quit(now())
		}
		timer.Stop()
	}
}
