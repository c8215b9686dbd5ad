// Package generational provides a map that forgets its oldest entries without tracking the age of each
// entry.
package generational

// Map is a map in two generations. Put writes to the younger one; Rotate drops the older one and makes
// the younger one the older. An entry is forgotten if it is not put again between two rotations. The zero
// value is not ready for use; see New. A Map is not safe for concurrent use.
type Map[K comparable, V any] struct {
	younger, older map[K]V // entries put since the last rotation, and between the two before it
}

// New returns an empty map.
func New[K comparable, V any]() Map[K, V] {
	return Map[K, V]{younger: map[K]V{}, older: map[K]V{}}
}

// Get returns the value of a key, the newer one if both generations have one.
func (m *Map[K, V]) Get(key K) (value V, ok bool) {
	if value, ok = m.younger[key]; ok {
		return value, true
	}
	value, ok = m.older[key]
	return value, ok
}

// Put sets the value of a key in the younger generation.
func (m *Map[K, V]) Put(key K, value V) { m.younger[key] = value }

// YoungerLen returns the number of entries in the younger generation.
func (m *Map[K, V]) YoungerLen() int { return len(m.younger) }

// Rotate drops the older generation and makes the younger one the older.
func (m *Map[K, V]) Rotate() { m.older, m.younger = m.younger, map[K]V{} }

// Update replaces each value by the result of convert, in no particular order.
func (m *Map[K, V]) Update(convert func(V) V) {
	for _, generation := range []map[K]V{m.younger, m.older} {
		for key, value := range generation {
			generation[key] = convert(value)
		}
	}
}
