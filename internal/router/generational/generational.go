// Package generational has a map that forgets its oldest entries by halves, without a list of their ages.
package generational

import "maps"

// Map is a map in two generations. Put writes to the younger one; Turn drops the older one as a whole and makes
// the younger one the older. An entry is forgotten if it is not put again between two turns. Its zero value is
// not ready for use; see New. It is not safe for concurrent use.
type Map[K comparable, V any] struct {
	younger, older map[K]V
}

// New returns an empty map.
func New[K comparable, V any]() Map[K, V] {
	return Map[K, V]{younger: map[K]V{}, older: map[K]V{}}
}

// Get returns the entry of a key, the newer one if both generations have one.
func (m *Map[K, V]) Get(key K) (value V, ok bool) {
	if value, ok = m.younger[key]; ok {
		return value, true
	}
	value, ok = m.older[key]
	return value, ok
}

// Put sets the entry of a key in the younger generation.
func (m *Map[K, V]) Put(key K, value V) { m.younger[key] = value }

// YoungerLen is the number of entries in the younger generation.
func (m *Map[K, V]) YoungerLen() int { return len(m.younger) }

// Rotate forgets the older generation; the younger one takes its place.
func (m *Map[K, V]) Rotate() { m.older, m.younger = m.younger, map[K]V{} }

// Update makes each entry what convert makes of it. Entries come in no order.
func (m *Map[K, V]) Update(convert func(V) V) {
	for _, generation := range []map[K]V{m.younger, m.older} {
		for key, value := range generation {
			generation[key] = convert(value)
		}
	}
}

// CloneFunc returns a copy in which each entry is what convert makes of it. Entries come in no order.
func (m *Map[K, V]) CloneFunc(convert func(V) V) Map[K, V] {
	clone := Map[K, V]{younger: maps.Clone(m.younger), older: maps.Clone(m.older)}
	clone.Update(convert)
	return clone
}
