package protocol

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of Decode, which protect it against messages that would take much memory.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 10
	maxNesting       = 16 // levels
)

var (
	encoder = must(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode())
	decoder = must(cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNesting,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode())
)

// UnknownVerbError is the error of a request with a verb that this version of the protocol does not define.
type UnknownVerbError struct{ Verb Verb }

func (e *UnknownVerbError) Error() string { return fmt.Sprintf("unknown verb %q", string(e.Verb)) }

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the CBOR encoding of a message or a stored value. Equal values have equal encodings. Encode panics on a
// value that CBOR cannot express, such as a function. No type of this package contains such a value.
func Encode(v any) []byte { return must(encoder.Marshal(v)) }

// Decode decodes CBOR into the value that v points to. It ignores fields that the type of the value does not have. Errors
// begin with what, the name of the message.
func Decode(what string, raw []byte, v any) error {
	if err := decoder.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("%s: %w", what, err)
	}
	return nil
}

// DecodeRequest decodes a request. The error matches *UnknownVerbError if the verb is unknown.
func DecodeRequest(raw []byte) (Request, error) {
	var request Request
	if err := Decode("call", raw, &request); err != nil {
		return request, err
	}
	if !request.Verb.Known() {
		return request, fmt.Errorf("call: %w", &UnknownVerbError{Verb: request.Verb})
	}
	return request, nil
}
