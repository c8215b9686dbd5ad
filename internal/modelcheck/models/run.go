package models

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/renameio/v2"

	"stoatdale.example/stoatdale/internal/modelcheck"
)

// Trace is a sequence of steps that violates a property, with all that is needed to replay it.
type Trace struct {
	System string `json:"system"`
	Fault  string `json:"fault,omitempty"` // the injected fault; empty if there is none
	Bounds Bounds `json:"bounds"`
	modelcheck.Trace
}

// Save writes a trace to a file.
func (t Trace) Save(path string) error {
	raw, err := json.MarshalIndent(t, "", "  ")
	if err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	if err := os.WriteFile(path, append(raw, '\n'), 0o600); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	return nil
}

// LoadTrace reads a trace from a file.
func LoadTrace(path string) (Trace, error) {
	var t Trace
	raw, err := os.ReadFile(path)
	if err != nil {
		return t, fmt.Errorf("trace: %w", err)
	}
	if err := json.Unmarshal(raw, &t); err != nil {
		return t, fmt.Errorf("trace: %s: %w", path, err)
	}
	k, err := FindKind(t.System)
	if err != nil {
		return t, fmt.Errorf("trace: %s: %w", path, err)
	}
	if _, known := k.Faults[t.Fault]; t.Fault != "" && !known {
		return t, fmt.Errorf("trace: %s: system %s has no fault %q", path, t.System, t.Fault)
	}
	return t, nil
}

// Replay takes a trace's steps on the present code. It returns how many were possible, and what was violated.
func (t Trace) Replay() (taken int, property, detail string) {
	k, err := FindKind(t.System)
	if err != nil {
		return 0, "", err.Error()
	}
	return modelcheck.Replay(k.New(t.Bounds, t.Fault)(), t.Trace)
}

// InjectionResult is the result of exploring a system with one injected fault.
type InjectionResult struct {
	System      string  `json:"system"`
	Fault       string  `json:"fault"`
	Description string  `json:"words"`
	Found       bool    `json:"found"`
	Property    string  `json:"property,omitempty"`
	TraceLength int     `json:"trace_length"`
	States      int     `json:"states"`
	Seconds     float64 `json:"seconds"`
	Clean       bool    `json:"clean"` // without the fault, nothing is violated in the same bounds
	Trace       *Trace  `json:"-"`
}

// Inject explores a system with an injected fault, and without it in the same bounds.
func Inject(ctx context.Context, k Kind, fault string, workers int) InjectionResult {
	f := k.Faults[fault]
	b := f.Bounds
	b.System = k.Name
	result := modelcheck.Run(ctx, k.New(b, fault), b.ExplorerBounds(workers), nil)
	found := InjectionResult{System: k.Name, Fault: fault, Description: f.Description, States: result.States, Seconds: result.Seconds}
	if result.Counterexample != nil {
		found.Found, found.Property, found.TraceLength = true, result.Counterexample.Property, len(result.Counterexample.Steps)
		found.Trace = &Trace{System: k.Name, Fault: fault, Bounds: b, Trace: *result.Counterexample}
	}
	clean := modelcheck.Run(ctx, k.New(b, ""), b.ExplorerBounds(workers), nil)
	found.Clean = clean.Complete && clean.Counterexample == nil
	return found
}

// FaultNames returns the names of a system's faults in order.
func (k Kind) FaultNames() []string {
	var names []string
	for n := range k.Faults {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// WalkResult is the result of random walks.
type WalkResult struct {
	System         string         `json:"system"`
	Seed           uint64         `json:"seed"`
	Walks          int            `json:"walks"`
	Steps          int            `json:"steps"`
	StepsByKind    map[string]int `json:"taken"`
	Counterexample *Trace         `json:"broken,omitempty"`
}

// Walk takes random walks, for bounds that are too large to explore. It stops at the first violation, when ctx is done, or after
// maxDuration; 0 means no limit.
func Walk(ctx context.Context, k Kind, b Bounds, fault string, seed uint64, walks, steps int, maxDuration time.Duration) WalkResult {
	walked := WalkResult{System: k.Name, Seed: seed, StepsByKind: map[string]int{}}
	rng := rand.New(rand.NewPCG(seed, 0))
	began := time.Now()
	for ; walked.Walks < walks && ctx.Err() == nil && (maxDuration == 0 || time.Since(began) < maxDuration); walked.Walks++ {
		if t := modelcheck.RandomWalk(k.New(b, fault)(), steps, rng.IntN, walked.StepsByKind); t != nil {
			walked.Counterexample = &Trace{System: k.Name, Fault: fault, Bounds: b, Trace: *t}
			break
		}
	}
	for _, n := range walked.StepsByKind {
		walked.Steps += n
	}
	return walked
}

// Stopped is an exploration that ended before it was complete and can be resumed.
type Stopped struct {
	System string
	Fault  string
	Bounds Bounds
	Saved  modelcheck.Saved
}

// Save writes the exploration to a file.
func (s Stopped) Save(path string) error {
	raw, err := cbor.Marshal(s)
	if err == nil {
		err = renameio.WriteFile(path, raw, 0o600)
	}
	if err != nil {
		return fmt.Errorf("exploration: %w", err)
	}
	return nil
}

// LoadStopped reads a stopped exploration from a file.
func LoadStopped(path string) (Stopped, error) {
	var s Stopped
	raw, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("exploration: %w", err)
	}
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 30}.DecMode()
	if err == nil {
		err = mode.Unmarshal(raw, &s)
	}
	if err != nil {
		return s, fmt.Errorf("exploration: %s: %w", path, err)
	}
	n := len(s.Saved.Prints)
	if len(s.Saved.Parents) != n || len(s.Saved.By) != n || len(s.Saved.Ended) != n || len(s.Saved.Expanded) != n || n == 0 {
		return s, fmt.Errorf("exploration: %s: its lists differ in length or are empty", path)
	}
	if _, err := FindKind(s.System); err != nil {
		return s, fmt.Errorf("exploration: %s: %w", path, err)
	}
	return s, nil
}
