package dispatcher

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Names of the fields of a load report.
const (
	positionField = "x0" // Unix time in seconds up to which the backend has applied the log
	primaryField  = "x1" // 1 if the backend is a primary, else 0
)

// loadReport holds the values of a load report, which a backend sends in reply to a health check or along with an answer.
type loadReport struct {
	unixSeconds float64 // the position as the backend sent it, a Unix time; 0 if the report has none
	position    float64 // log position, or noPosition if the report has none that is valid
	primary     bool    // the backend reports that it is a primary
}

// reportField is a field of a load report. The text of a report has the form name=number,name=number.
type reportField struct {
	name  string
	value float64
}

var (
	errNotFinite = errors.New("is not a finite number")
	errNotAFlag  = errors.New("is neither 0 nor 1")
)

// fieldError reports a field of a load report that could not be parsed.
type fieldError struct {
	field string // text of the field
	cause error
}

// Error implements error.
func (e *fieldError) Error() string {
	return fmt.Sprintf("load report: field %q: %v", e.field, e.cause)
}

// Unwrap returns the cause.
func (e *fieldError) Unwrap() error { return e.cause }

// parseReportField parses one field. Its errors are of type *fieldError.
func parseReportField(text string) (reportField, error) {
	name, number, _ := strings.Cut(strings.TrimSpace(text), "=")
	value, err := strconv.ParseFloat(number, 64)
	switch {
	case err != nil:
		return reportField{}, &fieldError{field: text, cause: err}
	case math.IsNaN(value) || math.IsInf(value, 0):
		return reportField{}, &fieldError{field: text, cause: errNotFinite}
	case name == primaryField && value != 0 && value != 1:
		return reportField{}, &fieldError{field: text, cause: errNotAFlag}
	}
	return reportField{name: name, value: value}, nil
}

// readReport parses the text of a load report. It returns an empty report if the text is empty or if any field cannot be
// parsed. It counts a field that cannot be parsed or a position that cannot be true as a rejected position.
func (d *Dispatcher) readReport(text string) loadReport {
	report := loadReport{position: noPosition}
	if text == "" {
		return report
	}
	for _, part := range strings.Split(text, ",") {
		field, err := parseReportField(part)
		if err != nil {
			d.counters.PositionsRejected++
			return loadReport{position: noPosition}
		}
		switch field.name {
		case positionField:
			report.unixSeconds = field.value
			report.position = d.readPosition(field.value)
		case primaryField:
			report.primary = field.value == 1
		}
	}
	return report
}

// readPosition converts a backend's Unix time in seconds to a log position. If the clock rejects the time, readPosition
// counts a rejected position and returns noPosition.
func (d *Dispatcher) readPosition(unixSeconds float64) float64 {
	position, ok := d.clock.position(unixSeconds)
	if !ok {
		d.counters.PositionsRejected++
	}
	return position
}
