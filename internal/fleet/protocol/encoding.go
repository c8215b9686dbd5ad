package protocol

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of what Decode accepts, against messages that would take much memory.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 10
	maxNesting       = 16
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

// UnknownVerbError is the error of a request whose verb this version of the protocol does not have.
type UnknownVerbError struct{ Verb Verb }

func (e *UnknownVerbError) Error() string { return fmt.Sprintf("unknown verb %q", string(e.Verb)) }

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the CBOR of a message or a stored value. Equal values have equal bytes. It panics on a value that CBOR
// cannot express, such as a function; none of the types of this package holds one.
func Encode(v any) []byte { return must(encoder.Marshal(v)) }

// Decode reads CBOR into the value that v points to. Fields that the value's type does not have are passed over. Errors
// begin with what, which names the message.
func Decode(what string, raw []byte, v any) error {
	if err := decoder.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("%s: %w", what, err)
	}
	return nil
}

// DecodeRequest reads a request. Its errors match *UnknownVerbError if the verb is not known.
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
