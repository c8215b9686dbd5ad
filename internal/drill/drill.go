// Package drill plays failures that the parts of the product are built for, with checkers of what must hold
// whatever happens. Operators rehearse with them, and CI plays the short ones.
package drill

import (
	"encoding/json"
	"fmt"
	"io"
)

// Report is how a drill ended; figures of its own follow it in the same object.
type Report struct {
	Drill   string  `json:"drill"`
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	OK      bool    `json:"ok"`
	Broken  string  `json:"broken,omitempty"` // the first promise that broke, and how to see it again
}

// Break is the first break of a promise.
func (r *Report) Break(format string, args ...any) {
	if r.Broken == "" {
		r.Broken = fmt.Sprintf(format, args...)
	}
	r.OK = false
}

// Print writes a report as the last line of a drill, or as lines for people.
func Print(w io.Writer, asJSON bool, report any) error {
	var raw []byte
	var err error
	if asJSON {
		raw, err = json.Marshal(report)
	} else {
		raw, err = json.MarshalIndent(report, "", "  ")
	}
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	_, err = fmt.Fprintf(w, "%s\n", raw)
	return err
}
