package agent

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
	"strings"

	"stoatdale.example/stoatdale/internal/fleet/rollout"
)

const (
	maxLogBytes   = 8 << 20 // a router's log is rotated when it is larger
	maxLineBytes  = 1 << 20
	logBufferSize = 64 << 10 // a longer line is parsed in parts of this size
)

// Messages in a router's log that its agent looks for.
const (
	reloadedMessage      = "reloaded"
	reloadRefusedMessage = "reload refused"
)

// logEvent is an event that an agent reads from a line of a router's log. Exactly one field is set.
type logEvent struct {
	counts        *rollout.CommandCounts
	reloadFailure *string // reason why the router refused a reload, or empty if it reloaded
}

// logTail reads a router's log as it grows.
type logTail struct {
	path      string
	offset    int64  // end of the part that was read, in bytes
	lastError string // text of the last line that reports an error or is not JSON
}

// newLogTail returns a reader that starts at an offset in the log.
func newLogTail(path string, offset int64) *logTail { return &logTail{path: path, offset: offset} }

// read passes the events of the complete lines since the last call to emit. One call reads at most 4*maxLineBytes, and
// the next call continues there. It rotates a log larger than maxLogBytes.
func (t *logTail) read(emit func(logEvent)) error {
	f, err := os.Open(t.path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if info, err := f.Stat(); err == nil && info.Size() < t.offset {
		t.offset = 0 // the file was truncated by another program
	}
	if _, err := f.Seek(t.offset, io.SeekStart); err != nil {
		return err
	}
	r := bufio.NewReaderSize(io.LimitReader(f, 4*maxLineBytes), logBufferSize)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			break // a later call reads an incomplete line once it is complete
		}
		t.offset += int64(len(line))
		t.parseLine(line, emit)
	}
	if t.offset > maxLogBytes {
		return t.rotate()
	}
	return nil
}

// rotate copies the log to a file with the suffix .1, replacing an earlier copy, and truncates the log. The router opened
// the log for appending, so it continues at the new end.
func (t *logTail) rotate() error {
	raw, err := os.ReadFile(t.path)
	if err != nil {
		return err
	}
	if err := os.WriteFile(t.path+".1", raw, 0o600); err != nil {
		return err
	}
	if err := os.Truncate(t.path, 0); err != nil {
		return err
	}
	t.offset = 0
	return nil
}

// logLine is a line of a router's log with the fields that the agent uses.
type logLine struct {
	Level    string       `json:"level"`
	Message  string       `json:"message"`
	Error    string       `json:"error"`
	Counters *logCounters `json:"counters"`
}

// logCounters are the counters of commands in a router's log, counted since the router's start.
type logCounters struct {
	BadInput  uint64 `json:"bad_input"`
	Answered  uint64 `json:"answered"`
	Throttled uint64 `json:"throttled"`
	Failed    uint64 `json:"failed"`
}

func (c *logCounters) commandCounts() rollout.CommandCounts {
	unanswered := c.Throttled + c.Failed + c.BadInput
	return rollout.CommandCounts{Completed: c.Answered + unanswered, Unanswered: unanswered}
}

// parseLine passes the event in a line to emit, if there is one, and keeps the text of an error in lastError.
func (t *logTail) parseLine(raw []byte, emit func(logEvent)) {
	var line logLine
	if json.Unmarshal(raw, &line) != nil {
		t.lastError = strings.TrimSpace(string(raw)) // for example the text of a panic, which is not JSON
		return
	}
	switch {
	case line.Counters != nil:
		counts := line.Counters.commandCounts()
		emit(logEvent{counts: &counts})
	case line.Message == reloadedMessage:
		emit(logEvent{reloadFailure: new(string)})
	case line.Message == reloadRefusedMessage:
		emit(logEvent{reloadFailure: &line.Error})
	case line.Level == "error" || line.Level == "fatal":
		t.lastError = strings.TrimSpace(line.Message + " " + line.Error)
	}
}
