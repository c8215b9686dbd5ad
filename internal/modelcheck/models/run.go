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

// Trace is a way to a broken property, with all that is needed to take it again.
type Trace struct {
	System string `json:"system"`
	Fault  string `json:"fault,omitempty"` // that was injected
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

// LoadTrace reads one.
func LoadTrace(path string) (Trace, error) {
	var t Trace
	raw, err := os.ReadFile(path)
	if err != nil {
		return t, fmt.Errorf("trace: %w", err)
	}
	if err := json.Unmarshal(raw, &t); err != nil {
		return t, fmt.Errorf("trace: %s: %w", path, err)
	}
	k, err := Find(t.System)
	if err != nil {
		return t, fmt.Errorf("trace: %s: %w", path, err)
	}
	if _, known := k.Faults[t.Fault]; t.Fault != "" && !known {
		return t, fmt.Errorf("trace: %s: system %s has no fault %q", path, t.System, t.Fault)
	}
	return t, nil
}

// Replay takes a trace's steps on the code as it is now: how many could be taken, and what broke.
func (t Trace) Replay() (taken int, property, how string) {
	k, err := Find(t.System)
	if err != nil {
		return 0, "", err.Error()
	}
	return modelcheck.Replay(k.New(t.Bounds, t.Fault)(), t.Trace)
}

// Found is what became of one injected bug.
type Found struct {
	System   string  `json:"system"`
	Fault    string  `json:"fault"`
	Words    string  `json:"words"`
	Found    bool    `json:"found"`
	Property string  `json:"property,omitempty"`
	Length   int     `json:"trace_length"`
	States   int     `json:"states"`
	Seconds  float64 `json:"seconds"`
	Clean    bool    `json:"clean"` // without it the same bounds break nothing
	Trace    *Trace  `json:"-"`
}

// Inject explores a system with a bug in it, and without it in the same bounds.
func Inject(ctx context.Context, k Kind, fault string, workers int) Found {
	f := k.Faults[fault]
	b := f.Bounds
	b.System = k.Name
	r := modelcheck.Run(ctx, k.New(b, fault), b.Explore(workers), nil)
	out := Found{System: k.Name, Fault: fault, Words: f.Words, States: r.States, Seconds: r.Seconds}
	if r.Counterexample != nil {
		out.Found, out.Property, out.Length = true, r.Counterexample.Property, len(r.Counterexample.Steps)
		out.Trace = &Trace{System: k.Name, Fault: fault, Bounds: b, Trace: *r.Counterexample}
	}
	clean := modelcheck.Run(ctx, k.New(b, ""), b.Explore(workers), nil)
	out.Clean = clean.Complete && clean.Counterexample == nil
	return out
}

// Names of a system's faults, in order.
func (k Kind) Names() []string {
	var out []string
	for n := range k.Faults {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// Walked is what came of ways at random.
type Walked struct {
	System string         `json:"system"`
	Seed   uint64         `json:"seed"`
	Walks  int            `json:"walks"`
	Steps  int            `json:"steps"`
	Taken  map[string]int `json:"taken"`
	Broken *Trace         `json:"broken,omitempty"`
}

// Walk takes ways at random, for bounds that are too large to be explored.
func Walk(ctx context.Context, k Kind, b Bounds, fault string, seed uint64, walks, steps int, most time.Duration) Walked {
	w := Walked{System: k.Name, Seed: seed, Taken: map[string]int{}}
	rng := rand.New(rand.NewPCG(seed, 0))
	began := time.Now()
	for ; w.Walks < walks && ctx.Err() == nil && (most == 0 || time.Since(began) < most); w.Walks++ {
		if t := modelcheck.RandomWalk(k.New(b, fault)(), steps, rng.IntN, w.Taken); t != nil {
			w.Broken = &Trace{System: k.Name, Fault: fault, Bounds: b, Trace: *t}
			break
		}
	}
	for _, n := range w.Taken {
		w.Steps += n
	}
	return w
}

// Stopped is an exploration that ended before it was complete, to be taken up again.
type Stopped struct {
	System string
	Fault  string
	Bounds Bounds
	Saved  modelcheck.Saved
}

// Save writes it to a file.
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

// LoadStopped reads one.
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
		return s, fmt.Errorf("exploration: %s: its lists are not of one length", path)
	}
	if _, err := Find(s.System); err != nil {
		return s, fmt.Errorf("exploration: %s: %w", path, err)
	}
	return s, nil
}
