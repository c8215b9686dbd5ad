// Package inventory reads the fleet file. The file lists, as S-expressions, the agents, zones and instances of a fleet, the
// minimum numbers of serving instances, and the times of rollouts, leases and agents.
package inventory

import (
	"fmt"
	"net/netip"
	"os"

	"stoatdale.example/stoatdale/internal/sexp"
)

// Fleet is the content of a fleet file. Its lists are in the order of the file.
type Fleet struct {
	Name         string     `sexp:"name,must"`
	MinAvailable int        `sexp:"floor,must"` // minimum number of instances of the fleet that serve during a rollout
	Times        Times      `sexp:"times"`
	Zones        []Zone     `sexp:"hall"`
	Agents       []Agent    `sexp:"agent"`
	Instances    []Instance `sexp:"instance"`

	zoneIndex  map[string]int // by name
	agentIndex map[string]int // by name
}

// Times holds the times of rollouts, leases and agents. A time that the file does not set has a default.
type Times struct {
	Soak           sexp.Seconds `sexp:"soak"`    // time for which a changed instance must serve before the next is changed
	FreshFor       sexp.Seconds `sexp:"fresh"`   // age above which an observation of an instance is ignored
	ContactTimeout sexp.Seconds `sexp:"contact"` // time for which a rollout waits for an agent or a majority before it pauses
	StepTimeout    sexp.Seconds `sexp:"step"`    // time that a step may take
	LeaseTerm      sexp.Seconds `sexp:"claim"`   // time after which a lease expires unless it is renewed
	PollInterval   sexp.Seconds `sexp:"look"`    // time between two status requests to an agent
	ReadyTimeout   sexp.Seconds `sexp:"ready"`   // time that a router may take from its start until it is ready
	DrainGrace     sexp.Seconds `sexp:"grace"`   // time that a router may take to shut down beyond its own limits
}

// Zone is a part of the fleet whose instances can fail together. A minimum number of them must serve.
type Zone struct {
	Name         string        `sexp:",name"`
	MinAvailable int           `sexp:"floor,must"` // minimum number of the zone's instances that serve during a rollout
	Position     sexp.Position `sexp:",place"`
}

// Agent is the agent that runs the routers of one machine.
type Agent struct {
	Name     string         `sexp:",name"`
	Listen   netip.AddrPort `sexp:"listen,must"`
	Zone     string         `sexp:"hall,must"`    // zone of the agent's instances
	Folder   string         `sexp:"folder,must"`  // folder of the agent's store and of its routers' files
	Program  string         `sexp:"program,must"` // path of the router's executable
	Position sexp.Position  `sexp:",place"`
}

// Instance is one router.
type Instance struct {
	Name        string         `sexp:",name"` // also the name of the instance's folder in the agent's folder
	Agent       string         `sexp:"agent,must"`
	Listen      netip.AddrPort `sexp:"listen,must"`
	Discovery   string         `sexp:"discovery"` // address and port that replace the revision's; empty to keep the revision's
	RouterIndex *int           `sexp:"me"`        // replaces the revision's settings.me; nil to keep the revision's
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

// Load reads, parses and checks the fleet file at a path.
func Load(path string) (*Fleet, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet file: %w", err)
	}
	return Parse(path, raw)
}

// Parse parses and checks the text of a fleet file. Its errors name the file, line, column and key.
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

// Text returns the text of a fleet file that Parse reads as an equal fleet.
func (f *Fleet) Text() []byte { return sexp.Print(sexp.Encode(f)) }
