// Package models holds the systems that package modelcheck explores: production code of the router and its fleet, with its
// environment as an adversary that chooses what happens next. Bounds limit the adversary and the size of a system.
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

// Kind is a kind of system that can be explored.
type Kind struct {
	Name        string
	Description string
	Faults      map[string]Fault // faults that can be injected, by name
	New         func(b Bounds, fault string) func() modelcheck.System
}

// Fault is a bug that can be injected, with bounds in which an exploration finds it. It is in the adversary, at the boundary to
// the production code; the released router contains nothing of it.
type Fault struct {
	Description string
	Bounds      Bounds
}

// Kinds returns all kinds of systems.
func Kinds() []Kind {
	return []Kind{commandKind, slowStartKind, backendKind, clientKind, watchKind, rolloutKind}
}

// FindKind returns the kind of system with a name.
func FindKind(name string) (Kind, error) {
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

// Bounds limit the exploration of one system. A system ignores those that do not apply to it.
type Bounds struct {
	System   string        `sexp:",name"`
	Depth    int           `sexp:"depth"`     // largest number of steps from the start
	States   int           `sexp:"states"`    // largest number of states that are stored
	Memory   int           `sexp:"memory-mb"` // largest heap, in MiB
	For      sexp.Seconds  `sexp:"for"`       // longest wall time
	Agents   int           `sexp:"agents"`
	Tools    int           `sexp:"tools"`
	Members  int           `sexp:"members"` // backends of the system command
	Routers  int           `sexp:"routers"`
	Clients  int           `sexp:"clients"`
	Commands []string      `sexp:"commands"` // command groups, or for the system client the messages of each client
	Ticks    int           `sexp:"ticks"`    // largest number of time steps
	Faults   int           `sexp:"faults"`   // largest number of faults that the adversary injects
	Only     []string      `sexp:"only"`     // kinds of faults that it may inject; empty: all
	Live     bool          `sexp:"live"`     // look for states from which no end state can be reached
	Place    sexp.Position `sexp:",place"`
}

// File is a file of bounds, with one entry for each exploration.
type File struct {
	Bounds []Bounds `sexp:"bounds"`
}

// LoadBounds reads a file of bounds and returns those of one system, in the file's order.
func LoadBounds(path, system string) ([]Bounds, error) {
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
	var selected []Bounds
	for _, b := range f.Bounds {
		if err := b.check(); err != nil {
			return nil, err
		}
		if b.System == system {
			selected = append(selected, b)
		}
	}
	if len(selected) == 0 {
		return nil, fmt.Errorf("%s: there are no bounds for %s", path, system)
	}
	return selected, nil
}

func (b *Bounds) check() error {
	if _, err := FindKind(b.System); err != nil {
		return &sexp.Error{Position: b.Place, Reason: err.Error()}
	}
	for _, c := range b.Commands {
		isClientMessage := b.System == "client" && slices.Contains(clientMessages, c)
		if groupOf(c) < 0 && !isClientMessage {
			return &sexp.Error{Position: b.Place, Reason: fmt.Sprintf("commands: there is no command group %s", c)}
		}
	}
	for _, limit := range []struct {
		key            string
		value, maximum int
	}{
		{"agents", b.Agents, 9},
		{"tools", b.Tools, 4},
		{"members", b.Members, 6},
		{"routers", b.Routers, 4},
		{"clients", b.Clients, 4},
		{"ticks", b.Ticks, 1000},
		{"faults", b.Faults, 100},
	} {
		if limit.value < 0 || limit.value > limit.maximum {
			return &sexp.Error{
				Position: b.Place,
				Reason:   fmt.Sprintf("%s is %d, and must be within 0 and %d", limit.key, limit.value, limit.maximum),
			}
		}
	}
	return nil
}

// mayInject reports whether the adversary may inject a fault of a kind when some are already injected.
func (b *Bounds) mayInject(kind string, injected int) bool {
	return injected < b.Faults && (len(b.Only) == 0 || slices.Contains(b.Only, kind))
}

// ExplorerBounds returns the explorer's bounds.
func (b *Bounds) ExplorerBounds(workers int) modelcheck.Bounds {
	return modelcheck.Bounds{
		MaxDepth: b.Depth, MaxStates: b.States, MaxHeapBytes: uint64(b.Memory) << 20,
		MaxDuration: time.Duration(float64(b.For) * float64(time.Second)), Workers: workers, CheckLiveness: b.Live,
	}
}
