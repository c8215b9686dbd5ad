package config

import "errors"

// Error is a fault in a router's configuration. Its text names the key at fault and never spans more than one line.
// Callers match it by errors.As; errors.Is finds what caused it, such as fs.ErrNotExist.
type Error struct {
	File    string // path of the document, empty where it was handed over in memory
	Section string // the part of the document that Key lies in, empty for its top level
	Key     string // the key or environment variable at fault, empty where a section cannot be read at all
	Reason  string // what is wrong, worded to follow the key; empty where Err says it
	Err     error  // the cause, or nil
}

// Error returns the section, the key and what is wrong. The file is left out: operators know it by GW_CONFIG.
func (e *Error) Error() string {
	text := e.Key
	if e.Section != "" && e.Key != "" {
		text = e.Section + ": " + e.Key
	} else if e.Section != "" {
		text = e.Section
	}
	if e.Reason != "" {
		text += " " + e.Reason
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// inFile notes the document's path in a configuration error.
func inFile(path string, err error) error {
	var fault *Error
	if errors.As(err, &fault) {
		fault.File = path
	}
	return err
}
