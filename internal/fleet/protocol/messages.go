// Package protocol defines the protocol between the fleet tool and its agents: the messages and their encoding.
//
// Messages are CBOR maps with field names as keys, so that a later version may add fields: a decoder ignores fields that
// it does not know. Sizes and nesting are bounded. The cbor tags hold the names under which fields are sent; they never
// change within a version of the protocol. Package store stores some of the messages under the same names.
package protocol

import (
	"slices"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

// Versions of the protocol that this program speaks, from the lowest to the highest.
const (
	MinVersion = 1
	MaxVersion = 1
)

// Size limits of encoded messages, in bytes.
const (
	MaxContentBytes = 8 << 20   // request that carries a revision
	MaxRequestBytes = 256 << 10 // any other request
	MaxReplyBytes   = 16 << 20  // reply
)

// Verb is the kind of a request to an agent. Its value is sent.
type Verb string

// Verbs. Each comment describes what the agent does.
const (
	StatusVerb        Verb = "look"    // report the agent's state; if the request has an epoch, also renew the caller's lease
	RequestLeaseVerb  Verb = "bid"     // grant the lease to the caller
	StoreRecordVerb   Verb = "keep"    // store the lease holder's record
	BeginStepVerb     Verb = "act"     // begin a step of a rollout
	ReleaseLeaseVerb  Verb = "release" // end the caller's lease before it expires
	RequestActionVerb Verb = "ask"     // store an operator's request for the tool that drives the rollout
	PutRevisionVerb   Verb = "put"     // store a revision
	GetRevisionVerb   Verb = "get"     // return a revision with its content
	HistoryVerb       Verb = "history" // list revisions and rollouts
)

var knownVerbs = []Verb{
	StatusVerb, RequestLeaseVerb, StoreRecordVerb, BeginStepVerb, ReleaseLeaseVerb, RequestActionVerb, PutRevisionVerb,
	GetRevisionVerb, HistoryVerb,
}

// Known reports whether this version of the protocol defines the verb.
func (v Verb) Known() bool { return slices.Contains(knownVerbs, v) }

// Request is a request to an agent. The verb determines which of the other fields are used.
type Request struct {
	Verb            Verb            `cbor:"verb"`
	AgentsDigest    string          `cbor:"agents,omitempty"`  // digest of the caller's agent list; must equal the agent's if given
	LeaseRequest    lease.Request   `cbor:"bid,omitzero"`      // for RequestLeaseVerb
	Epoch           uint64          `cbor:"epoch,omitempty"`   // epoch of the caller's lease
	Holder          string          `cbor:"holder,omitempty"`  // holder of the caller's lease, which identifies the caller
	Record          lease.Record    `cbor:"record,omitzero"`   // for StoreRecordVerb; its body is an encoded Rollout
	InstanceName    string          `cbor:"name,omitempty"`    // for BeginStepVerb: name of the step's instance
	Step            rollout.Step    `cbor:"step,omitzero"`     // for BeginStepVerb
	OperatorRequest OperatorRequest `cbor:"wish,omitzero"`     // for RequestActionVerb
	Revision        Revision        `cbor:"revision,omitzero"` // for PutRevisionVerb; for GetRevisionVerb only Digest is set
}

// OperatorRequest is an operator's request for a rollout that another tool drives.
type OperatorRequest struct {
	RolloutID string                  `cbor:"rollout"`
	Run       uint64                  `cbor:"run"` // run of the rollout for which the request is valid
	Action    rollout.OperatorRequest `cbor:"wish"`
	Operator  string                  `cbor:"by"` // name from the operator's certificate, set by the agent
}

// Revision is a version of the configuration that all routers of a fleet share.
type Revision struct {
	Digest   string `cbor:"digest"` // digest of Content, which identifies the revision
	Name     string `cbor:"name"`   // name that the operator gave; need not be unique
	PushedBy string `cbor:"by"`     // name of the operator
	PushedAt int64  `cbor:"at"`     // time in Unix seconds on the operator's clock
	Content  []byte `cbor:"content,omitempty"`
}

// Rollout is the body of the record that the lease holder stores at the agents: the planner's state and the origin of the
// rollout.
type Rollout struct {
	rollout.Rollout
	Run             uint64 `cbor:"run"`   // number of the run, which grows each time the rollout is begun or resumed
	RevisionName    string `cbor:"name"`  // name of the revision that is rolled out
	StartedBy       string `cbor:"by"`    // name of the operator
	StartedAt       int64  `cbor:"began"` // time in Unix seconds on the operator's clock
	RequestedBy     string `cbor:"asked"` // operator whose request was carried out last; empty if there was none
	InstancesDigest string `cbor:"fleet"` // digest of the list of instances that the rollout's indices refer to
}

// InstanceStatus is an agent's report on one instance.
type InstanceStatus struct {
	Name       string  `cbor:"name"`
	AgeSeconds float64 `cbor:"age"`     // age of the report
	Listen     string  `cbor:"listen"`  // listen address and port
	ProcessID  int     `cbor:"process"` // 0 if no process is known to run
	Crashes    int     `cbor:"crashes"` // number of crashes since the router last ran stably or began a step
	rollout.Observation
	TargetRevision string `cbor:"wants"` // digest of the revision that the instance is to run
}

// Reply is an agent's reply to a request. The verb of the request determines which fields are set.
type Reply struct {
	Agent           string           `cbor:"agent"`
	Program         string           `cbor:"program"`         // name and version of the agent's program
	Denial          lease.Denial     `cbor:"refusal"`         // reason why the lease does not permit the request
	Failure         string           `cbor:"fault,omitempty"` // any other reason why the request was not carried out, for people
	LeaseState      lease.State      `cbor:"standing"`
	Record          lease.Record     `cbor:"record,omitzero"`
	OperatorRequest OperatorRequest  `cbor:"wish,omitzero"`
	Instances       []InstanceStatus `cbor:"instances,omitempty"`
	Revisions       []Revision       `cbor:"revisions,omitempty"`
	Rollouts        []Rollout        `cbor:"rollouts,omitempty"`
}
