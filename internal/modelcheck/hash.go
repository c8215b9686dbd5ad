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

// Fields maps struct types to names of their fields. A type is named with its package, as reflect writes it (for example
// "inflight.Tracker").
type Fields map[string][]string

func (f Fields) has(typeName, field string) bool { return slices.Contains(f[typeName], field) }

// Rules define how values are added to a hash. They are created once for a system and shared by all its hashes, and must
// not change once a hash has used them. A rule for a field that its type does not have is an error: Hash.Value panics
// when it first hashes a value of the type. UnusedTypes returns the types of rules that no hash has applied.
type Rules struct {
	Ignored    Fields   // fields that are left out of the hash, since they do not affect the system's future
	Times      Fields   // fields of type float64 that hold times, which are hashed relative to Hash.TimeZero
	FloatGrain float64  // floats are rounded to a multiple of it; 0: they are not rounded
	plans      sync.Map // plan of each struct type hashed so far, by reflect.Type
}

// UnusedTypes returns, in sorted order, the types that the rules name but of which no hash has added a value so far.
// After an exploration that covers every type of a system, the rules for these types have no effect.
func (r *Rules) UnusedTypes() []string {
	used := map[string]bool{}
	r.plans.Range(func(t, _ any) bool {
		used[t.(reflect.Type).String()] = true
		return true
	})
	var unused []string
	for _, fields := range []Fields{r.Ignored, r.Times} {
		for name := range fields {
			if !used[name] {
				unused = append(unused, name)
			}
		}
	}
	slices.Sort(unused)
	return slices.Compact(unused)
}

// check returns an error if the rules name a field that the struct type t does not have, or treat a field as a time that
// is not a float64 or is also ignored.
func (r *Rules) check(t reflect.Type) error {
	name := t.String()
	for _, field := range r.Ignored[name] {
		if _, ok := ownField(t, field); !ok {
			return fmt.Errorf("rules ignore %s.%s, but the type has no such field", name, field)
		}
	}
	for _, field := range r.Times[name] {
		f, ok := ownField(t, field)
		switch {
		case !ok:
			return fmt.Errorf("rules treat %s.%s as a time, but the type has no such field", name, field)
		case f.Type.Kind() != reflect.Float64:
			return fmt.Errorf("rules treat %s.%s as a time, but its type is %s, not float64", name, field, f.Type)
		case r.Ignored.has(name, field):
			return fmt.Errorf("rules both ignore %s.%s and treat it as a time", name, field)
		}
	}
	return nil
}

// ownField returns a struct type's field by its name. Fields promoted from embedded structs are not found.
func ownField(t reflect.Type, name string) (reflect.StructField, bool) {
	f, ok := t.FieldByName(name)
	return f, ok && len(f.Index) == 1
}

// Hash accumulates everything that decides a state's future. The zero value is an empty hash. A Hash is used by one
// goroutine.
type Hash struct {
	Rules    *Rules  // rules for Float and Value; nil: all values are added as they are
	TimeZero float64 // time to which the fields in Rules.Times are relative
	bytes    []byte
	depth    int // nesting depth of the value that is being added
}

// plan holds which fields of a struct type are hashed, by index, and which of them are times.
type plan struct {
	fields []int
	times  []bool
}

func (r *Rules) plan(t reflect.Type) plan {
	if p, ok := r.plans.Load(t); ok {
		return p.(plan)
	}
	if err := r.check(t); err != nil {
		panic("modelcheck: " + err.Error())
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

// plainRules are the rules of hashes that have none of their own: all fields are hashed as they are.
var plainRules = &Rules{}

// buffers holds byte buffers that are reused between fingerprints.
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

// Sum returns the fingerprint of everything added so far.
func (h *Hash) Sum() uint64 { return xxh3.Hash(h.bytes) }

// Uint adds a number.
func (h *Hash) Uint(v uint64) { h.bytes = binary.LittleEndian.AppendUint64(h.bytes, v) }

// Text adds a text.
func (h *Hash) Text(s string) {
	h.Uint(uint64(len(s)))
	h.bytes = append(h.bytes, s...)
}

// Float adds a float, rounded to a multiple of the rules' FloatGrain.
func (h *Hash) Float(f float64) {
	if h.Rules != nil && h.Rules.FloatGrain > 0 && !math.IsInf(f, 0) {
		f = math.Round(f / h.Rules.FloatGrain)
	}
	if f == 0 {
		f = 0 // minus zero becomes zero
	}
	h.Uint(math.Float64bits(f))
}

// Value adds everything that a value holds, including unexported fields and the values that pointers point to. Functions
// and channels add nothing: whatever they hold must be in the state elsewhere. Maps are added in the order of their
// entries' hashes.
func (h *Hash) Value(v any) {
	if h.Rules == nil {
		h.Rules = plainRules
	}
	h.value(reflect.ValueOf(v))
}

// maxValueDepth is how deep a state may be nested. A deeper one is assumed to contain a cycle of pointers.
const maxValueDepth = 64

func (h *Hash) value(v reflect.Value) {
	if h.depth++; h.depth > maxValueDepth {
		panic("modelcheck: the state is nested too deeply; it probably contains a cycle of pointers")
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
	default: // functions, channels and kinds that occur in no state add nothing
	}
}

// flag adds a boolean.
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

// mapEntries adds the entries in the order of their hashes, since a map has no order.
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
