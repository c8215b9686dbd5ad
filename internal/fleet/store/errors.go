package store

import (
	"errors"
	"fmt"
)

// ErrInUse is the error of opening a store that another process holds open.
var ErrInUse = errors.New("is open in another agent")

// FormatError is the error of opening a store whose format version is not FormatVersion.
type FormatError struct {
	Found int // format version of the store
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("its records have format %d, but this program reads only format %d", e.Found, FormatVersion)
}

// CorruptRecordError is the error of reading a record whose checksum does not match its content.
type CorruptRecordError struct {
	Bucket, Key string
}

func (e *CorruptRecordError) Error() string {
	return fmt.Sprintf("record %s/%s is corrupt: its checksum does not match its content", e.Bucket, e.Key)
}
