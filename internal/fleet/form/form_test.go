package form

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/claim"
	"stoatdale.example/stoatdale/internal/fleet/plan"
)

func TestMessagesReadBackTheSame(t *testing.T) {
	c := Call{Verb: Act, Epoch: 3, Holder: "h", Name: "n1", Step: plan.Step{Rollout: "r", Number: 2, Instance: 4}}
	got, err := DecodeCall(Encode(c))
	require.NoError(t, err)
	assert.Equal(t, c, got)
	r := Reply{Agent: "a", Refusal: claim.RanOut, Record: claim.Record{Stamp: claim.Stamp{Epoch: 1, Number: 2}, Body: []byte("b")},
		Instances: []Told{{Name: "n", Sight: plan.Sight{Seen: math.Inf(-1), Life: plan.Ready, Last: plan.Step{Number: 9}}}}}
	var back Reply
	require.NoError(t, Decode("reply", Encode(r), &back))
	assert.Equal(t, r, back)
}

func TestFieldsOfALaterVersionArePassedOver(t *testing.T) {
	got, err := DecodeCall(Encode(map[string]any{"verb": "look", "epoch": 4, "colour": "green"}))
	require.NoError(t, err)
	assert.EqualValues(t, 4, got.Epoch)
}

func TestBadMessagesAreRefused(t *testing.T) {
	for says, raw := range map[string][]byte{
		`unknown verb "dance"`:    Encode(map[string]any{"verb": "dance"}),
		"unknown verb":            Encode(map[string]any{}),
		"call: ":                  {0xff},
		"cannot unmarshal":        Encode(map[string]any{"verb": 7}),
		"exceeded":                append([]byte{0xa1, 0x64, 'v', 'e', 'r', 'b'}, []byte("\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x00")...),
		"found duplicate map key": append([]byte{0xa2}, []byte("\x64verb\x64look\x64verb\x63bid")...),
	} {
		_, err := DecodeCall(raw)
		assert.ErrorContains(t, err, says)
	}
}

func FuzzDecodeCall(f *testing.F) {
	f.Add(Encode(Call{Verb: Bid, Bid: claim.Bid{Epoch: 1, Holder: "x"}}))
	f.Add(Encode(Call{Verb: Put, Revision: Revision{Digest: "d", Content: []byte("{}")}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := DecodeCall(raw)
		if err != nil {
			return
		}
		again, err := DecodeCall(Encode(c))
		require.NoError(t, err)
		assert.Equal(t, Encode(c), Encode(again))
	})
}
