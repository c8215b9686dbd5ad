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
	maxLogBytes   = 8 << 20 // of a router's log, which is then rotated
	maxLineBytes  = 1 << 20
	logBufferSize = 64 << 10
)

// Messages of a router that an agent follows.
const (
	reloadedMessage      = "reloaded"
	reloadRefusedMessage = "reload refused"
)

// logEvent is what a line of a router's log tells its agent: one of the two is set.
type logEvent struct {
	counts        *rollout.CommandCounts
	reloadFailure *string // why a reload was refused; empty: it was not
}

// logTail reads a router's log as it grows.
type logTail struct {
	path      string
	offset    int64  // up to which it is read
	lastError string // the last line that reports a fault
}

// newLogTail returns a reader that starts at an offset of the log.
func newLogTail(path string, offset int64) *logTail { return &logTail{path: path, offset: offset} }

// read hands out the events since the last call. A log above maxLogBytes is rotated.
func (t *logTail) read(emit func(logEvent)) error {
	f, err := os.Open(t.path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if info, err := f.Stat(); err == nil && info.Size() < t.offset {
		t.offset = 0 // somebody else has truncated it
	}
	if _, err := f.Seek(t.offset, io.SeekStart); err != nil {
		return err
	}
	r := bufio.NewReaderSize(io.LimitReader(f, 4*maxLineBytes), logBufferSize)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			break // an incomplete line is read once it is complete
		}
		t.offset += int64(len(line))
		t.parseLine(line, emit)
	}
	if t.offset > maxLogBytes {
		return t.rotate()
	}
	return nil
}

// rotate keeps the log beside it as the one before and truncates it. The router appends, so it writes on at the new end.
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

// logLine is a line of a router's log, as far as an agent follows it.
type logLine struct {
	Level    string       `json:"level"`
	Message  string       `json:"message"`
	Error    string       `json:"error"`
	Counters *logCounters `json:"counters"`
}

// logCounters are counts of commands since the router's start.
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

func (t *logTail) parseLine(raw []byte, emit func(logEvent)) {
	var line logLine
	if json.Unmarshal(raw, &line) != nil {
		t.lastError = strings.TrimSpace(string(raw)) // a program's last words need not be JSON
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
