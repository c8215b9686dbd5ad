// Package drill runs failure drills. A drill causes a failure that a subsystem must survive, and checks what must hold during
// that failure. Operators rehearse with the drills, and CI runs the short ones. A drill with the same seed makes the same
// random choices again.
package drill

import (
	"encoding/json"
	"fmt"
	"io"
)

// Report holds the results that all drills have. Each drill embeds it in a report with its own figures.
type Report struct {
	Drill     string  `json:"drill"`
	Seed      uint64  `json:"seed"`
	Seconds   float64 `json:"seconds"`
	OK        bool    `json:"ok"`               // no check failed
	Violation string  `json:"broken,omitempty"` // the first violation, and how to reproduce it; empty: none
}

// Fail records a violation. The report describes only the first one.
func (r *Report) Fail(format string, args ...any) {
	if r.Violation == "" {
		r.Violation = fmt.Sprintf(format, args...)
	}
	r.OK = false
}

// Print writes a drill's report to out as JSON: on one line if asJSON is set, otherwise indented for people.
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
