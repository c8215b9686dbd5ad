package sexp

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
)

// Encode returns nodes that Decode decodes into a struct equal to the one that v points to. It leaves out zero values
// of fields that are not required.
func Encode(v any) []Node { return encodeStruct(reflect.ValueOf(v).Elem()) }

func encodeStruct(v reflect.Value) []Node {
	var nodes []Node
	for _, f := range taggedFields(v) {
		nodes = append(nodes, encodeField(f)...)
	}
	return nodes
}

// encodeField returns the nodes of a field: the name, or the entries with the field's key.
func encodeField(f field) []Node {
	v := f.value
	switch {
	case v.Kind() == reflect.Pointer && !v.IsNil():
		return []Node{listWithKey(f.key, encodeValue(v.Elem()))}
	case f.isPosition:
		return nil
	case f.isName:
		return []Node{Atom(v.String())}
	case v.IsZero() && !f.isRequired:
		return nil
	case f.repeats():
		entries := make([]Node, v.Len())
		for i := range entries {
			entries[i] = listWithKey(f.key, encodeStruct(v.Index(i))...)
		}
		return entries
	case isEntryType(v.Type()):
		return []Node{listWithKey(f.key, encodeStruct(v)...)}
	case v.Kind() == reflect.Slice:
		values := make([]Node, v.Len())
		for i := range values {
			values[i] = encodeValue(v.Index(i))
		}
		return []Node{listWithKey(f.key, values...)}
	default:
		return []Node{listWithKey(f.key, encodeValue(v))}
	}
}

func listWithKey(key string, values ...Node) Node {
	return List(append([]Node{Atom(key)}, values...)...)
}

func encodeValue(v reflect.Value) Node {
	switch value := v.Interface().(type) {
	case encoding.TextMarshaler:
		text, err := value.MarshalText()
		if err != nil {
			panic("sexp: " + err.Error())
		}
		return Atom(string(text))
	case Seconds:
		return Atom(strconv.FormatFloat(float64(value), 'g', -1, 64) + "s")
	case bool:
		if value {
			return Atom("yes")
		}
		return Atom("no")
	case string:
		return Atom(value)
	default:
		return Atom(fmt.Sprint(value))
	}
}
