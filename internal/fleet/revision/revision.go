// Package revision handles configurations that are pushed to routers: what is the same for all of them, one
// JSON document, named by its content. What belongs to one instance (its name, address, seed) is put in for
// it, and the router's own reader checks the whole.
package revision

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sort"
	"strconv"
	"strings"

	"stoatdale.example/stoatdale/internal/site"
)

// Longest is the most bytes that a revision may have.
const Longest = 4 << 20

// At is what belongs to one instance.
type At struct {
	Name      string
	Listen    string
	Discovery string // in place of the revision's; empty: as the revision has it
	Me        int    // in place of settings.me; below 0: as the revision has it
}

// own are keys that a revision must not hold.
var own = []string{"name", "listen", "seed"}

// document is JSON that keeps numbers as they were written.
type document = map[string]any

// Canonical returns a revision's bytes in the one form that its digest is taken of: compact, keys in order.
// Errors name the line and column, or the key.
func Canonical(file string, raw []byte) ([]byte, error) {
	doc, err := read(file, raw)
	if err != nil {
		return nil, err
	}
	for k := range doc {
		// The router's reader takes keys in any case.
		if slices.ContainsFunc(own, func(o string) bool { return strings.EqualFold(o, k) }) {
			return nil, fmt.Errorf("%s: the key %s belongs to an instance, and is put in for each", file, k)
		}
	}
	out, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return out, nil
}

// Digest names canonical content.
func Digest(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:16])
}

// Short is a digest for people.
func Short(digest string) string { return digest[:min(len(digest), 10)] }

func read(file string, raw []byte) (document, error) {
	if len(raw) > Longest {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", file, len(raw), Longest)
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	v, err := value(d, "", 0)
	if err == nil {
		if _, more := d.Token(); !errors.Is(more, io.EOF) {
			err = errors.New("something follows the document")
		}
	}
	if err != nil {
		line, column := place(raw, d.InputOffset())
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, fmt.Errorf("%s:%d:%d: %w", file, line, column, err)
	}
	doc, ok := v.(document)
	if !ok {
		return nil, fmt.Errorf("%s:1:1: a revision is a JSON object", file)
	}
	return doc, nil
}

const deepest = 64

// value reads one value. A key that is given twice is refused: a reader would take one of them without a word.
func value(d *json.Decoder, at string, deep int) (any, error) {
	if deep > deepest {
		return nil, fmt.Errorf("%s nests more than %d deep", at, deepest)
	}
	t, err := d.Token()
	if err != nil {
		return nil, err
	}
	switch t {
	case json.Delim('{'):
		doc := document{}
		for d.More() {
			k, err := d.Token()
			if err != nil {
				return nil, err
			}
			key, _ := k.(string)
			if _, twice := doc[key]; twice {
				return nil, fmt.Errorf("%s is given twice", join(at, key))
			}
			if doc[key], err = value(d, join(at, key), deep+1); err != nil {
				return nil, err
			}
		}
		_, err = d.Token()
		return doc, err
	case json.Delim('['):
		list := []any{}
		for d.More() {
			v, err := value(d, at+"["+strconv.Itoa(len(list))+"]", deep+1)
			if err != nil {
				return nil, err
			}
			list = append(list, v)
		}
		_, err = d.Token()
		return list, err
	}
	return t, nil
}

func join(at, key string) string {
	if at == "" {
		return key
	}
	return at + "." + key
}

func place(raw []byte, offset int64) (line, column int) {
	before := raw[:min(offset, int64(len(raw)))]
	return bytes.Count(before, []byte{'\n'}) + 1, len(before) - bytes.LastIndexByte(before, '\n')
}

// Render writes the document of one instance. The seed is for this start of it.
func Render(canonical []byte, at At, seed uint64) ([]byte, error) {
	doc, err := read("revision", canonical)
	if err != nil {
		return nil, err
	}
	doc["name"], doc["listen"], doc["seed"] = at.Name, at.Listen, strconv.FormatUint(seed, 16)
	if at.Discovery != "" {
		doc["discovery"] = at.Discovery
	}
	if at.Me >= 0 {
		settings, ok := doc["settings"].(document)
		if !ok {
			return nil, errors.New("settings is missing, or no object")
		}
		settings["me"] = at.Me
	}
	out, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("instance %s: %w", at.Name, err)
	}
	return out, nil
}

// Check has the router's own reader look at what one instance would be given.
func Check(canonical []byte, at At) (site.Config, error) {
	raw, err := Render(canonical, at, 1)
	if err != nil {
		return site.Config{}, err
	}
	s, err := site.Parse(raw)
	if err != nil {
		return s, fmt.Errorf("instance %s: %w", at.Name, err)
	}
	return s, nil
}

// Restarts names the keys for which an instance must be restarted if it goes from one configuration to
// another; none: a reload is enough.
func Restarts(from, to *site.Config) []string { return from.RestartKeys(to) }

// Drain is how long a router may take to end once it is told to: the longest that a command in hand may wait,
// and a grace, in seconds.
func Drain(s *site.Config, grace float64) float64 {
	return s.Limits.Durations.MaxClientTimeout + s.Limits.Durations.AcceptLinger + grace
}

// Change is one difference between two revisions.
type Change struct {
	Key  string `json:"Key"`
	From string `json:"From"` // as JSON; empty: not there
	To   string `json:"To"`
}

// Diff lists what differs, by key.
func Diff(from, to []byte) ([]Change, error) {
	a, err := read("the first revision", from)
	if err != nil {
		return nil, err
	}
	b, err := read("the second revision", to)
	if err != nil {
		return nil, err
	}
	var out []Change
	differ("", a, b, true, true, &out)
	return out, nil
}

func differ(at string, a, b any, hasA, hasB bool, out *[]Change) {
	if hasA && hasB {
		x, okA := a.(document)
		y, okB := b.(document)
		if okA && okB {
			for _, k := range keys(x, y) {
				p, hasP := x[k]
				q, hasQ := y[k]
				differ(join(at, k), p, q, hasP, hasQ, out)
			}
			return
		}
		l, okA := a.([]any)
		m, okB := b.([]any)
		if okA && okB && len(l) == len(m) {
			for i := range l {
				differ(at+"["+strconv.Itoa(i)+"]", l[i], m[i], true, true, out)
			}
			return
		}
	}
	c := Change{Key: at}
	if hasA {
		c.From = text(a)
	}
	if hasB {
		c.To = text(b)
	}
	if c.From != c.To {
		*out = append(*out, c)
	}
}

func keys(x, y document) []string {
	var out []string
	for k := range x {
		out = append(out, k)
	}
	for k := range y {
		out = append(out, k)
	}
	sort.Strings(out)
	return slices.Compact(out)
}

func text(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}
