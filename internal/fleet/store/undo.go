package store

import (
	"bytes"

	"go.etcd.io/bbolt"
)

// savedRecord is a record as it stood in the store; nil content: there was none.
type savedRecord struct {
	bucket  []byte
	key     string
	content []byte
}

// undoLog is the records that a change overwrites. History that a change drops because of its age is not among them.
type undoLog []savedRecord

// recordsBefore returns the records that a change is about to overwrite.
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

// add notes a record as it stands.
func (l *undoLog) add(tx *bbolt.Tx, bucket []byte, key string) {
	content := bytes.Clone(tx.Bucket(bucket).Get([]byte(key)))
	*l = append(*l, savedRecord{bucket: bucket, key: key, content: content})
}

// apply writes the records back.
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
