package standin

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a run writes what was sent, answered and run.
type Record struct {
	start time.Time
	file  *os.File

	mu  sync.Mutex
	out *bufio.Writer
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Printf writes a line that begins with the seconds since the start of the run.
func (r *Record) Printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", arguments...)
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, arguments ...any) {
	r.Printf(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// Close completes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
