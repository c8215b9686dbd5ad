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
const MaxBytes = 4 << 20

// At is what belongs to one instance.
type Instance struct {
	Name        string
	Listen      string
	Discovery   string // in place of the revision's; empty: as the revision has it
	RouterIndex int    // in place of settings.me; below 0: as the revision has it
}

// own are keys that a revision must not hold.
var instanceKeys = []string{"name", "listen", "seed"}

// document is JSON that keeps numbers as they were written.
type document = map[string]any

// Canonical returns a revision's bytes in the one form that its digest is taken of: compact, keys in order.
// Errors name the line and column, or the key.
func Canonical(file string, raw []byte) ([]byte, error) {
	doc, err := decodeDocument(file, raw)
	if err != nil {
		return nil, err
	}
	for k := range doc {
		// The router's reader takes keys in any case.
		if slices.ContainsFunc(instanceKeys, func(o string) bool { return strings.EqualFold(o, k) }) {
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
func ShortDigest(digest string) string { return digest[:min(len(digest), 10)] }

func decodeDocument(file string, raw []byte) (document, error) {
	if len(raw) > MaxBytes {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", file, len(raw), MaxBytes)
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	v, err := decodeValue(d, "", 0)
	if err == nil {
		if _, more := d.Token(); !errors.Is(more, io.EOF) {
			err = errors.New("something follows the document")
		}
	}
	if err != nil {
		line, column := lineAndColumn(raw, d.InputOffset())
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

const maxDepth = 64

// value reads one value. A key that is given twice is refused: a reader would take one of them without a word.
func decodeValue(d *json.Decoder, at string, deep int) (any, error) {
	if deep > maxDepth {
		return nil, fmt.Errorf("%s nests more than %d deep", at, maxDepth)
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
				return nil, fmt.Errorf("%s is given twice", joinKey(at, key))
			}
			if doc[key], err = decodeValue(d, joinKey(at, key), deep+1); err != nil {
				return nil, err
			}
		}
		_, err = d.Token()
		return doc, err
	case json.Delim('['):
		list := []any{}
		for d.More() {
			v, err := decodeValue(d, at+"["+strconv.Itoa(len(list))+"]", deep+1)
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

func joinKey(at, key string) string {
	if at == "" {
		return key
	}
	return at + "." + key
}

func lineAndColumn(raw []byte, offset int64) (line, column int) {
	before := raw[:min(offset, int64(len(raw)))]
	return bytes.Count(before, []byte{'\n'}) + 1, len(before) - bytes.LastIndexByte(before, '\n')
}

// Render writes the document of one instance. The seed is for this start of it.
func Render(canonical []byte, at Instance, seed uint64) ([]byte, error) {
	doc, err := decodeDocument("revision", canonical)
	if err != nil {
		return nil, err
	}
	doc["name"], doc["listen"], doc["seed"] = at.Name, at.Listen, strconv.FormatUint(seed, 16)
	if at.Discovery != "" {
		doc["discovery"] = at.Discovery
	}
	if at.RouterIndex >= 0 {
		settings, ok := doc["settings"].(document)
		if !ok {
			return nil, errors.New("settings is missing, or no object")
		}
		settings["me"] = at.RouterIndex
	}
	out, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("instance %s: %w", at.Name, err)
	}
	return out, nil
}

// Check has the router's own reader look at what one instance would be given.
func Check(canonical []byte, at Instance) (site.Config, error) {
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
func RestartKeys(from, to *site.Config) []string { return from.RestartKeys(to) }

// Drain is how long a router may take to end once it is told to: the longest that a command in hand may wait,
// and a grace, in seconds.
func DrainSeconds(s *site.Config, grace float64) float64 {
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
	a, err := decodeDocument("the first revision", from)
	if err != nil {
		return nil, err
	}
	b, err := decodeDocument("the second revision", to)
	if err != nil {
		return nil, err
	}
	var out []Change
	appendDifferences("", a, b, true, true, &out)
	return out, nil
}

func appendDifferences(at string, a, b any, hasA, hasB bool, out *[]Change) {
	if hasA && hasB {
		x, okA := a.(document)
		y, okB := b.(document)
		if okA && okB {
			for _, k := range unionKeys(x, y) {
				p, hasP := x[k]
				q, hasQ := y[k]
				appendDifferences(joinKey(at, k), p, q, hasP, hasQ, out)
			}
			return
		}
		l, okA := a.([]any)
		m, okB := b.([]any)
		if okA && okB && len(l) == len(m) {
			for i := range l {
				appendDifferences(at+"["+strconv.Itoa(i)+"]", l[i], m[i], true, true, out)
			}
			return
		}
	}
	c := Change{Key: at}
	if hasA {
		c.From = jsonText(a)
	}
	if hasB {
		c.To = jsonText(b)
	}
	if c.From != c.To {
		*out = append(*out, c)
	}
}

func unionKeys(x, y document) []string {
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

func jsonText(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}
