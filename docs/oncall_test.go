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
	fewestCountersRead = 40 // fewer would mean that the page is not read as it is written
)

var (
	renamedRow = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| `([^`]+)` \\|")
	// What the page names beside counters and log lines: a key of the configuration, an error's text.
	otherNames = map[string]bool{"move": true, "no reply": true}
)

// counterKeys returns the names under which the counters are logged; those of a group as "group.name".
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

// section returns what stands between two headings of the on-call page.
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
	linesHeading    = "### Log lines: old and new messages"
	errorsHeading   = "### Errors: old and new texts"
)

func TestOnCallPageNamesCountersAndLogLinesThatExist(t *testing.T) {
	counters, messages := counterKeys(t), readSource(t).messages
	read := 0
	for _, quoted := range quotedName.FindAllStringSubmatch(section(t, routerHeading, countersHeading), -1) {
		name := quoted[1]
		if strings.HasPrefix(name, "(") || otherNames[name] {
			continue
		}
		read++
		assert.True(t, counters[name] || messages[name], "%s is neither a counter nor a log line", name)
	}
	assert.GreaterOrEqual(t, read, fewestCountersRead)
	assert.False(t, counters["planted"] || messages["planted"])
}

func TestOnCallPageRenamesCountersToThoseThatExist(t *testing.T) {
	counters := counterKeys(t)
	rows := renamedRow.FindAllStringSubmatch(section(t, countersHeading, linesHeading), -1)
	for _, row := range rows {
		earlier, now := row[1], row[2]
		assert.True(t, counters[now], "%s is not a counter", now)
		assert.False(t, counters[earlier], "%s is still a counter", earlier)
	}
	assert.GreaterOrEqual(t, len(rows), fewestCountersRead/2)
}

func TestOnCallPageRenamesLogLinesToThoseThatExist(t *testing.T) {
	messages := readSource(t).messages
	rows := renamedRow.FindAllStringSubmatch(section(t, linesHeading, errorsHeading), -1)
	kept := map[string]bool{} // messages that one program has kept and another renamed
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
