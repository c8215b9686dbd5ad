package revision

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/config"
)

// sample is a revision that the router's parser accepts.
const sample = `{
 "limits": {"sockets": 600, "memory_mb": 100},
 "discovery": "127.2.0.1:8500",
 "known": {"generation":41,"reset":true,"instances":[]},
 "settings":{"balancers":3,"me":2,"zones":["h1","h2"],"tickNs":5000000,"discovery":"push",
  "classes":[{"name":"basket","effect":"pure","targetNs":500000000,"deadlineNs":2000000000,"worth":1}],
  "familyInfo":{"tokens":"kept","guards":"none","needsByClass":["causal"],"classBoundNs":[0],"zeroNs":5},
  "loadInfo":{"source":"probe","fields":["x0","x1"]},
  "limits":{"mostTries":4,"dialTimeoutNs":250000000,"connIdleNs":15000000000,"probes":true},
  "invariants":{"startCapacity":0.2,"rampTimeNs":9000000000,"overloadFactor":2,"fallNs":2000000000}}}`

// testInstance is the instance that most tests use.
var testInstance = Instance{Name: "n1", Listen: "127.0.0.1:5432", RouterIndex: 1}

// canonical returns a revision's text in canonical form.
func canonical(t *testing.T, text string) []byte {
	t.Helper()
	c, err := Canonical("f", []byte(text))
	require.NoError(t, err)
	return c
}

func TestDigestIsOfCanonicalContent(t *testing.T) {
	c := canonical(t, sample)
	again := canonical(t, string(c))
	assert.Equal(t, c, again)
	other := strings.Replace(sample, `"sockets": 600, "memory_mb": 100`, `"memory_mb":100,"sockets":600`, 1)
	assert.Equal(t, Digest(c), Digest(canonical(t, other)), "the order of keys does not change the digest")
	assert.NotEqual(t, Digest(c), Digest(canonical(t, strings.Replace(sample, "600", "601", 1))))
	assert.Contains(t, string(canonical(t, strings.Replace(sample, "500000000", "500000000.0000001", 1))), "500000000.0000001", "numbers stay as written")
}

func TestRenderSetsTheKeysOfAnInstance(t *testing.T) {
	parsed, err := Check(canonical(t, sample), testInstance)
	require.NoError(t, err)
	assert.Equal(t, "n1", parsed.Name)
	assert.Equal(t, "127.0.0.1:5432", parsed.Listen.String())
	assert.Equal(t, 1, parsed.Settings.Instance)
	assert.Equal(t, "127.2.0.1:8500", parsed.Discovery.String())
	parsed, err = Check(canonical(t, sample), Instance{Name: "n1", Listen: "127.0.0.1:1", Discovery: "127.0.0.9:1", RouterIndex: -1})
	require.NoError(t, err)
	assert.Equal(t, 2, parsed.Settings.Instance)
	assert.Equal(t, "127.0.0.9:1", parsed.Discovery.String())
	assert.InDelta(t, 20+0.45+1, DrainSeconds(&parsed, 1), 1e-9)
}

func TestInvalidRevisionsAreRejectedWithPlaceAndKey(t *testing.T) {
	for text, message := range map[string]string{
		`{"name":"x"}`:                "f: the key name belongs to an instance",
		`{"Seed":"1"}`:                "the key Seed belongs to an instance",
		"{\n \"a\":1,\n \"a\":2}":     "f:3:5: a is given twice",
		`{"a":{"b":[{"c":1,"c":2}]}}`: "a.b[0].c is given twice",
		`[1]`:                         "f:1:1: a revision must be a JSON object",
		`{"a":1} x`:                   "more text follows",
		`{"a":`:                       "unexpected EOF",
		`{"a" 1}`:                     "f:1:",
		strings.Repeat(`{"a":`, 70) + "1" + strings.Repeat("}", 70): "is nested more than 64 levels deep",
	} {
		_, err := Canonical("f", []byte(text))
		require.ErrorContains(t, err, message, text)
	}
	_, err := Canonical("f", make([]byte, MaxBytes+1))
	require.ErrorContains(t, err, "at most")
	for change, message := range map[string]string{
		`"targetNs"`: "instance n1: settings: classes[0]", `"known"`: "instance n1: known is missing",
		`"settings":`: "settings is missing",
	} {
		_, err := Check(canonical(t, strings.Replace(sample, change, strings.Replace(change, `"`, `"x`, 1), 1)), testInstance)
		assert.ErrorContains(t, err, message)
	}
}

func TestErrorsAreTyped(t *testing.T) {
	_, err := Canonical("f", []byte("{\n \"a\":1,\n \"a\":2}"))
	var syntax *SyntaxError
	require.ErrorAs(t, err, &syntax)
	assert.Equal(t, SyntaxError{File: "f", Line: 3, Column: 5, Err: &DuplicateKeyError{Key: "a"}}, *syntax)
	_, err = Canonical("f", []byte(`{"Seed":"1"}`))
	var instanceKey *InstanceKeyError
	require.ErrorAs(t, err, &instanceKey)
	assert.Equal(t, InstanceKeyError{File: "f", Key: "Seed"}, *instanceKey)
	_, err = Canonical("f", make([]byte, MaxBytes+1))
	var tooLong *TooLongError
	require.ErrorAs(t, err, &tooLong)
	assert.Equal(t, TooLongError{File: "f", Bytes: MaxBytes + 1}, *tooLong)
	_, err = Check(canonical(t, strings.Replace(sample, `"targetNs"`, `"xtargetNs"`, 1)), testInstance)
	var configError *config.Error
	require.ErrorAs(t, err, &configError)
}

func TestRestartKeysAreNamed(t *testing.T) {
	a, err := Check(canonical(t, sample), testInstance)
	require.NoError(t, err)
	b, err := Check(canonical(t, strings.Replace(sample, "127.2.0.1:8500", "127.2.0.2:8500", 1)), testInstance)
	require.NoError(t, err)
	assert.Empty(t, RestartKeys(&a, &b))
	b, err = Check(canonical(t, strings.Replace(strings.Replace(sample, "600", "601", 1), `"mostTries":4`, `"mostTries":5`, 1)), testInstance)
	require.NoError(t, err)
	assert.Equal(t, []string{"limits", "settings"}, RestartKeys(&a, &b))
}

func TestDiffListsChangesByKey(t *testing.T) {
	d, err := Diff([]byte(`{"a":{"b":[1,2],"c":1},"d":"x"}`), []byte(`{"a":{"b":[1,3],"e":[]},"d":"x"}`))
	require.NoError(t, err)
	assert.Equal(t, []Change{{"a.b[1]", "2", "3"}, {"a.c", "1", ""}, {"a.e", "", "[]"}}, d)
	raw, err := json.Marshal(d[0])
	require.NoError(t, err)
	assert.JSONEq(t, `{"Key":"a.b[1]","From":"2","To":"3"}`, string(raw), "the form that fleet diff --json prints")
}
