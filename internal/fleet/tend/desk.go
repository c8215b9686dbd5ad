package tend

import (
	"fmt"

	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/form"
	"stoatdale.example/stoatdale/internal/fleet/plan"
)

// Desk answers the fleet tool for one agent: its claim, its record, the wish that was left, its instances.
type Desk struct {
	Agent     string
	Program   string // that answers, and its version
	Agents    string // digest of the list of agents that this one goes by
	Claims    claim.Ledger
	Wish      form.Wish
	Names     []string
	Instances []Instance
	Listens   []string
}

// Saves tells what a call has changed that must be stored before it is answered, and what is then done.
type Saves struct {
	Claims   bool // Desk.Claims
	Wish     bool
	Instance int // its record, or -1
	Do       []Effect
}

// Handle answers a call. The calls for revisions and history are not the desk's.
func (d *Desk) Handle(now float64, c form.Call) (form.Reply, Saves) {
	r := form.Reply{Agent: d.Agent, Program: d.Program}
	s := Saves{Instance: -1}
	if c.Agents != "" && c.Agents != d.Agents && c.Verb != form.Look {
		r.Refusal = claim.NotHolder
		r.Fault = "it goes by another list of agents: bring the fleet file of the agent and the tool together"
		r.Standing = d.Claims.Standing(now)
		return r, s
	}
	switch c.Verb {
	case form.Look:
		if c.Epoch != 0 {
			r.Refusal = d.Claims.Admit(now, c.Epoch, c.Holder)
		}
		for i := range d.Instances {
			r.Instances = append(r.Instances, d.told(now, i))
		}
		r.Record = d.Claims.Record
		if c.Epoch != 0 {
			r.Record.Body = nil // its holder has it
		}
		r.Wish = d.Wish
	case form.Bid:
		r.Refusal = d.Claims.Bid(now, c.Bid)
		r.Record = d.Claims.Record
		s.Claims = r.Refusal == claim.Granted
	case form.Keep:
		r.Refusal = d.Claims.Keep(now, c.Epoch, c.Holder, c.Record)
		s.Claims = r.Refusal == claim.Granted
	case form.Release:
		r.Refusal = d.Claims.Release(now, c.Epoch, c.Holder)
		s.Claims = r.Refusal == claim.Granted
	case form.Ask:
		d.Wish, s.Wish = c.Wish, true
	case form.Act:
		r.Refusal = d.Claims.Admit(now, c.Epoch, c.Holder)
		if r.Refusal == claim.Granted {
			s, r.Fault = d.begin(now, c.Name, c.Step)
		}
	default:
		r.Fault = fmt.Sprintf("%s is not answered here", c.Verb)
	}
	r.Standing = d.Claims.Standing(now)
	return r, s
}

func (d *Desk) begin(now float64, name string, step plan.Step) (Saves, string) {
	s := Saves{Instance: -1}
	for i, n := range d.Names {
		if n == name {
			out, fault := d.Instances[i].Begin(now, step)
			if out.Store {
				s.Instance = i
			}
			s.Do = out.Do
			return s, fault
		}
	}
	return s, fmt.Sprintf("there is no instance %s here", name)
}

func (d *Desk) told(now float64, i int) form.Told {
	x := &d.Instances[i]
	t := form.Told{Name: d.Names[i], Crashes: x.Crashes(), Sight: x.Sight(now), Wants: x.Revision}
	if i < len(d.Listens) {
		t.Listen = d.Listens[i]
	}
	if x.open() {
		t.Wants = x.Step.Revision
	}
	return t
}
