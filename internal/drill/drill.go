// Package drill runs failure drills: a failure that a subsystem is built for, and checkers of what must hold in it.
// Operators rehearse with them, and CI runs the short ones. With its seed a drill makes the same choices again.
package drill

import (
	"encoding/json"
	"fmt"
	"io"
)

// Report is the part of a drill's result that all drills have. Each drill embeds it in a report with figures of its own.
type Report struct {
	Drill     string  `json:"drill"`
	Seed      uint64  `json:"seed"`
	Seconds   float64 `json:"seconds"`
	OK        bool    `json:"ok"`               // nothing was violated
	Violation string  `json:"broken,omitempty"` // the first one, and how to see it again
}

// Fail records a violation. Only the first one is described.
func (r *Report) Fail(format string, args ...any) {
	if r.Violation == "" {
		r.Violation = fmt.Sprintf(format, args...)
	}
	r.OK = false
}

// Print writes a drill's report: as one line of JSON, or indented for people.
func Print(out io.Writer, asJSON bool, report any) error {
	var encoded []byte
	var err error
	if asJSON {
		encoded, err = json.Marshal(report)
	} else {
		encoded, err = json.MarshalIndent(report, "", "  ")
	}
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	_, err = fmt.Fprintf(out, "%s\n", encoded)
	return err
}
