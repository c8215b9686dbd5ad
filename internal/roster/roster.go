// Package roster reads discovery's lists of members.
package roster

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// State is a member's state in the list.
type State int

// States of a member.
const (
	Gone State = iota
	Ready
	Draining
)

// Member is one line of a list.
type Member struct {
	ID        string
	At        netip.AddrPort // not valid where a gone member has none
	Zone      string
	Cell      int
	State     State
	StartedMs int64 // Unix; 0: long ago
	Primary   bool
}

// List is a whole list or what has changed.
type List struct {
	Generation int64
	Whole      bool
	Members    []Member
}

var states = map[string]State{"gone": Gone, "ready": Ready, "draining": Draining}

// Parse reads a list. Its errors name the entry and key at fault.
func Parse(raw []byte) (List, error) {
	var doc struct {
		Generation *int64 `json:"generation"`
		Reset      bool   `json:"reset"`
		Instances  []struct {
			ID       string `json:"instanceId"`
			Addr     string `json:"hostPort"`
			Zone     string `json:"zone"`
			Cell     int    `json:"cell"`
			State    string `json:"lifecycle"`
			Started  int64  `json:"startedAtMs"`
			Recovery string `json:"recovery"`
		} `json:"instances"`
	}
	if err := json.Unmarshal(raw, &doc); err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	if doc.Generation == nil {
		return List{}, errors.New("list: generation is missing")
	}
	l := List{Generation: *doc.Generation, Whole: doc.Reset}
	for i, e := range doc.Instances {
		at := fmt.Sprintf("list: instances[%d].", i)
		if e.ID == "" {
			return List{}, errors.New(at + "instanceId is missing")
		}
		state, ok := states[e.State]
		if !ok {
			return List{}, fmt.Errorf("%slifecycle: unknown state %q", at, e.State)
		}
		m := Member{ID: e.ID, Zone: e.Zone, Cell: e.Cell, State: state, StartedMs: e.Started,
			Primary: e.Recovery == "off"}
		var err error
		if m.At, err = netip.ParseAddrPort(e.Addr); err != nil && state != Gone {
			return List{}, fmt.Errorf("%shostPort: %w", at, err)
		}
		l.Members = append(l.Members, m)
	}
	return l, nil
}
