package experiment

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/lab/model"
)

// testdata/small is a result that an earlier release saved with stoatctl lab run --out. Operators compare results between
// releases, so every value must be read, and be written unchanged.

// savedResults is the object in runs.json. It mirrors the type in package cli that the tool uses.
type savedResults struct {
	Name     string `json:"name"`
	OK       bool   `json:"ok"`
	Policies []Row  `json:"policies"`
	Runs     []Run  `json:"runs,omitempty"`
	Commands int    `json:"commands"`
}

const staleRead = "no read is older than its session's own writes"

func recordedRuns() []Run {
	return []Run{
		{
			Policy: "module", Seed: 1, Service: 1,
			Tally: model.Tally{
				Commands: 262, Answered: 262, InTarget: 262, Attempts: 271, PrimaryReads: 55, Reads: 231, HealthChecks: 26,
				Benefit: 342, Earned: 342, Events: 2082,
				Series: []model.Second{{Benefit: 159, Earned: 159}, {Benefit: 183, Earned: 183}},
			},
			Groups: []Group{
				{Name: "order", Answered: 40, P50: 0.0058196922464677225, P99: 0.012908772343200425, P999: 0.012908772343200425},
				{Name: "own", Answered: 222, P50: 0.008525192388376457, P99: 0.09785544236400967, P999: 0.10486794264997101},
			},
		},
		{
			Policy: "module", Seed: 2, Service: 1,
			Tally: model.Tally{
				Commands: 256, Answered: 256, InTarget: 256, Attempts: 265, PrimaryReads: 76, Reads: 226, HealthChecks: 25,
				Benefit: 334, Earned: 334, Events: 2401,
				Series: []model.Second{{Benefit: 166, Earned: 166}, {Benefit: 168, Earned: 168}},
			},
			Groups: []Group{
				{Name: "order", Answered: 39, P50: 0.004671234461941509, P99: 0.011693810604563204, P999: 0.011693810604563204},
				{Name: "own", Answered: 217, P50: 0.008824707359709416, P99: 0.11445058806811592, P999: 0.12045067096194417},
			},
		},
		{
			Policy: "any", Seed: 1, Service: 0.9970760233918129,
			Tally: model.Tally{
				Commands: 262, Answered: 261, InTarget: 261, Attempts: 315, PrimaryReads: 53, Reads: 275, Failed: 1,
				Benefit: 342, Earned: 341, Events: 1693,
				Series: []model.Second{{Benefit: 159, Earned: 158}, {Benefit: 183, Earned: 183}},
			},
			Groups: []Group{
				{Name: "order", Answered: 40, P50: 0.0058196922464677225, P99: 0.012908772343200425, P999: 0.012908772343200425},
				{Name: "own", Answered: 221, P50: 0.010214476115302629, P99: 0.115759619762825, P999: 0.11917597615142261},
			},
			Violations: map[string]string{staleRead: "a command of own is answered by member 1, whose data goes to 1.876 s, and needs 1.899 s"},
		},
		{
			Policy: "any", Seed: 2, Service: 1,
			Tally: model.Tally{
				Commands: 256, Answered: 256, InTarget: 256, Attempts: 306, PrimaryReads: 50, Reads: 267,
				Benefit: 334, Earned: 334, Events: 1652,
				Series: []model.Second{{Benefit: 166, Earned: 166}, {Benefit: 168, Earned: 168}},
			},
			Groups: []Group{
				{Name: "order", Answered: 39, P50: 0.004671234461941509, P99: 0.011693810604563204, P999: 0.011693810604563204},
				{Name: "own", Answered: 217, P50: 0.009223153334614098, P99: 0.11952690157679724, P999: 0.1232450671586931},
			},
			Violations: map[string]string{staleRead: "a command of own is answered by member 1, whose data goes to 0.806 s, and needs 0.830 s"},
		},
	}
}

func TestRecordedResultIsReadAndWrittenTheSame(t *testing.T) {
	raw, err := os.ReadFile("testdata/small/runs.json")
	require.NoError(t, err)
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	var got savedResults
	require.NoError(t, d.Decode(&got))
	want := savedResults{
		Name: "small", OK: true, Commands: 1036, Runs: recordedRuns(),
		Policies: []Row{
			{
				Policy: "module", Runs: 2, Service: 1, Lowest: 1, Highest: 1, InTarget: 1, PrimaryReads: 0.28718921196797303,
				Attempts: 1.034753697519084,
			},
			{
				Policy: "any", Runs: 2, Service: 0.9985380116959064, Lowest: 0.9970760233918129, Highest: 1, InTarget: 0.9980916030534351,
				PrimaryReads: 0.1899965951651345, Attempts: 1.1988012881679388, Violations: []string{staleRead},
			},
		},
	}
	assert.Equal(t, want, got)
	assert.Equal(t, want.Policies, Table(got.Runs))
	again, err := json.MarshalIndent(want, "", "  ")
	require.NoError(t, err)
	assert.Equal(t, string(raw), string(append(again, '\n')))
	_, err = model.Load("testdata/small/experiment.sexp")
	assert.NoError(t, err)
}
