package inventory

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

const sample = `(name haulage) (floor 1)
(times (soak 2s) (look 250ms))
(hall gebze (floor 1)) (hall izmit (floor 0))
(agent a1 (listen 127.0.0.1:7001) (hall gebze) (folder /tmp/a1) (program bin/stoatdale))
(agent a2 (listen 127.0.0.1:7002) (hall izmit) (folder /tmp/a2) (program bin/stoatdale))
(instance n1 (agent a1) (listen 127.0.0.1:5001) (me 0))
(instance n2 (agent a2) (listen 127.0.0.1:5002) (discovery 127.0.0.1:8500))`

func TestFleetFileIsRead(t *testing.T) {
	f, err := Parse("f", []byte(sample))
	require.NoError(t, err)
	plannerFleet := f.PlannerFleet()
	assert.Equal(t, []rollout.Instance{{Zone: 0, Agent: 0}, {Zone: 1, Agent: 1}}, plannerFleet.Instances)
	assert.Equal(t, []int{1, 0}, plannerFleet.ZoneMinAvailable)
	assert.InDelta(t, 2, plannerFleet.Timing.SoakSeconds, 0)
	assert.InDelta(t, 30, plannerFleet.Timing.ContactTimeoutSeconds, 0, "a time that the file does not set has a default")
	assert.Equal(t, revision.Instance{Name: "n1", Listen: "127.0.0.1:5001", RouterIndex: 0}, f.Instances[0].RevisionInstance())
	assert.Equal(t, revision.Instance{Name: "n2", Listen: "127.0.0.1:5002", Discovery: "127.0.0.1:8500", RouterIndex: -1}, f.Instances[1].RevisionInstance())
	again, err := Parse("f", f.Text())
	require.NoError(t, err)
	assert.Equal(t, f.InstancesDigest(), again.InstancesDigest())
	assert.Equal(t, f.Times, again.Times)
	assert.Equal(t, f.PlannerFleet(), again.PlannerFleet())
	assert.Len(t, f.InstancesOf("a1"), 1)
	assert.Nil(t, f.Agent("a3"))
}

func TestErrorsNamePlaceAndKey(t *testing.T) {
	for change, message := range map[[2]string]string{
		{"(name haulage)", ""}:                               "f:1:1: the file lacks the key name",
		{"(floor 1)\n(times", "(floor 9)\n(times"}:           "the floor is 9, but there are 2 instances",
		{"(hall gebze (floor 1))", "(hall gebze (floor 2))"}: "f:3:1: hall gebze: its floor is 2, but it has 1 instances",
		{"(hall izmit (floor 0))", "(hall gebze (floor 0))"}: "f:3:24: hall gebze is given twice",
		{"(hall izmit) (fold", "(hall nowhere) (fold"}:       "f:5:1: agent a2: there is no hall nowhere",
		{"(agent a2 (l", "(agent a1 (l"}:                     "f:5:1: agent a1 is given twice",
		{"(instance n2", "(instance n1"}:                     "f:7:1: instance n1 is given twice",
		{"(instance n2", "(instance ../n1"}:                  "must be usable as a folder name",
		{"(agent a2) (listen", "(agent a3) (listen"}:         "f:7:1: instance n2: there is no agent a3",
		{"127.0.0.1:5002", "127.0.0.1:7001"}:                 "instance n2 listens on 127.0.0.1:7001, as agent a1 does",
		{"127.0.0.1:5002", "127.0.0.1:0"}:                    "listen needs a port",
		{"127.0.0.1:8500", "somewhere"}:                      "discovery:",
		{"(look 250ms)", "(look 2s)"}:                        "fresh must be at least twice look",
		{"(look 250ms)", "(claim 1s)"}:                       "claim must be at least four times look",
		{"(look 250ms)", "(step 0s)"}:                        "times: step must be above 0",
		{"(me 0)", "(me -1)"}:                                "me must not be negative",
		{"(me 0)", "(mee 0)"}:                                `instance has no key "mee"; did you mean me?`,
	} {
		require.Contains(t, sample, change[0])
		_, err := Parse("f", []byte(strings.Replace(sample, change[0], change[1], 1)))
		require.ErrorContains(t, err, message)
	}
	_, err := Parse("f", []byte("(name x) (floor 0)"))
	require.ErrorContains(t, err, "no agent")
	_, err = Load("/nowhere/fleet.sexp")
	assert.ErrorContains(t, err, "fleet file")
}

func TestExampleFileIsValid(t *testing.T) {
	f, err := Load("../../../deploy/fleet.sexp")
	require.NoError(t, err)
	assert.Equal(t, rollout.ReasonNone, rollout.CheckFeasible(f.PlannerFleet(), nil).Kind)
	assert.Len(t, f.Instances, 6)
}
