package modelcheck

import (
	"encoding/binary"
	"fmt"
	"math"
	"reflect"
	"slices"
	"sync"

	"github.com/zeebo/xxh3"
)

// Fields names fields of struct types: the type with its package, as reflect writes it ("inflight.Hand"), to the names of
// its fields.
type Fields map[string][]string

func (f Fields) has(typeName, field string) bool { return slices.Contains(f[typeName], field) }

// Rules say how values are taken into a hash. They are made once for a system and shared by all its hashes; they must
// not be changed once a hash has used them. A rule that names a field which its type does not have is an error: Hash.Value
// panics when it first meets the type. Types that were never met are told by Unmet.
type Rules struct {
	Ignored    Fields   // fields that decide nothing
	Times      Fields   // fields of type float64 that hold times, which count from Hash.Zero
	FloatGrain float64  // floats are rounded to it; 0: they are taken as they are
	plans      sync.Map // of struct types met so far, by reflect.Type
}

// Unmet returns the types that the rules name and that no hash has met so far, in order. After an exploration that
// reaches every type of a system, each of them is a rule without effect.
func (r *Rules) Unmet() []string {
	met := map[string]bool{}
	r.plans.Range(func(t, _ any) bool {
		met[t.(reflect.Type).String()] = true
		return true
	})
	var unmet []string
	for _, fields := range []Fields{r.Ignored, r.Times} {
		for name := range fields {
			if !met[name] {
				unmet = append(unmet, name)
			}
		}
	}
	slices.Sort(unmet)
	return slices.Compact(unmet)
}

// check returns an error if the rules name a field that the struct type t does not have, or that cannot hold what they
// say it holds.
func (r *Rules) check(t reflect.Type) error {
	name := t.String()
	for _, field := range r.Ignored[name] {
		if _, ok := ownField(t, field); !ok {
			return fmt.Errorf("rules ignore %s.%s, which is not a field", name, field)
		}
	}
	for _, field := range r.Times[name] {
		f, ok := ownField(t, field)
		switch {
		case !ok:
			return fmt.Errorf("rules take %s.%s for a time, which is not a field", name, field)
		case f.Type.Kind() != reflect.Float64:
			return fmt.Errorf("rules take %s.%s for a time, which is a %s", name, field, f.Type)
		case r.Ignored.has(name, field):
			return fmt.Errorf("rules take %s.%s for a time and ignore it", name, field)
		}
	}
	return nil
}

// ownField returns a struct type's field by its name; those that it has by embedding are not its own.
func ownField(t reflect.Type, name string) (reflect.StructField, bool) {
	f, ok := t.FieldByName(name)
	return f, ok && len(f.Index) == 1
}

// Hash gathers what decides a state's future. The zero value is empty. It is used by one goroutine.
type Hash struct {
	Rules    *Rules  // for Float and Value; nil: everything counts as it is
	TimeZero float64 // from which the fields in Rules.Times count
	bytes    []byte
	depth    int // of the value that is being added
}

// plan is which fields of a struct count, and which of them are times.
type plan struct {
	fields []int
	times  []bool
}

func (r *Rules) plan(t reflect.Type) plan {
	if p, ok := r.plans.Load(t); ok {
		return p.(plan)
	}
	if err := r.check(t); err != nil {
		panic("explore: " + err.Error())
	}
	var p plan
	name := t.String()
	for i := range t.NumField() {
		field := t.Field(i).Name
		if r.Ignored.has(name, field) {
			continue
		}
		p.fields = append(p.fields, i)
		p.times = append(p.times, r.Times.has(name, field))
	}
	r.plans.Store(t, p)
	return p
}

// plainRules are of hashes without rules: everything counts.
var plainRules = &Rules{}

// buffers are reused for the bytes of fingerprints.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 16<<10); return &b }}

// fingerprintOf returns a system's fingerprint.
func fingerprintOf(s System) uint64 {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	h := Hash{bytes: (*buffer)[:0]}
	s.Fingerprint(&h)
	*buffer = h.bytes
	return h.Sum()
}

// Sum is the fingerprint.
func (h *Hash) Sum() uint64 { return xxh3.Hash(h.bytes) }

// Uint adds a number.
func (h *Hash) Uint(v uint64) { h.bytes = binary.LittleEndian.AppendUint64(h.bytes, v) }

// Text adds a text.
func (h *Hash) Text(s string) {
	h.Uint(uint64(len(s)))
	h.bytes = append(h.bytes, s...)
}

// Float adds a float, rounded to the rules' grain.
func (h *Hash) Float(f float64) {
	if h.Rules != nil && h.Rules.FloatGrain > 0 && !math.IsInf(f, 0) {
		f = math.Round(f / h.Rules.FloatGrain)
	}
	if f == 0 {
		f = 0 // not minus nought
	}
	h.Uint(math.Float64bits(f))
}

// Value adds all that a value holds, unexported fields and what pointers lead to included. Functions and
// channels add nothing: what they do must be in the state elsewhere. Maps are added in the order of their
// entries' hashes.
func (h *Hash) Value(v any) {
	if h.Rules == nil {
		h.Rules = plainRules
	}
	h.value(reflect.ValueOf(v))
}

// maxValueDepth is how deep a state may be nested; a deeper one is taken to lead back to itself.
const maxValueDepth = 64

func (h *Hash) value(v reflect.Value) {
	if h.depth++; h.depth > maxValueDepth {
		panic("explore: a state that leads back to itself")
	}
	defer func() { h.depth-- }()
	switch v.Kind() {
	case reflect.Bool:
		h.flag(v.Bool())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		h.Uint(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		h.Uint(v.Uint())
	case reflect.Float32, reflect.Float64:
		h.Float(v.Float())
	case reflect.String:
		h.Text(v.String())
	case reflect.Pointer, reflect.Interface:
		h.flag(!v.IsNil())
		if !v.IsNil() {
			h.value(v.Elem())
		}
	case reflect.Slice, reflect.Array:
		h.Uint(uint64(v.Len()))
		for i := range v.Len() {
			h.value(v.Index(i))
		}
	case reflect.Map:
		h.mapEntries(v)
	case reflect.Struct:
		h.structFields(v)
	default: // functions, channels and what no state holds add nothing
	}
}

// flag adds a truth value.
func (h *Hash) flag(is bool) {
	if is {
		h.Uint(1)
	} else {
		h.Uint(0)
	}
}

func (h *Hash) structFields(v reflect.Value) {
	p := h.Rules.plan(v.Type())
	for i, n := range p.fields {
		if field := v.Field(n); p.times[i] {
			h.Float(field.Float() - h.TimeZero)
		} else {
			h.value(field)
		}
	}
}

// mapEntries adds the entries in the order of their hashes: a map has none of its own.
func (h *Hash) mapEntries(v reflect.Value) {
	var sums []uint64
	for it := v.MapRange(); it.Next(); {
		e := Hash{Rules: h.Rules, TimeZero: h.TimeZero, depth: h.depth}
		e.value(it.Key())
		e.value(it.Value())
		sums = append(sums, e.Sum())
	}
	slices.Sort(sums)
	h.Uint(uint64(len(sums)))
	for _, s := range sums {
		h.Uint(s)
	}
}
