// Package idtable interns keys: it maps names and addresses to the small, dense ids with which package router identifies
// endpoints, shards and zones. Released ids are reused, so that tables indexed by id stay small.
package idtable

// Table maps keys to ids, counted from 0. The number of its rows is the highest number of keys that have had an id at the
// same time. It is not safe for concurrent use.
type Table[K comparable] struct {
	ids      map[K]int
	keys     []K   // by id; the zero value for a released id
	released []int // ids without a key, the one released last at the end
}

// New returns an empty table.
func New[K comparable]() *Table[K] { return &Table[K]{ids: map[K]int{}} }

// Len returns the number of keys that have an id.
func (t *Table[K]) Len() int { return len(t.ids) }

// Lookup returns the key's id, and false if it has none.
func (t *Table[K]) Lookup(key K) (int, bool) {
	id, ok := t.ids[key]
	return id, ok
}

// Intern returns the key's id. A key without one gets the id that was released last, or a new one if none is released.
func (t *Table[K]) Intern(key K) int {
	if id, ok := t.ids[key]; ok {
		return id
	}
	id := t.unusedID()
	t.keys[id] = key
	t.ids[key] = id
	return id
}

// unusedID returns the id that was released last, or a new id, for which it appends a row.
func (t *Table[K]) unusedID() int {
	last := len(t.released) - 1
	if last < 0 {
		var zero K
		t.keys = append(t.keys, zero)
		return len(t.keys) - 1
	}
	id := t.released[last]
	t.released = t.released[:last]
	return id
}

// Key returns the key of an id, or the zero value if the id is released.
func (t *Table[K]) Key(id int) K { return t.keys[id] }

// Release removes an id and its key from the table, so that another key can get the id. The id must belong to a key, and
// the caller must first clear all data that it keeps under the id.
func (t *Table[K]) Release(id int) {
	var zero K
	delete(t.ids, t.keys[id])
	t.keys[id] = zero
	t.released = append(t.released, id)
}
