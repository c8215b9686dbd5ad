// Package protocol defines the protocol between the fleet tool and its agents: the messages and their encoding.
//
// Messages are CBOR maps with their fields by name, so that a later version may add some: a decoder passes over fields
// that it does not know. Sizes and nesting are bounded. The names under which fields are sent stand in their tags and
// never change within a version. Package store keeps some of the messages under the same names.
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

// Bounds of encoded messages, in bytes.
const (
	MaxContentBytes = 8 << 20   // of a request that carries a revision
	MaxRequestBytes = 256 << 10 // of any other request
	MaxReplyBytes   = 16 << 20
)

// Verb is what an agent is asked to do. Its value is sent.
type Verb string

// Verbs.
const (
	StatusVerb        Verb = "look"    // report the state; with an epoch, renew its lease as well
	RequestLeaseVerb  Verb = "bid"     // grant a lease
	StoreRecordVerb   Verb = "keep"    // store the lease holder's record
	BeginStepVerb     Verb = "act"     // begin a step of a rollout
	ReleaseLeaseVerb  Verb = "release" // end a lease before its term
	RequestActionVerb Verb = "ask"     // store an operator's request for whoever drives a rollout
	PutRevisionVerb   Verb = "put"     // store a revision
	GetRevisionVerb   Verb = "get"     // return a revision with its content
	HistoryVerb       Verb = "history" // list revisions and rollouts
)

var knownVerbs = []Verb{
	StatusVerb, RequestLeaseVerb, StoreRecordVerb, BeginStepVerb, ReleaseLeaseVerb, RequestActionVerb, PutRevisionVerb,
	GetRevisionVerb, HistoryVerb,
}

// Known tells whether this version of the protocol has the verb.
func (v Verb) Known() bool { return slices.Contains(knownVerbs, v) }

// Request is one request to an agent. Which fields count depends on the verb.
type Request struct {
	Verb            Verb            `cbor:"verb"`
	AgentsDigest    string          `cbor:"agents,omitempty"`  // of the caller's list of agents, which must be the agent's own; empty: any
	LeaseRequest    lease.Request   `cbor:"bid,omitzero"`      // for RequestLeaseVerb
	Epoch           uint64          `cbor:"epoch,omitempty"`   // of the caller's lease
	Holder          string          `cbor:"holder,omitempty"`  // of that lease: the caller
	Record          lease.Record    `cbor:"record,omitzero"`   // for StoreRecordVerb; its body is an encoded Rollout
	InstanceName    string          `cbor:"name,omitempty"`    // for BeginStepVerb: of the step's instance
	Step            rollout.Step    `cbor:"step,omitzero"`     // for BeginStepVerb
	OperatorRequest OperatorRequest `cbor:"wish,omitzero"`     // for RequestActionVerb
	Revision        Revision        `cbor:"revision,omitzero"` // for PutRevisionVerb; for GetRevisionVerb its digest alone
}

// OperatorRequest is what an operator asks of a rollout that another tool drives.
type OperatorRequest struct {
	RolloutID string                  `cbor:"rollout"`
	Run       uint64                  `cbor:"run"` // of the rollout: the request counts for this run only
	Action    rollout.OperatorRequest `cbor:"wish"`
	Operator  string                  `cbor:"by"` // set by the agent from the certificate
}

// Revision is a version of the configuration that all routers of a fleet share.
type Revision struct {
	Digest   string `cbor:"digest"` // of the content; identifies the revision
	Name     string `cbor:"name"`   // given by the operator; need not be unique
	PushedBy string `cbor:"by"`     // operator
	PushedAt int64  `cbor:"at"`     // Unix seconds on the operator's clock
	Content  []byte `cbor:"content,omitempty"`
}

// Rollout is the body of the record that the lease holder has the agents store: the planner's state, and who began it.
type Rollout struct {
	rollout.Rollout
	Run             uint64 `cbor:"run"`   // grows each time the rollout is begun or resumed
	RevisionName    string `cbor:"name"`  // of the revision that is rolled out
	StartedBy       string `cbor:"by"`    // operator
	StartedAt       int64  `cbor:"began"` // Unix seconds on the operator's clock
	RequestedBy     string `cbor:"asked"` // operator whose request was followed last; empty: none was
	InstancesDigest string `cbor:"fleet"` // of the list of instances that the rollout's indices refer to
}

// InstanceStatus is what an agent reports of one instance.
type InstanceStatus struct {
	Name       string  `cbor:"name"`
	AgeSeconds float64 `cbor:"age"`     // since it was observed
	Listen     string  `cbor:"listen"`  // address and port
	ProcessID  int     `cbor:"process"` // 0: none runs
	Crashes    int     `cbor:"crashes"` // since the router last ran without one for a while
	rollout.Observation
	TargetRevision string `cbor:"wants"` // digest of the revision that it is to run
}

// Reply is an agent's reply. Which fields it fills depends on the request's verb.
type Reply struct {
	Agent           string           `cbor:"agent"`
	Program         string           `cbor:"program"`         // of the agent, with its version
	Denial          lease.Denial     `cbor:"refusal"`         // why the lease does not allow the request
	Failure         string           `cbor:"fault,omitempty"` // why it was not done otherwise, for people
	LeaseState      lease.State      `cbor:"standing"`
	Record          lease.Record     `cbor:"record,omitzero"`
	OperatorRequest OperatorRequest  `cbor:"wish,omitzero"`
	Instances       []InstanceStatus `cbor:"instances,omitempty"`
	Revisions       []Revision       `cbor:"revisions,omitempty"`
	Rollouts        []Rollout        `cbor:"rollouts,omitempty"`
}
