package store

import (
	"errors"
	"fmt"
)

// ErrInUse is the error of opening a store that another process has open.
var ErrInUse = errors.New("is open in another agent")

// FormatError is the error of opening a store whose records have another format than FormatVersion.
type FormatError struct {
	Found int // version of the store's format
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("its records are of format %d, and this program knows format %d", e.Found, FormatVersion)
}

// CorruptRecordError is the error of reading a record whose checksum does not match its content.
type CorruptRecordError struct {
	Bucket, Key string
}

func (e *CorruptRecordError) Error() string {
	return fmt.Sprintf("record %s/%s is corrupt: its checksum does not match its content", e.Bucket, e.Key)
}
