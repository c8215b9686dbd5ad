package sexp

import (
	"encoding"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Seconds is a span of time, written with its unit: 250ms, 5s, 2m, 1h.
type Seconds float64

var timeUnits = []struct {
	suffix string
	worth  float64
}{{"ms", 1e-3}, {"s", 1}, {"m", 60}, {"h", 3600}}

// Decode fills the struct that v points to from entries of the form (key value ...). A field's tag holds
// its key and, after commas, options: `sexp:"listen,must"`.
//
//   - a string, number, bool, Seconds or encoding.TextUnmarshaler takes one value, a slice of these several;
//   - a struct takes entries of its own, and a slice of structs one element an entry of that key;
//   - a pointer stays nil where its key is not given;
//   - a string field with the option name takes the value that stands before the entries, and a Place with
//     the option place where the entry stands.
//
// Keys that are unknown or given twice, missing ones with the option must, and values of another form are
// errors of type *Fault.
func Decode(file string, nodes []Node, v any) error {
	return decodeStruct(Position{file, 1, 1}, "the file", nodes, reflect.ValueOf(v).Elem())
}

type field struct {
	key              string
	required, isName bool
	isPosition       bool
	value            reflect.Value
}

func taggedFields(v reflect.Value) []field {
	var out []field
	for i := range v.NumField() {
		tag, ok := v.Type().Field(i).Tag.Lookup("sexp")
		if !ok {
			continue
		}
		parts := strings.Split(tag, ",")
		f := field{key: parts[0], value: v.Field(i)}
		for _, o := range parts[1:] {
			f.required, f.isName, f.isPosition = f.required || o == "must", f.isName || o == "name", f.isPosition || o == "place"
		}
		out = append(out, f)
	}
	return out
}

func decodeStruct(at Position, what string, nodes []Node, v reflect.Value) error {
	known := map[string]field{}
	var keys []string
	for _, f := range taggedFields(v) {
		if f.isPosition {
			f.value.Set(reflect.ValueOf(at))
			continue
		}
		if !f.isName {
			known[f.key] = f
			keys = append(keys, f.key)
			continue
		}
		if len(nodes) == 0 || nodes[0].IsList {
			return &Error{at, fmt.Sprintf("%s wants a name after its key", what)}
		}
		f.value.SetString(nodes[0].Text)
		nodes = nodes[1:]
	}
	given := map[string]Position{}
	for _, n := range nodes {
		if !n.IsList || len(n.List) == 0 || n.List[0].IsList {
			return &Error{n.Position, fmt.Sprintf("%s holds entries of the form (key value ...)", what)}
		}
		key := n.List[0].Text
		f, ok := known[key]
		if !ok {
			return &Error{n.List[0].Position, fmt.Sprintf("%s has no key %q%s", what, key, suggestKey(key, keys))}
		}
		many := f.value.Kind() == reflect.Slice && f.value.Type().Elem().Kind() == reflect.Struct && !isTextType(f.value.Type().Elem())
		if before, twice := given[key]; twice && !many {
			return &Error{n.Position, fmt.Sprintf("%s is given twice, first on line %d", key, before.Line)}
		}
		given[key] = n.Position
		if err := decodeEntry(n, key, f.value, many); err != nil {
			return err
		}
	}
	for _, k := range keys {
		if _, ok := given[k]; !ok && known[k].required {
			return &Error{at, fmt.Sprintf("%s lacks the key %s", what, k)}
		}
	}
	return nil
}

func decodeEntry(n Node, key string, v reflect.Value, many bool) error {
	values := n.List[1:]
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		v = v.Elem()
	}
	switch {
	case many:
		e := reflect.New(v.Type().Elem()).Elem()
		if err := decodeStruct(n.Position, key, values, e); err != nil {
			return err
		}
		v.Set(reflect.Append(v, e))
		return nil
	case v.Kind() == reflect.Struct && !isTextType(v.Type()):
		return decodeStruct(n.Position, key, values, v)
	case v.Kind() == reflect.Slice:
		if len(values) == 0 {
			return &Error{n.Position, key + " wants one value or more"}
		}
		for _, x := range values {
			e := reflect.New(v.Type().Elem()).Elem()
			if err := decodeValue(x, key, e); err != nil {
				return err
			}
			v.Set(reflect.Append(v, e))
		}
		return nil
	case len(values) != 1:
		return &Error{n.Position, fmt.Sprintf("%s wants one value, and has %d", key, len(values))}
	}
	return decodeValue(values[0], key, v)
}

func isTextType(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

func decodeValue(n Node, key string, v reflect.Value) error {
	wrong := func(wanted string) error {
		if n.IsList {
			return &Error{n.Position, fmt.Sprintf("%s wants %s, not a list", key, wanted)}
		}
		return &Error{n.Position, fmt.Sprintf("%s wants %s, not %q", key, wanted, n.Text)}
	}
	if isTextType(v.Type()) {
		if n.IsList {
			return wrong("one value")
		}
		if err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(n.Text)); err != nil {
			return &Error{n.Position, fmt.Sprintf("%s: %v", key, err)}
		}
		return nil
	}
	if _, ok := v.Interface().(Seconds); ok {
		s, ok := parseSeconds(n)
		if !ok {
			return wrong("a time such as 250ms, 5s or 2m")
		}
		v.SetFloat(s)
		return nil
	}
	switch v.Kind() {
	case reflect.String:
		if n.IsList {
			return wrong("a text")
		}
		v.SetString(n.Text)
	case reflect.Bool:
		if n.IsList || n.Text != "yes" && n.Text != "no" {
			return wrong("yes or no")
		}
		v.SetBool(n.Text == "yes")
	case reflect.Int:
		i, err := strconv.ParseInt(n.Text, 10, 64)
		if n.IsList || n.Quoted || err != nil {
			return wrong("a whole number")
		}
		v.SetInt(i)
	case reflect.Float64:
		f, err := strconv.ParseFloat(n.Text, 64)
		if n.IsList || n.Quoted || err != nil || f != f {
			return wrong("a number")
		}
		v.SetFloat(f)
	default:
		panic("sexp: a field of kind " + v.Kind().String())
	}
	return nil
}

func parseSeconds(n Node) (float64, bool) {
	if n.IsList || n.Quoted {
		return 0, false
	}
	for _, u := range timeUnits {
		digits, ok := strings.CutSuffix(n.Text, u.suffix)
		if !ok {
			continue
		}
		f, err := strconv.ParseFloat(digits, 64)
		if err == nil && f >= 0 && f <= 1e9 {
			return f * u.worth, true
		}
	}
	return 0, false
}

// suggestKey hints at the key that was probably meant: one that differs in half of its letters at most.
func suggestKey(key string, keys []string) string {
	sort.Strings(keys)
	best, least := "", len(key)/2+2
	for _, k := range keys {
		if d := levenshtein.ComputeDistance(key, k); d < least {
			best, least = k, d
		}
	}
	if best == "" {
		return "; it has " + strings.Join(keys, ", ")
	}
	return "; did you mean " + best + "?"
}

// Encode is the reverse of Decode: what it returns decodes into an equal value. v points to a struct.
// Empty values are left out.
func Encode(v any) []Node { return encodeStruct(reflect.ValueOf(v).Elem()) }

func encodeStruct(v reflect.Value) []Node {
	var out []Node
	for _, f := range taggedFields(v) {
		x := f.value
		if x.Kind() == reflect.Pointer && !x.IsNil() {
			out = append(out, List(Atom(f.key), encodeValue(x.Elem())))
			continue
		}
		switch {
		case f.isPosition:
		case f.isName:
			out = append(out, Atom(x.String()))
		case x.IsZero() && !f.required:
		case x.Kind() == reflect.Slice && x.Type().Elem().Kind() == reflect.Struct && !isTextType(x.Type().Elem()):
			for i := range x.Len() {
				out = append(out, List(append([]Node{Atom(f.key)}, encodeStruct(x.Index(i))...)...))
			}
		case x.Kind() == reflect.Struct && !isTextType(x.Type()):
			out = append(out, List(append([]Node{Atom(f.key)}, encodeStruct(x)...)...))
		case x.Kind() == reflect.Slice:
			entry := []Node{Atom(f.key)}
			for i := range x.Len() {
				entry = append(entry, encodeValue(x.Index(i)))
			}
			out = append(out, List(entry...))
		default:
			out = append(out, List(Atom(f.key), encodeValue(x)))
		}
	}
	return out
}

func encodeValue(v reflect.Value) Node {
	switch x := v.Interface().(type) {
	case encoding.TextMarshaler:
		b, err := x.MarshalText()
		if err != nil {
			panic("sexp: " + err.Error())
		}
		return Atom(string(b))
	case Seconds:
		return Atom(strconv.FormatFloat(float64(x), 'g', -1, 64) + "s")
	case bool:
		return Atom(map[bool]string{true: "yes", false: "no"}[x])
	case string:
		return Atom(x)
	}
	return Atom(fmt.Sprint(v.Interface()))
}
