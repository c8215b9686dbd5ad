// Package idtable interns keys: it maps names and addresses to the small, dense ids by which package router knows
// endpoints, shards and zones. Ids that were released are used again, so that tables indexed by them stay small.
package idtable

// Table maps keys to ids from 0 up. It has as many rows as keys were held at once. It is not safe for concurrent use.
type Table[K comparable] struct {
	ids      map[K]int
	keys     []K // by id; the zero value where the id is released
	released []int
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

// Intern returns the key's id and gives it one if it has none: the id that was released last, or else the next new one.
func (t *Table[K]) Intern(key K) int {
	if id, ok := t.ids[key]; ok {
		return id
	}
	id := t.unusedID()
	t.keys[id] = key
	t.ids[key] = id
	return id
}

// unusedID returns a released id, or a new one with a row of its own.
func (t *Table[K]) unusedID() int {
	last := len(t.released) - 1
	if last < 0 {
		var none K
		t.keys = append(t.keys, none)
		return len(t.keys) - 1
	}
	id := t.released[last]
	t.released = t.released[:last]
	return id
}

// Key returns the key that has the id.
func (t *Table[K]) Key(id int) K { return t.keys[id] }

// Release takes the id from its key, so that another key may get it. The id must be held, and whatever its users
// keep under it must be cleared first.
func (t *Table[K]) Release(id int) {
	var none K
	delete(t.ids, t.keys[id])
	t.keys[id] = none
	t.released = append(t.released, id)
}
