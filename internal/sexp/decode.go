package sexp

import (
	"encoding"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Seconds is a duration in seconds. Files give it with a unit: 250ms, 5s, 2m, 1h.
type Seconds float64

// maxSeconds is the largest number that a file may give for a duration, in the unit beside it.
const maxSeconds = 1e9

var timeUnits = []struct {
	suffix  string
	seconds float64
}{{"ms", 1e-3}, {"s", 1}, {"m", 60}, {"h", 3600}}

// Decode fills the struct that v points to from entries of the form (key value ...). The tag of a field holds its key
// and, after commas, options: `sexp:"listen,must"`.
//
//   - A string, number, bool, Seconds or encoding.TextUnmarshaler is decoded from one value, a slice of these from one
//     or more values.
//   - A struct is decoded from entries of its own. A slice of structs gets one element for each entry with its key.
//   - A pointer stays nil if its key is absent.
//   - A string field with the option name gets the value that comes before the entries.
//   - A Position field with the option place gets the position of the entry.
//
// Decode returns an error of type *Error for an unknown or repeated key, for an absent key with the option must, and
// for a value of the wrong type.
func Decode(file string, nodes []Node, v any) error {
	return decodeStruct(Position{file, 1, 1}, "the file", nodes, reflect.ValueOf(v).Elem())
}

// Options in the tag of a field, after its key.
const (
	optionRequired = "must"
	optionName     = "name"
	optionPosition = "place"
)

// field is a struct field with a sexp tag.
type field struct {
	key        string
	isRequired bool
	isName     bool // the field gets the value before the entries
	isPosition bool // the field gets the position of the entry
	value      reflect.Value
}

// repeats reports whether the field's key may be given several times. It may if the field is a slice of structs.
func (f *field) repeats() bool {
	return f.value.Kind() == reflect.Slice && isEntryType(f.value.Type().Elem())
}

// taggedFields returns the fields of a struct that have a sexp tag, in the order of their declaration.
func taggedFields(v reflect.Value) []field {
	var tagged []field
	for i := range v.NumField() {
		tag, isTagged := v.Type().Field(i).Tag.Lookup("sexp")
		if !isTagged {
			continue
		}
		parts := strings.Split(tag, ",")
		options := parts[1:]
		tagged = append(tagged, field{
			key:        parts[0],
			isRequired: slices.Contains(options, optionRequired),
			isName:     slices.Contains(options, optionName),
			isPosition: slices.Contains(options, optionPosition),
			value:      v.Field(i),
		})
	}
	return tagged
}

// isTextType reports whether the type decodes its own text, with encoding.TextUnmarshaler.
func isTextType(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

// isEntryType reports whether values of the type are decoded from entries.
func isEntryType(t reflect.Type) bool { return t.Kind() == reflect.Struct && !isTextType(t) }

// structDecoder decodes one struct.
type structDecoder struct {
	at    Position            // position of the struct's entry
	what  string              // key of the struct, or "the file", for errors
	keys  []string            // keys of all fields that are decoded from entries
	known map[string]field    // these fields by key
	given map[string]Position // positions of the keys decoded so far
}

func decodeStruct(at Position, what string, nodes []Node, v reflect.Value) error {
	d := &structDecoder{at: at, what: what, known: map[string]field{}, given: map[string]Position{}}
	entries, err := d.prepare(nodes, v)
	if err != nil {
		return err
	}
	for _, n := range entries {
		if err := d.decodeEntry(n); err != nil {
			return err
		}
	}
	for _, key := range d.keys {
		if _, isGiven := d.given[key]; !isGiven && d.known[key].isRequired {
			return errorAt(at, "%s lacks the key %s", what, key)
		}
	}
	return nil
}

// prepare sets the position and the name, records the keys of the other fields, and returns the nodes that are entries.
func (d *structDecoder) prepare(nodes []Node, v reflect.Value) ([]Node, error) {
	for _, f := range taggedFields(v) {
		switch {
		case f.isPosition:
			f.value.Set(reflect.ValueOf(d.at))
		case !f.isName:
			d.known[f.key] = f
			d.keys = append(d.keys, f.key)
		case len(nodes) == 0 || nodes[0].IsList:
			return nil, errorAt(d.at, "%s must have a name after its key", d.what)
		default:
			f.value.SetString(nodes[0].Text)
			nodes = nodes[1:]
		}
	}
	return nodes, nil
}

func (d *structDecoder) decodeEntry(n Node) error {
	if !n.IsList || len(n.List) == 0 || n.List[0].IsList {
		return errorAt(n.Position, "%s must contain only entries of the form (key value ...)", d.what)
	}
	key := n.List[0].Text
	f, isKnown := d.known[key]
	if !isKnown {
		return errorAt(n.List[0].Position, "%s has no key %q%s", d.what, key, suggestKey(key, d.keys))
	}
	if before, isTwice := d.given[key]; isTwice && !f.repeats() {
		return errorAt(n.Position, "%s is given twice, first on line %d", key, before.Line)
	}
	d.given[key] = n.Position
	return decodeField(n, f)
}

// decodeField decodes the values of an entry into the field that has its key.
func decodeField(n Node, f field) error {
	v, values := f.value, n.List[1:]
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		v = v.Elem()
	}
	switch {
	case f.repeats():
		element := reflect.New(v.Type().Elem()).Elem()
		if err := decodeStruct(n.Position, f.key, values, element); err != nil {
			return err
		}
		v.Set(reflect.Append(v, element))
		return nil
	case isEntryType(v.Type()):
		return decodeStruct(n.Position, f.key, values, v)
	case v.Kind() == reflect.Slice:
		return decodeSlice(n, f.key, v)
	case len(values) != 1:
		return errorAt(n.Position, "%s must have one value, not %d", f.key, len(values))
	}
	return decodeValue(values[0], f.key, v)
}

func decodeSlice(n Node, key string, v reflect.Value) error {
	values := n.List[1:]
	if len(values) == 0 {
		return errorAt(n.Position, "%s must have at least one value", key)
	}
	for _, value := range values {
		element := reflect.New(v.Type().Elem()).Elem()
		if err := decodeValue(value, key, element); err != nil {
			return err
		}
		v.Set(reflect.Append(v, element))
	}
	return nil
}

// wrongForm returns the error for a value of the wrong type. wanted describes the type that the key requires.
func wrongForm(n Node, key, wanted string) error {
	if n.IsList {
		return errorAt(n.Position, "%s must be %s, not a list", key, wanted)
	}
	return errorAt(n.Position, "%s must be %s, not %q", key, wanted, n.Text)
}

// decodeValue decodes one atom or string.
func decodeValue(n Node, key string, v reflect.Value) error {
	if isTextType(v.Type()) {
		return decodeText(n, key, v)
	}
	if v.Type() == reflect.TypeFor[Seconds]() {
		seconds, isTime := parseSeconds(n)
		if !isTime {
			return wrongForm(n, key, "a duration such as 250ms, 5s or 2m")
		}
		v.SetFloat(seconds)
		return nil
	}
	switch v.Kind() {
	case reflect.String:
		if n.IsList {
			return wrongForm(n, key, "text")
		}
		v.SetString(n.Text)
	case reflect.Bool:
		if n.IsList || n.Text != "yes" && n.Text != "no" {
			return wrongForm(n, key, "yes or no")
		}
		v.SetBool(n.Text == "yes")
	case reflect.Int, reflect.Float64:
		return decodeNumber(n, key, v)
	default:
		panic("sexp: unsupported field kind " + v.Kind().String())
	}
	return nil
}

func decodeText(n Node, key string, v reflect.Value) error {
	if n.IsList {
		return wrongForm(n, key, "one value")
	}
	if err := v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(n.Text)); err != nil {
		return errorAt(n.Position, "%s: %v", key, err)
	}
	return nil
}

func decodeNumber(n Node, key string, v reflect.Value) error {
	if v.Kind() == reflect.Int {
		whole, err := strconv.ParseInt(n.Text, 10, 64)
		if n.IsList || n.Quoted || err != nil {
			return wrongForm(n, key, "a whole number")
		}
		v.SetInt(whole)
		return nil
	}
	number, err := strconv.ParseFloat(n.Text, 64)
	if n.IsList || n.Quoted || err != nil || math.IsNaN(number) {
		return wrongForm(n, key, "a number")
	}
	v.SetFloat(number)
	return nil
}

// parseSeconds parses an atom as a duration. isTime is false if the node is not a valid duration.
func parseSeconds(n Node) (seconds float64, isTime bool) {
	if n.IsList || n.Quoted {
		return 0, false
	}
	for _, unit := range timeUnits {
		digits, hasSuffix := strings.CutSuffix(n.Text, unit.suffix)
		if !hasSuffix {
			continue
		}
		number, err := strconv.ParseFloat(digits, 64)
		if err == nil && number >= 0 && number <= maxSeconds {
			return number * unit.seconds, true
		}
	}
	return 0, false
}

// suggestKey returns the end of the error for an unknown key: the most similar key, if it differs from the given one by
// at most half the length plus one letter, or else all keys.
func suggestKey(key string, keys []string) string {
	slices.Sort(keys)
	nearest, distanceLimit := "", len(key)/2+2
	for _, candidate := range keys {
		if distance := levenshtein.ComputeDistance(key, candidate); distance < distanceLimit {
			nearest, distanceLimit = candidate, distance
		}
	}
	if nearest == "" {
		return "; it has " + strings.Join(keys, ", ")
	}
	return "; did you mean " + nearest + "?"
}
