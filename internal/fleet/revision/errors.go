package revision

import "fmt"

// SyntaxError reports that a revision is not a JSON object or contains a key twice.
type SyntaxError struct {
	File         string
	Line, Column int // both count from 1
	Err          error
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %v", e.File, e.Line, e.Column, e.Err)
}

func (e *SyntaxError) Unwrap() error { return e.Err }

// DuplicateKeyError reports that an object contains a key twice. A JSON decoder would silently use one of the two values.
type DuplicateKeyError struct {
	Key string // path of the key, with the keys of the objects and the indices of the lists that contain it
}

func (e *DuplicateKeyError) Error() string { return e.Key + " is given twice" }

// TooLongError reports that a revision is longer than MaxBytes.
type TooLongError struct {
	File  string
	Bytes int
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("%s: the revision has %d bytes, and may have %d at most", e.File, e.Bytes, MaxBytes)
}

// InstanceKeyError reports that a revision contains a key that is set for each instance.
type InstanceKeyError struct {
	File, Key string
}

func (e *InstanceKeyError) Error() string {
	return fmt.Sprintf("%s: the key %s belongs to an instance and is set for each; remove it from the revision", e.File, e.Key)
}
