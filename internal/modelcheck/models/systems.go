// Package models holds what is explored: the code that serves, with everything round it as an adversary that
// picks what happens next. Bounds say how much of it there is.
package models

import (
	"fmt"
	"os"
	"slices"
	"sort"
	"time"

	"stoatdale.example/stoatdale/internal/modelcheck"
	"stoatdale.example/stoatdale/internal/sexp"
)

// Kind of system that can be explored.
type Kind struct {
	Name   string
	Words  string
	Faults map[string]Fault // bugs that can be injected
	New    func(b Bounds, fault string) func() modelcheck.System
}

// Fault is a bug that can be injected, with bounds in which it is found. No release of the router holds
// anything of it: it is in the adversary, at the seam to the code that serves.
type Fault struct {
	Words  string
	Bounds Bounds
}

// Kinds are all of them.
func Kinds() []Kind {
	return []Kind{commandKind, slowStartKind, backendKind, clientKind, watchKind, rolloutKind}
}

// Find finds one by its name.
func Find(name string) (Kind, error) {
	var names []string
	for _, k := range Kinds() {
		if k.Name == name {
			return k, nil
		}
		names = append(names, k.Name)
	}
	sort.Strings(names)
	return Kind{}, fmt.Errorf("there is no system %q; there are %v", name, names)
}

// Bounds of one system's exploration. What a system does not have it passes over.
type Bounds struct {
	System   string        `sexp:",name"`
	Depth    int           `sexp:"depth"`
	States   int           `sexp:"states"`
	Memory   int           `sexp:"memory-mb"`
	For      sexp.Seconds  `sexp:"for"`
	Agents   int           `sexp:"agents"`
	Tools    int           `sexp:"tools"`
	Members  int           `sexp:"members"`
	Routers  int           `sexp:"routers"`
	Clients  int           `sexp:"clients"`
	Commands []string      `sexp:"commands"` // their groups, or what each client says
	Ticks    int           `sexp:"ticks"`    // steps of time
	Faults   int           `sexp:"faults"`   // of the adversary's, in all
	Only     []string      `sexp:"only"`     // kinds of faults; none: all
	Live     bool          `sexp:"live"`
	Place    sexp.Position `sexp:",place"`
}

// File is a file of bounds, one entry a system.
type File struct {
	Bounds []Bounds `sexp:"bounds"`
}

// Load reads a file of bounds and returns those of one system, in the file's order.
func Load(path, system string) ([]Bounds, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("bounds: %w", err)
	}
	nodes, err := sexp.Read(path, raw)
	if err != nil {
		return nil, err
	}
	var f File
	if err := sexp.Decode(path, nodes, &f); err != nil {
		return nil, err
	}
	var out []Bounds
	for _, b := range f.Bounds {
		if err := b.check(); err != nil {
			return nil, err
		}
		if b.System == system {
			out = append(out, b)
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%s: there are no bounds for %s", path, system)
	}
	return out, nil
}

func (b *Bounds) check() error {
	if _, err := Find(b.System); err != nil {
		return &sexp.Error{Position: b.Place, Reason: err.Error()}
	}
	for _, c := range b.Commands {
		isClientMessage := b.System == "client" && slices.Contains(clientMessages, c)
		if groupOf(c) < 0 && !isClientMessage {
			return &sexp.Error{Position: b.Place, Reason: fmt.Sprintf("commands: there is no command group %s", c)}
		}
	}
	for _, x := range []struct {
		key         string
		value, most int
	}{{"agents", b.Agents, 9}, {"tools", b.Tools, 4}, {"members", b.Members, 6}, {"routers", b.Routers, 4}, {"clients", b.Clients, 4}, {"ticks", b.Ticks, 1000}, {"faults", b.Faults, 100}} {
		if x.value < 0 || x.value > x.most {
			return &sexp.Error{Position: b.Place, Reason: fmt.Sprintf("%s is %d, and must be within 0 and %d", x.key, x.value, x.most)}
		}
	}
	return nil
}

// mayInject tells whether the adversary mayInject put in a fault of a kind after so many.
func (b *Bounds) mayInject(kind string, so int) bool {
	return so < b.Faults && (len(b.Only) == 0 || slices.Contains(b.Only, kind))
}

// Explore are the explorer's bounds.
func (b *Bounds) Explore(workers int) modelcheck.Bounds {
	return modelcheck.Bounds{
		MaxDepth: b.Depth, MaxStates: b.States, MaxHeapBytes: uint64(b.Memory) << 20,
		MaxDuration: time.Duration(float64(b.For) * float64(time.Second)), Workers: workers, CheckLiveness: b.Live,
	}
}
