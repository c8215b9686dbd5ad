package store

import (
	"bytes"

	"go.etcd.io/bbolt"
)

// savedRecord is the earlier content of a record, including its checksum. content is nil if the record did not exist.
type savedRecord struct {
	bucket  []byte
	key     string
	content []byte
}

// undoLog holds the earlier content of the records that a change writes. It does not hold old revisions and rollouts that
// the change deletes because of MaxHistory.
type undoLog []savedRecord

// recordsBefore returns the present content of the records that a change is about to write.
func recordsBefore(tx *bbolt.Tx, c Change) undoLog {
	var log undoLog
	if c.Lease != nil {
		log.add(tx, metaBucket, leaseKey)
	}
	if c.OperatorRequest != nil {
		log.add(tx, metaBucket, operatorRequestKey)
	}
	for name := range c.Instances {
		log.add(tx, instancesBucket, name)
	}
	if c.Rollout != nil {
		log.add(tx, rolloutsBucket, c.Rollout.ID)
	}
	if c.Revision != nil {
		log.add(tx, revisionsBucket, c.Revision.Digest)
	}
	return log
}

// add appends the present content of a record.
func (l *undoLog) add(tx *bbolt.Tx, bucket []byte, key string) {
	content := bytes.Clone(tx.Bucket(bucket).Get([]byte(key)))
	*l = append(*l, savedRecord{bucket: bucket, key: key, content: content})
}

// apply restores the records: it writes back their earlier content and deletes those that did not exist.
func (l undoLog) apply(tx *bbolt.Tx) error {
	for _, record := range l {
		bucket := tx.Bucket(record.bucket)
		if record.content == nil {
			if err := bucket.Delete([]byte(record.key)); err != nil {
				return err
			}
			continue
		}
		if err := bucket.Put([]byte(record.key), record.content); err != nil {
			return err
		}
	}
	return nil
}
