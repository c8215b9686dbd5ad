// Package form holds what the fleet tool and its agents say to each other, and how it is written: CBOR, with
// bounds on sizes and depth, fields by name so that a later version may add some.
package form

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/plan"
)

// Versions of the messages that this program speaks.
const (
	Least = 1
	Most  = 1
)

// Bounds, in bytes: of a call with a revision in it or an answer with one, and of all else.
const (
	LongestContent = 8 << 20
	LongestCall    = 256 << 10
	LongestReply   = 16 << 20
)

// Verb is what an agent is asked to do.
type Verb string

// Verbs.
const (
	Look    Verb = "look"    // tell how things stand; with an epoch, renew its claim
	Bid     Verb = "bid"     // grant a claim
	Keep    Verb = "keep"    // keep a record
	Act     Verb = "act"     // begin a step
	Release Verb = "release" // end a claim
	Ask     Verb = "ask"     // leave a wish for whoever drives a rollout
	Put     Verb = "put"     // keep a revision
	Get     Verb = "get"     // hand a revision out
	History Verb = "history" // tell of revisions and rollouts
)

// Call is one call of an agent. Which fields count depends on the verb.
type Call struct {
	Verb     Verb         `cbor:"verb"`
	Agents   string       `cbor:"agents,omitempty"` // digest of the caller's list of agents; must be the agent's own
	Bid      claim.Bid    `cbor:"bid,omitzero"`
	Epoch    uint64       `cbor:"epoch,omitempty"`
	Holder   string       `cbor:"holder,omitempty"`
	Record   claim.Record `cbor:"record,omitzero"`
	Name     string       `cbor:"name,omitempty"` // of the step's instance
	Step     plan.Step    `cbor:"step,omitzero"`
	Wish     Wish         `cbor:"wish,omitzero"`
	Revision Revision     `cbor:"revision,omitzero"`
}

// Wish is what an operator asks of a running rollout. It counts for one run of it only.
type Wish struct {
	Rollout string    `cbor:"rollout"`
	Run     uint64    `cbor:"run"`
	Wish    plan.Wish `cbor:"wish"`
	By      string    `cbor:"by"`
}

// Revision is a configuration that routers are to run: what is the same for all of them.
type Revision struct {
	Digest  string `cbor:"digest"` // of the content
	Name    string `cbor:"name"`
	By      string `cbor:"by"`
	At      int64  `cbor:"at"` // Unix seconds, for people
	Content []byte `cbor:"content,omitempty"`
}

// Rollout is the body of the record that agents keep.
type Rollout struct {
	plan.Rollout
	Run   uint64 `cbor:"run"` // grows with each time that it is begun or taken up
	Name  string `cbor:"name"`
	By    string `cbor:"by"`
	Began int64  `cbor:"began"` // Unix seconds, for people
	Asked string `cbor:"asked"` // by whom a wish was made that was followed
	Fleet string `cbor:"fleet"` // digest of the list of instances, whose places are the indices
}

// Told is what an agent tells of one instance.
type Told struct {
	Name    string  `cbor:"name"`
	Age     float64 `cbor:"age"` // seconds since it was seen
	Listen  string  `cbor:"listen"`
	Process int     `cbor:"process"`
	Crashes int     `cbor:"crashes"` // since it last ran calmly
	plan.Sight
	Wants string `cbor:"wants"` // revision that it is to run
}

// Reply is an agent's answer.
type Reply struct {
	Agent     string         `cbor:"agent"`
	Program   string         `cbor:"program"`
	Refusal   claim.Refusal  `cbor:"refusal"`
	Fault     string         `cbor:"fault,omitempty"` // why it was not done, for people, where no refusal says so
	Standing  claim.Standing `cbor:"standing"`
	Record    claim.Record   `cbor:"record,omitzero"`
	Wish      Wish           `cbor:"wish,omitzero"`
	Instances []Told         `cbor:"instances,omitempty"`
	Revisions []Revision     `cbor:"revisions,omitempty"`
	Rollouts  []Rollout      `cbor:"rollouts,omitempty"`
}

var (
	encoder = must(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode())
	decoder = must(cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 16,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode writes a value. It panics on what cannot be written, which none of the types here is.
func Encode(v any) []byte { return must(encoder.Marshal(v)) }

// Decode reads a value; what names the message in errors. Fields that are not known are passed over.
func Decode(what string, raw []byte, v any) error {
	if err := decoder.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("%s: %w", what, err)
	}
	return nil
}

// DecodeCall reads a call and checks what every agent relies on.
func DecodeCall(raw []byte) (Call, error) {
	var c Call
	if err := Decode("call", raw, &c); err != nil {
		return c, err
	}
	if !known[c.Verb] {
		return c, fmt.Errorf("call: unknown verb %q", c.Verb)
	}
	return c, nil
}

var known = map[Verb]bool{Look: true, Bid: true, Keep: true, Act: true, Release: true, Ask: true, Put: true, Get: true,
	History: true}
