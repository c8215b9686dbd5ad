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
const atOnce = 128

// Tool speaks for one operator.
type Tool struct {
	Fleet    *layout.Fleet
	Operator string
	clients  []*api.Client
	log      zerolog.Logger
	within   time.Duration // that a call may take
}

// New is a tool that has not connected to any agent.
func New(f *layout.Fleet, folder keys.Folder, operator string, log zerolog.Logger) (*Tool, error) {
	source := folder.Source(keys.Operator, operator)
	if err := source.Check(); err != nil {
		return nil, fmt.Errorf("operator %s: %w", operator, err)
	}
	t := &Tool{Fleet: f, Operator: operator, log: log,
		within: max(time.Second, time.Duration(4*float64(f.Times.Look)*float64(time.Second)))}
	for _, a := range f.Agents {
		t.clients = append(t.clients, api.NewClient(a.Name, a.Listen.String(), source, api.SupportedVersions))
	}
	return t, nil
}

// Close ends the tool's connections.
func (t *Tool) Close() {
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

func (t *Tool) call(ctx context.Context, agent int, c form.Request) (form.Reply, error) {
	within := t.within
	if c.Verb == form.PutRevisionVerb || c.Verb == form.GetRevisionVerb || c.Verb == form.HistoryVerb {
		within *= 5 // they carry more
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return t.clients[agent].Call(ctx, c)
}

// All asks every agent the same.
func (t *Tool) All(ctx context.Context, c form.Request) []Answer {
	out := make([]Answer, len(t.clients))
	var g errgroup.Group
	g.SetLimit(atOnce)
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
	Fleet     string        `json:"fleet"`
	Serving   int           `json:"serving"`
	Of        int           `json:"of"`
	Agents    []AgentState  `json:"agents"`
	Instances []Instance    `json:"instances"`
	Rollout   *RolloutState `json:"rollout,omitempty"`
	Claim     *ClaimState   `json:"claim,omitempty"`
}

// AgentState is one agent's.
type AgentState struct {
	Name    string `json:"name"`
	Heard   bool   `json:"heard"`
	Program string `json:"program,omitempty"`
	Fault   string `json:"fault,omitempty"`
}

// Instance is one router's state.
type Instance struct {
	Name     string  `json:"name"`
	Hall     string  `json:"hall"`
	Agent    string  `json:"agent"`
	Known    bool    `json:"known"`
	Life     string  `json:"life"`
	Revision string  `json:"revision,omitempty"`
	Wants    string  `json:"wants,omitempty"`
	Process  int     `json:"process,omitempty"`
	Crashes  int     `json:"crashes,omitempty"`
	Ended    uint64  `json:"ended"`      // commands of the last while
	Failed   uint64  `json:"unanswered"` // of them
	ReadyFor float64 `json:"ready_seconds"`
	Step     string  `json:"step,omitempty"` // open, or failed and why
}

// RolloutState is the newest rollout's.
type RolloutState struct {
	ID       string   `json:"id"`
	Revision string   `json:"revision"`
	Name     string   `json:"name,omitempty"`
	State    string   `json:"state"`
	Back     bool     `json:"back"`
	Why      string   `json:"why,omitempty"`
	Cause    string   `json:"cause,omitempty"` // it goes back
	By       string   `json:"by"`
	Asked    string   `json:"asked,omitempty"`
	Began    string   `json:"began"`
	Steps    uint64   `json:"steps"`
	Out      []string `json:"left_out,omitempty"`
	Step     string   `json:"step,omitempty"` // under way
}

// ClaimState is who may change the fleet.
type ClaimState struct {
	Epoch   uint64  `json:"epoch"`
	Holder  string  `json:"holder"`
	Held    bool    `json:"held"` // by a majority
	Grants  int     `json:"grants"`
	Since   float64 `json:"since_seconds"`
	Left    float64 `json:"left_seconds"`
	Agents  int     `json:"agents"`
	Present int     `json:"heard"`
}

// Status asks all agents.
func (t *Tool) Status(ctx context.Context) Status {
	return t.status(t.All(ctx, form.Request{Verb: form.StatusVerb}))
}

func (t *Tool) status(answers []Answer) Status {
	s := Status{Fleet: t.Fleet.Name, Of: len(t.Fleet.Instances)}
	told := map[string]form.InstanceStatus{}
	for _, a := range answers {
		state := AgentState{Name: a.Agent, Heard: a.Err == nil, Program: a.Reply.Program}
		if a.Err != nil {
			state.Fault = a.Err.Error()
		}
		s.Agents = append(s.Agents, state)
		for _, x := range a.Reply.Instances {
			told[x.Name] = x
		}
	}
	for _, x := range t.Fleet.Instances {
		row := Instance{Name: x.Name, Agent: x.Agent, Hall: t.Fleet.Agent(x.Agent).Hall, Life: plan.Unknown.String()}
		if got, ok := told[x.Name]; ok {
			row.Known, row.Life, row.Process, row.Crashes = true, got.Life.String(), got.ProcessID, got.Crashes
			row.Revision, row.ReadyFor = revision.Short(got.Revision), got.ReadyFor
			row.Ended, row.Failed = got.Recent.Ended, got.Recent.Unanswered
			if got.TargetRevision != got.Revision {
				row.Wants = revision.Short(got.TargetRevision)
			}
			switch {
			case got.Last.Number != 0 && got.End == plan.Open:
				row.Step = fmt.Sprintf("step %d of %s is open", got.Last.Number, got.Last.Rollout)
			case got.End == plan.Failed:
				row.Step = "failed: " + got.Why
			}
			if got.Life == plan.Ready {
				s.Serving++
			}
		}
		s.Instances = append(s.Instances, row)
	}
	s.Claim = t.claim(answers)
	if r, ok := newest(answers); ok {
		s.Rollout = t.Rollout(r)
	}
	return s
}

// newest is the newest record told of; what a majority has not kept may be among it.
func newest(answers []Answer) (form.Rollout, bool) {
	var best claim.Record
	for _, a := range answers {
		if a.Err == nil && best.Stamp.Before(a.Reply.Record.Stamp) {
			best = a.Reply.Record
		}
	}
	var r form.Rollout
	return r, best.Body != nil && form.Decode("record", best.Body, &r) == nil && r.ID != ""
}

func (t *Tool) claim(answers []Answer) *ClaimState {
	c := ClaimState{Agents: len(answers)}
	grants := map[string]int{}
	for _, a := range answers {
		if a.Err != nil {
			continue
		}
		c.Present++
		st := a.Reply.LeaseState
		c.Epoch = max(c.Epoch, st.Epoch)
		if st.Held {
			grants[st.Holder]++
			if n := grants[st.Holder]; n >= c.Grants {
				c.Holder, c.Grants, c.Since, c.Left = st.Holder, n, max(c.Since, st.Since), max(c.Left, st.Left)
			}
		}
	}
	c.Held = c.Grants >= claim.Majority(len(answers))
	return &c
}

// Rollout is one for people.
func (t *Tool) Rollout(r form.Rollout) *RolloutState {
	s := &RolloutState{ID: r.ID, Revision: revision.Short(r.Revision), Name: r.RevisionName, State: r.State.String(), Back: r.Back,
		Why: t.Explain(r.Why), Cause: t.Explain(r.Cause), By: r.StartedBy, Asked: r.RequestedBy, Began: time.Unix(r.StartedAt, 0).UTC().Format(time.RFC3339), Steps: r.Steps}
	for _, i := range r.Out {
		s.Out = append(s.Out, t.name(i))
	}
	if r.Step.Number != 0 {
		s.Step = fmt.Sprintf("step %d, %s", r.Step.Number, t.name(r.Step.Instance))
	}
	return s
}

func (t *Tool) name(i int) string {
	if i < 0 || i >= len(t.Fleet.Instances) {
		return fmt.Sprint("instance ", i)
	}
	return t.Fleet.Instances[i].Name
}

// Explain is a reason in names; empty for none.
func (t *Tool) Explain(r plan.Reason) string {
	name := t.name(r.Instance)
	agent := ""
	if r.Instance < len(t.Fleet.Instances) {
		agent = t.Fleet.Instances[r.Instance].Agent
	}
	switch r.Kind {
	case plan.NoReason:
		return r.Detail
	case plan.ByWord:
		return "by an operator's word"
	case plan.Unheard:
		return fmt.Sprintf("agent %s of instance %s is not heard from: bring it back and resume, or resume with --leave-out %s",
			agent, name, name)
	case plan.UnknownLife:
		return fmt.Sprintf("agent %s does not know instance %s yet", agent, name)
	case plan.Busy:
		return fmt.Sprintf("instance %s is in a step of another rollout", name)
	case plan.Unresolved:
		return fmt.Sprintf("the step of instance %s has no end", name)
	case plan.HallFloor:
		hall := ""
		if r.Hall < len(t.Fleet.Halls) {
			hall = t.Fleet.Halls[r.Hall].Name
		}
		return fmt.Sprintf("hall %s would be left with %d serving, and its floor is %d", hall, r.Have, r.Need)
	case plan.WholeFloor:
		return fmt.Sprintf("the fleet would be left with %d serving, and its floor is %d", r.Have, r.Need)
	case plan.StepFailed:
		return fmt.Sprintf("instance %s did not come up with the revision: %s", name, r.Detail)
	case plan.SoakFailed:
		return fmt.Sprintf("instance %s was %s in its soak", name, r.Detail)
	case plan.SoakWorse:
		return fmt.Sprintf("instance %s left %d of %d commands unanswered in its soak, a larger share than before", name, r.Have, r.Need)
	case plan.CannotGoBack:
		return fmt.Sprintf("instance %s cannot go back: %s", name, r.Detail)
	case plan.LeftOut:
		return fmt.Sprintf("%d instances were left out and are not done", r.Have)
	case plan.KeepsDying:
		return fmt.Sprintf("the step of %s came to nothing %d times in a row: its agent %s ended before it did anything, or the router "+
			"came up by itself", name, r.Have, agent)
	case plan.Refused:
		return fmt.Sprintf("agent %s refuses the step of %s: %s", agent, name, r.Detail)
	case plan.NothingToDo:
		return "there is nothing to do"
	}
	return "for a reason that this tool does not know"
}

// Pushed is what came of a push.
type Pushed struct {
	Digest  string       `json:"revision"`
	Name    string       `json:"name,omitempty"`
	Kept    int          `json:"kept"`
	Agents  int          `json:"agents"`
	Missing []AgentState `json:"missing,omitempty"`
}

// Read reads a revision's file and checks it for every instance, without an agent.
func (t *Tool) Read(file string) ([]byte, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("revision: %w", err)
	}
	content, err := revision.Canonical(file, raw)
	if err != nil {
		return nil, err
	}
	for i := range t.Fleet.Instances {
		if _, err := revision.Check(content, t.Fleet.Instances[i].Revised()); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
	}
	return content, nil
}

// Push has every agent keep a revision.
func (t *Tool) Push(ctx context.Context, content []byte, name string) Pushed {
	rev := form.Revision{Digest: revision.Digest(content), Name: name, PushedBy: t.Operator, PushedAt: time.Now().Unix(), Content: content}
	p := Pushed{Digest: rev.Digest, Name: name, Agents: len(t.clients)}
	for _, a := range t.All(ctx, form.Request{Verb: form.PutRevisionVerb, Revision: rev}) {
		if a.Err != nil {
			p.Missing = append(p.Missing, AgentState{Name: a.Agent, Fault: a.Err.Error()})
			continue
		}
		p.Kept++
	}
	return p
}

// History is what the agents keep of revisions and rollouts, newest first.
type History struct {
	Revisions []form.Revision
	Rollouts  []form.Rollout
}

// History gathers it.
func (t *Tool) History(ctx context.Context) (History, error) {
	var h History
	revs, rolls := map[string]form.Revision{}, map[string]form.Rollout{}
	var faults []error
	heard := 0
	for _, a := range t.All(ctx, form.Request{Verb: form.HistoryVerb}) {
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
			if old, has := rolls[r.ID]; !has || old.Run < r.Run || old.Run == r.Run && (old.Steps < r.Steps || r.State.Over()) {
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
func (t *Tool) Find(ctx context.Context, called string) (form.Revision, error) {
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
func (t *Tool) Content(ctx context.Context, digest string) ([]byte, error) {
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
	return nil, errors.Join(append(faults, fmt.Errorf("no agent that can be heard keeps revision %s", revision.Short(digest)))...)
}

// Effect is what a revision would mean for one instance.
type Effect struct {
	Instance string   `json:"instance"`
	How      string   `json:"how"` // none, reload, restart, start, unknown
	Keys     []string `json:"keys,omitempty"`
}

// Effects tells beforehand what needs a restart and what moves by a reload.
func (t *Tool) Effects(ctx context.Context, content []byte) ([]Effect, error) {
	to := revision.Digest(content)
	running := map[string]string{}
	for _, a := range t.All(ctx, form.Request{Verb: form.StatusVerb}) {
		for _, x := range a.Reply.Instances {
			running[x.Name] = x.Revision
		}
	}
	contents := map[string][]byte{}
	var out []Effect
	for i := range t.Fleet.Instances {
		x := &t.Fleet.Instances[i]
		e := Effect{Instance: x.Name}
		switch from, known := running[x.Name]; {
		case !known:
			e.How = "unknown"
		case from == "":
			e.How = "start"
		case from == to:
			e.How = "none"
		default:
			if contents[from] == nil {
				c, err := t.Content(ctx, from)
				if err != nil {
					return nil, err
				}
				contents[from] = c
			}
			before, err := revision.Check(contents[from], x.Revised())
			if err != nil {
				return nil, err
			}
			after, err := revision.Check(content, x.Revised())
			if err != nil {
				return nil, err
			}
			if e.Keys = revision.Restarts(&before, &after); len(e.Keys) > 0 {
				e.How = "restart"
			} else {
				e.How = "reload"
			}
		}
		out = append(out, e)
	}
	return out, nil
}

// Ask leaves a wish with the agents for whoever drives a rollout. It tells how many took it.
func (t *Tool) Ask(ctx context.Context, r form.Rollout, w plan.Wish) int {
	took := 0
	for _, a := range t.All(ctx, form.Request{Verb: form.RequestActionVerb, AgentsDigest: t.Fleet.AgentsDigest(),
		OperatorRequest: form.OperatorRequest{RolloutID: r.ID, Run: r.Run, Action: w, Operator: t.Operator}}) {
		if a.Err == nil {
			took++
		}
	}
	return took
}

// Newest is the newest rollout that can be heard of, and whether a tool drives it now.
func (t *Tool) Newest(ctx context.Context) (r form.Rollout, driven, found bool) {
	answers := t.All(ctx, form.Request{Verb: form.StatusVerb})
	r, found = newest(answers)
	return r, t.claim(answers).Held, found
}

// Unique is a name that nothing else has.
func Unique() string {
	var b [6]byte
	_, _ = rand.Read(b[:]) // it never fails
	return hex.EncodeToString(b[:])
}

// Begin is the task of a new rollout.
func (t *Tool) Begin(r form.Revision, restart bool) roll.Task {
	return roll.Task{Verb: roll.Begin, By: t.Operator, Fleet: t.Fleet.InstancesDigest(), Rollout: form.Rollout{
		Rollout: plan.Rollout{ID: Unique(), Revision: r.Digest, Restart: restart}, RevisionName: r.Name, StartedBy: t.Operator,
		StartedAt: time.Now().Unix(), InstancesDigest: t.Fleet.InstancesDigest()}}
}

// Drive carries a task out. Once ctx ends the driver gives its claim back, and the rollout waits to be taken
// up. watch is called, if it is not nil, with what has come about.
func (t *Tool) Drive(ctx context.Context, task roll.Task, watch func(roll.View, []roll.Event)) roll.Outcome {
	task.Fleet = t.Fleet.InstancesDigest()
	host, _ := os.Hostname() // for people only
	look := float64(t.Fleet.Times.Look)
	d := roll.New(t.Fleet.Plan(), t.Fleet.Names(), len(t.clients), t.Fleet.AgentsDigest(),
		api.HolderName(t.Operator, host+"/"+Unique()), roll.Times{Period: look, Giving: float64(t.Fleet.Times.Contact)}, task,
		mathrand.Float64)
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
	slots := make(chan struct{}, atOnce)
	for {
		sends, wake := d.Tick(now())
		for _, s := range sends {
			out.Add(1)
			go func() {
				defer out.Done()
				slots <- struct{}{}
				r, err := t.call(calls, s.Agent, s.Call)
				<-slots
				answers <- heard{s.ID, r, err}
			}()
		}
		if watch != nil {
			watch(d.View(now()), d.Events())
		} else {
			d.Events()
		}
		if o, over := d.Over(); over {
			return o
		}
		timer := time.NewTimer(time.Duration(max(0, wake-now()) * float64(time.Second)))
		select {
		case h := <-answers:
			take := func(h heard) {
				if h.err != nil {
					d.Failed(now(), h.id, h.err.Error())
				} else {
					d.Heard(now(), h.id, h.r)
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
