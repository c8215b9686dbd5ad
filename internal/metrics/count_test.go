package metrics

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/router"
)

// loggedNumbers logs the counters and returns the numbers of the log line by key. The key of a number in a nested
// object is the object's key, a dot and the number's key.
func loggedNumbers(t *testing.T, counters *Counters) map[string]float64 {
	t.Helper()
	var output bytes.Buffer
	log := zerolog.New(&output)
	log.Info().Object("counters", counters).Send()
	var line struct{ Counters map[string]any }
	require.NoError(t, json.Unmarshal(output.Bytes(), &line))
	numbers := map[string]float64{}
	for key, value := range line.Counters {
		switch value := value.(type) {
		case float64:
			numbers[key] = value
		case map[string]any:
			for nested, number := range value {
				numbers[key+"."+nested] = number.(float64)
			}
		}
	}
	return numbers
}

func TestEveryCounterIsLoggedOnce(t *testing.T) {
	var counters Counters
	fields := reflect.ValueOf(&counters).Elem()
	want := map[float64]string{}
	for i := range fields.NumField() {
		if field := fields.Field(i); field.Kind() == reflect.Uint64 {
			number := uint64(i + 1)
			field.SetUint(number)
			want[float64(number)] = fields.Type().Field(i).Name
		}
	}
	for key, number := range loggedNumbers(t, &counters) {
		if number == 0 {
			continue // an attempt result or the longest turn, which the loop above does not set
		}
		assert.Contains(t, want, number, key)
		delete(want, number)
	}
	assert.Empty(t, want, "fields that are not logged")
}

func TestAttemptResultsAndGroupsAreLoggedUnderTheirNames(t *testing.T) {
	counters := Counters{ReceivedByGroup: []uint64{5, 6}, GroupNames: []string{"look", "book"}, LongestTurnSeconds: 0.25}
	counters.AttemptResults[router.Answered] = 7
	counters.AttemptResults[router.NotServed] = 8
	numbers := loggedNumbers(t, &counters)
	assert.InDelta(t, 5, numbers["received_by_group.look"], 0)
	assert.InDelta(t, 6, numbers["received_by_group.book"], 0)
	assert.InDelta(t, 7, numbers["attempt_results.answered"], 0)
	assert.InDelta(t, 8, numbers["attempt_results.not_served"], 0)
	assert.InDelta(t, 250, numbers["longest_turn_ms"], 0)
}

func TestGroupsOfTheSameNameKeepTheirCount(t *testing.T) {
	var counters Counters
	counters.SetGroups([]string{"look", "book"})
	assert.Equal(t, []uint64{0, 0}, counters.ReceivedByGroup)
	counters.ReceivedByGroup[0], counters.ReceivedByGroup[1] = 5, 6
	counters.SetGroups([]string{"book", "cook"})
	assert.Equal(t, []string{"book", "cook"}, counters.GroupNames)
	assert.Equal(t, []uint64{6, 0}, counters.ReceivedByGroup)
}

func TestCloneIsNotChangedByLaterCounts(t *testing.T) {
	counters := Counters{Received: 1, ReceivedByGroup: []uint64{1}, GroupNames: []string{"look"}}
	clone := counters.Clone()
	counters.Received++
	counters.ReceivedByGroup[0]++
	assert.Equal(t, Counters{Received: 1, ReceivedByGroup: []uint64{1}, GroupNames: []string{"look"}}, clone)
}

// Agents, which may run another release than the router, count its answers by these keys.
func TestKeysReadByAgentsAreLogged(t *testing.T) {
	numbers := loggedNumbers(t, &Counters{Answered: 1, Rejected: 2, Failed: 3, InvalidQueries: 4})
	for key, want := range map[string]float64{"answered": 1, "throttled": 2, "failed": 3, "bad_input": 4} {
		assert.InDelta(t, want, numbers[key], 0, key)
	}
}
