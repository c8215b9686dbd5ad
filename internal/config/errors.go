package config

import "errors"

// Error reports an invalid value in a router's configuration. Its text names the invalid key and is a single line. Callers
// detect it with errors.As; errors.Is finds the cause, such as fs.ErrNotExist.
type Error struct {
	File    string // path of the document; empty if the document was not read from a file
	Section string // section of the document that contains Key; empty for the top level
	Key     string // invalid key or environment variable; empty if a section cannot be parsed
	Reason  string // description of the fault, which follows the key in the text; empty if Err describes it
	Err     error  // the cause, or nil
}

// Error implements error. The text consists of the section, the key, the reason and the cause. It leaves the file out, since
// operators know it from GW_CONFIG.
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

// inFile sets the document's path in a configuration error and returns the error.
func inFile(path string, err error) error {
	var fault *Error
	if errors.As(err, &fault) {
		fault.File = path
	}
	return err
}
