package dispatcher

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Fields of a load report.
const (
	positionField = "x0" // Unix time in seconds up to which the backend has applied the log
	primaryField  = "x1" // 1 if the backend is a primary, else 0
)

// loadReport is what a backend reports of itself, by a health check or beside an answer.
type loadReport struct {
	unixSeconds float64 // the position as it was told; 0: none was
	position    float64 // log position, or noPosition
	primary     bool
}

// reportField is one field of a load report's text, which has the form name=number,name=number.
type reportField struct {
	name  string
	value float64
}

var (
	errNotFinite = errors.New("is not a finite number")
	errNotAFlag  = errors.New("is neither 0 nor 1")
)

// fieldError is a field of a load report that could not be read.
type fieldError struct {
	field string // its text
	cause error
}

// Error implements error.
func (e *fieldError) Error() string {
	return fmt.Sprintf("load report: field %q: %v", e.field, e.cause)
}

// Unwrap returns the cause.
func (e *fieldError) Unwrap() error { return e.cause }

// parseReportField reads one field. Its errors are of type *fieldError.
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

// readReport reads a load report's text, and counts what cannot be true. A report with a field that cannot be read
// reports nothing. An empty text is no report.
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

// readPosition converts a backend's Unix time in seconds to a log position, or counts it and returns noPosition.
func (d *Dispatcher) readPosition(unixSeconds float64) float64 {
	position, ok := d.clock.position(unixSeconds)
	if !ok {
		d.counters.PositionsRejected++
	}
	return position
}
