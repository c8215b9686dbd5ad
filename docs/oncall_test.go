package docs

import (
	"bytes"
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"stoatdale.example/stoatdale/internal/metrics"
)

const (
	minCountersRead = 40 // with fewer names the test probably misreads the page
)

var (
	renamedRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| `([^`]+)` \\|")
	// Quoted names on the page that are neither counters nor log messages: a configuration key and the text of an error.
	otherQuotedNames = map[string]bool{"move": true, "no reply": true}
)

// counterKeys returns the names under which the counters are logged. The counters of a group have names of the form
// "group.name".
func counterKeys(t *testing.T) map[string]bool {
	t.Helper()
	var line bytes.Buffer
	log := zerolog.New(&line)
	log.Log().Object("counters", &metrics.Counters{}).Send()
	var logged struct {
		Counters map[string]any `json:"counters"`
	}
	require.NoError(t, json.Unmarshal(line.Bytes(), &logged))
	keys := map[string]bool{}
	for name, value := range logged.Counters {
		keys[name] = true
		if group, isGroup := value.(map[string]any); isGroup {
			for member := range group {
				keys[name+"."+member] = true
			}
		}
	}
	return keys
}

// section returns the text between two headings of the on-call page.
func section(t *testing.T, from, to string) string {
	t.Helper()
	page, err := os.ReadFile("on-call.md")
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(page), from)
	require.True(t, found, from)
	text, _, found := strings.Cut(rest, to)
	require.True(t, found, to)
	return text
}

const (
	routerHeading   = "## The router on sockets: log and counters"
	countersHeading = "### Counters: old and new names"
	logLinesHeading = "### Log lines: old and new messages"
	errorsHeading   = "### Errors: old and new texts"
)

func TestOnCallPageNamesCountersAndLogLinesThatExist(t *testing.T) {
	counters, messages := counterKeys(t), readSource(t).messages
	read := 0
	for _, quoted := range quotedName.FindAllStringSubmatch(section(t, routerHeading, countersHeading), -1) {
		name := quoted[1]
		if strings.HasPrefix(name, "(") || otherQuotedNames[name] {
			continue
		}
		read++
		assert.True(t, counters[name] || messages[name], "%s is neither a counter nor a log message", name)
	}
	assert.GreaterOrEqual(t, read, minCountersRead)
	assert.False(t, counters["planted"] || messages["planted"])
}

func TestOnCallPageRenamesCountersToThoseThatExist(t *testing.T) {
	counters := counterKeys(t)
	rows := renamedRow.FindAllStringSubmatch(section(t, countersHeading, logLinesHeading), -1)
	for _, row := range rows {
		earlier, now := row[1], row[2]
		assert.True(t, counters[now], "%s is not a counter", now)
		assert.False(t, counters[earlier], "%s is still a counter", earlier)
	}
	assert.GreaterOrEqual(t, len(rows), minCountersRead/2)
}

func TestOnCallPageRenamesLogLinesToThoseThatExist(t *testing.T) {
	messages := readSource(t).messages
	rows := renamedRow.FindAllStringSubmatch(section(t, logLinesHeading, errorsHeading), -1)
	kept := map[string]bool{} // messages that one program still logs and another has renamed
	for _, row := range rows {
		kept[row[1]] = kept[row[1]] || row[1] == row[2]
	}
	for _, row := range rows {
		earlier, now := row[1], row[2]
		assert.True(t, messages[now], "%q is not logged", now)
		assert.True(t, kept[earlier] || !messages[earlier], "%q is still logged", earlier)
	}
	assert.NotEmpty(t, rows)
}
