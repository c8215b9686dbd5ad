package store

import (
	"encoding/binary"
	"fmt"

	"github.com/zeebo/xxh3"
	"go.etcd.io/bbolt"

	"stoatdale.example/stoatdale/internal/fleet/protocol"
)

// checksumBytes is the length of the checksum that precedes the content of each record: its xxh3 hash, big-endian.
const checksumBytes = 8

// putRecord encodes a value and writes it with its checksum.
func putRecord(tx *bbolt.Tx, bucket []byte, key string, value any) error {
	content := protocol.Encode(value)
	record := make([]byte, 0, checksumBytes+len(content))
	record = binary.BigEndian.AppendUint64(record, xxh3.Hash(content))
	record = append(record, content...)
	return tx.Bucket(bucket).Put([]byte(key), record)
}

// getRecord decodes a record into value. found reports whether the record exists.
func getRecord(tx *bbolt.Tx, bucket []byte, key string, value any) (found bool, err error) {
	record := tx.Bucket(bucket).Get([]byte(key))
	if record == nil {
		return false, nil
	}
	return true, decodeRecord(bucket, key, record, value)
}

// decodeRecord checks a record's checksum and decodes its content into value.
func decodeRecord(bucket []byte, key string, record []byte, value any) error {
	if len(record) < checksumBytes || binary.BigEndian.Uint64(record) != xxh3.Hash(record[checksumBytes:]) {
		return &CorruptRecordError{Bucket: string(bucket), Key: key}
	}
	return protocol.Decode(fmt.Sprintf("record %s/%s", bucket, key), record[checksumBytes:], value)
}

// forEachRecord calls visit with each record of a bucket, in the order of their keys.
func forEachRecord[T any](tx *bbolt.Tx, bucket []byte, visit func(key string, value T)) error {
	return tx.Bucket(bucket).ForEach(func(key, record []byte) error {
		var value T
		if err := decodeRecord(bucket, string(key), record, &value); err != nil {
			return err
		}
		visit(string(key), value)
		return nil
	})
}
