// Package inventory reads the fleet file, an inventory as S-expressions: the agents, zones and instances of a fleet, how many
// instances must stay available, and times.
package inventory

import (
	"fmt"
	"net/netip"
	"os"

	"stoatdale.example/stoatdale/internal/sexp"
)

// Fleet is a fleet file. Its lists keep the file's order.
type Fleet struct {
	Name         string     `sexp:"name,must"`
	MinAvailable int        `sexp:"floor,must"` // instances of the whole fleet that must serve during a rollout
	Times        Times      `sexp:"times"`
	Zones        []Zone     `sexp:"hall"`
	Agents       []Agent    `sexp:"agent"`
	Instances    []Instance `sexp:"instance"`

	zoneIndex  map[string]int // by name
	agentIndex map[string]int
}

// Times of rollouts, leases and agents. Those that the file does not give have defaults.
type Times struct {
	Soak           sexp.Seconds `sexp:"soak"`    // that a changed instance must serve before the next is touched
	FreshFor       sexp.Seconds `sexp:"fresh"`   // after which what was seen of an instance is no longer known
	ContactTimeout sexp.Seconds `sexp:"contact"` // that a rollout waits for an agent or a majority before it pauses
	StepTimeout    sexp.Seconds `sexp:"step"`    // that a step may take
	LeaseTerm      sexp.Seconds `sexp:"claim"`   // that a lease runs unless it is renewed
	PollInterval   sexp.Seconds `sexp:"look"`    // between two status requests to an agent
	ReadyTimeout   sexp.Seconds `sexp:"ready"`   // that a started router may take until it answers
	DrainGrace     sexp.Seconds `sexp:"grace"`   // beyond a router's own limits, that it may take to end
}

// Zone is a part of the fleet that fails together, and of which instances must stay available.
type Zone struct {
	Name         string        `sexp:",name"`
	MinAvailable int           `sexp:"floor,must"` // instances that must serve during a rollout
	Position     sexp.Position `sexp:",place"`
}

// Agent is the agent of one machine.
type Agent struct {
	Name     string         `sexp:",name"`
	Listen   netip.AddrPort `sexp:"listen,must"`
	Zone     string         `sexp:"hall,must"`    // of the agent's instances
	Folder   string         `sexp:"folder,must"`  // of its store and its routers' files
	Program  string         `sexp:"program,must"` // path of the router's program
	Position sexp.Position  `sexp:",place"`
}

// Instance is one router.
type Instance struct {
	Name        string         `sexp:",name"` // also of its folder in the agent's
	Agent       string         `sexp:"agent,must"`
	Listen      netip.AddrPort `sexp:"listen,must"`
	Discovery   string         `sexp:"discovery"` // address and port in place of the revision's
	RouterIndex *int           `sexp:"me"`        // in place of the revision's settings.me
	Position    sexp.Position  `sexp:",place"`
}

func defaultTimes() Times {
	return Times{
		Soak:           5,
		FreshFor:       3,
		ContactTimeout: 30,
		StepTimeout:    120,
		LeaseTerm:      15,
		PollInterval:   0.5,
		ReadyTimeout:   10,
		DrainGrace:     2,
	}
}

// Load reads and checks a fleet file. Its errors are those of reading the file and of Parse.
func Load(path string) (*Fleet, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet file: %w", err)
	}
	return Parse(path, raw)
}

// Parse reads and checks the text of a fleet file. Its errors name the file, line and column, and the key.
func Parse(file string, raw []byte) (*Fleet, error) {
	nodes, err := sexp.Read(file, raw)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Times: defaultTimes()}
	if err := sexp.Decode(file, nodes, f); err != nil {
		return nil, err
	}
	if err := f.check(file); err != nil {
		return nil, err
	}
	return f, nil
}

// Text is a file that reads back as f.
func (f *Fleet) Text() []byte { return sexp.Print(sexp.Encode(f)) }
