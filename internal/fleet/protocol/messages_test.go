package protocol

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/lease"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

func TestMessagesRoundTrip(t *testing.T) {
	request := Request{Verb: BeginStepVerb, Epoch: 3, Holder: "h", InstanceName: "n1", Step: rollout.Step{RolloutID: "r", Number: 2, Instance: 4}}
	got, err := DecodeRequest(Encode(request))
	require.NoError(t, err)
	assert.Equal(t, request, got)
	reply := Reply{
		Agent: "a", Denial: lease.Expired, Record: lease.Record{Version: lease.Version{Epoch: 1, Number: 2}, Body: []byte("b")},
		Instances: []InstanceStatus{{Name: "n", Observation: rollout.Observation{SeenAt: math.Inf(-1), State: rollout.ProcessReady, LastStep: rollout.Step{Number: 9}}}},
	}
	var decoded Reply
	require.NoError(t, Decode("reply", Encode(reply), &decoded))
	assert.Equal(t, reply, decoded)
}

func TestFieldsOfLaterVersionsAreIgnored(t *testing.T) {
	got, err := DecodeRequest(Encode(map[string]any{"verb": "look", "epoch": 4, "colour": "green"}))
	require.NoError(t, err)
	assert.EqualValues(t, 4, got.Epoch)
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	for want, raw := range map[string][]byte{
		`unknown verb "dance"`:    Encode(map[string]any{"verb": "dance"}),
		"unknown verb":            Encode(map[string]any{}),
		"call: ":                  {0xff},
		"cannot unmarshal":        Encode(map[string]any{"verb": 7}),
		"exceeded":                append([]byte{0xa1, 0x64, 'v', 'e', 'r', 'b'}, []byte("\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x00")...),
		"found duplicate map key": append([]byte{0xa2}, []byte("\x64verb\x64look\x64verb\x63bid")...),
	} {
		_, err := DecodeRequest(raw)
		assert.ErrorContains(t, err, want)
	}
}

func TestUnknownVerbIsATypedError(t *testing.T) {
	_, err := DecodeRequest(Encode(map[string]any{"verb": "dance"}))
	var unknown *UnknownVerbError
	require.ErrorAs(t, err, &unknown)
	assert.Equal(t, Verb("dance"), unknown.Verb)
}

func FuzzDecodeRequest(f *testing.F) {
	f.Add(Encode(Request{Verb: RequestLeaseVerb, LeaseRequest: lease.Request{Epoch: 1, Holder: "x"}}))
	f.Add(Encode(Request{Verb: PutRevisionVerb, Revision: Revision{Digest: "d", Content: []byte("{}")}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		request, err := DecodeRequest(raw)
		if err != nil {
			return
		}
		again, err := DecodeRequest(Encode(request))
		require.NoError(t, err)
		assert.Equal(t, Encode(request), Encode(again))
	})
}
