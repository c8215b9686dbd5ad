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
	MinVersion = 1
	MaxVersion = 1
)

// Bounds, in bytes: of a call with a revision in it or an answer with one, and of all else.
const (
	MaxContentBytes = 8 << 20
	MaxRequestBytes = 256 << 10
	MaxReplyBytes   = 16 << 20
)

// Verb is what an agent is asked to do.
type Verb string

// Verbs.
const (
	StatusVerb        Verb = "look"    // tell how things stand; with an epoch, renew its claim
	RequestLeaseVerb  Verb = "bid"     // grant a claim
	StoreRecordVerb   Verb = "keep"    // keep a record
	BeginStepVerb     Verb = "act"     // begin a step
	ReleaseLeaseVerb  Verb = "release" // end a claim
	RequestActionVerb Verb = "ask"     // leave a wish for whoever drives a rollout
	PutRevisionVerb   Verb = "put"     // keep a revision
	GetRevisionVerb   Verb = "get"     // hand a revision out
	HistoryVerb       Verb = "history" // tell of revisions and rollouts
)

// Call is one call of an agent. Which fields count depends on the verb.
type Request struct {
	Verb            Verb            `cbor:"verb"`
	AgentsDigest    string          `cbor:"agents,omitempty"` // digest of the caller's list of agents; must be the agent's own
	LeaseRequest    claim.Request   `cbor:"bid,omitzero"`
	Epoch           uint64          `cbor:"epoch,omitempty"`
	Holder          string          `cbor:"holder,omitempty"`
	Record          claim.Record    `cbor:"record,omitzero"`
	InstanceName    string          `cbor:"name,omitempty"` // of the step's instance
	Step            plan.Step       `cbor:"step,omitzero"`
	OperatorRequest OperatorRequest `cbor:"wish,omitzero"`
	Revision        Revision        `cbor:"revision,omitzero"`
}

// Wish is what an operator asks of a running rollout. It counts for one run of it only.
type OperatorRequest struct {
	RolloutID string               `cbor:"rollout"`
	Run       uint64               `cbor:"run"`
	Action    plan.OperatorRequest `cbor:"wish"`
	Operator  string               `cbor:"by"`
}

// Revision is a configuration that routers are to run: what is the same for all of them.
type Revision struct {
	Digest   string `cbor:"digest"` // of the content
	Name     string `cbor:"name"`
	PushedBy string `cbor:"by"`
	PushedAt int64  `cbor:"at"` // Unix seconds, for people
	Content  []byte `cbor:"content,omitempty"`
}

// Rollout is the body of the record that agents keep.
type Rollout struct {
	plan.Rollout
	Run             uint64 `cbor:"run"` // grows with each time that it is begun or taken up
	RevisionName    string `cbor:"name"`
	StartedBy       string `cbor:"by"`
	StartedAt       int64  `cbor:"began"` // Unix seconds, for people
	RequestedBy     string `cbor:"asked"` // by whom a wish was made that was followed
	InstancesDigest string `cbor:"fleet"` // digest of the list of instances, whose places are the indices
}

// Told is what an agent tells of one instance.
type InstanceStatus struct {
	Name       string  `cbor:"name"`
	AgeSeconds float64 `cbor:"age"` // seconds since it was seen
	Listen     string  `cbor:"listen"`
	ProcessID  int     `cbor:"process"`
	Crashes    int     `cbor:"crashes"` // since it last ran calmly
	plan.Observation
	TargetRevision string `cbor:"wants"` // revision that it is to run
}

// Reply is an agent's answer.
type Reply struct {
	Agent           string           `cbor:"agent"`
	Program         string           `cbor:"program"`
	Denial          claim.Denial     `cbor:"refusal"`
	Failure         string           `cbor:"fault,omitempty"` // why it was not done, for people, where no refusal says so
	LeaseState      claim.State      `cbor:"standing"`
	Record          claim.Record     `cbor:"record,omitzero"`
	OperatorRequest OperatorRequest  `cbor:"wish,omitzero"`
	Instances       []InstanceStatus `cbor:"instances,omitempty"`
	Revisions       []Revision       `cbor:"revisions,omitempty"`
	Rollouts        []Rollout        `cbor:"rollouts,omitempty"`
}

var (
	encoder = must(cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode())
	decoder = must(cbor.DecOptions{
		MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 16,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode())
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
func DecodeRequest(raw []byte) (Request, error) {
	var c Request
	if err := Decode("call", raw, &c); err != nil {
		return c, err
	}
	if !knownVerbs[c.Verb] {
		return c, fmt.Errorf("call: unknown verb %q", c.Verb)
	}
	return c, nil
}

var knownVerbs = map[Verb]bool{
	StatusVerb: true, RequestLeaseVerb: true, StoreRecordVerb: true, BeginStepVerb: true, ReleaseLeaseVerb: true, RequestActionVerb: true, PutRevisionVerb: true, GetRevisionVerb: true,
	HistoryVerb: true,
}
