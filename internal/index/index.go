// Package index gives names small indices, as the module wants them, and uses those again that were let go.
package index

// Table is names and their indices. It holds as many rows as names were known at once.
type Table[K comparable] struct {
	known map[K]int
	names []K
	free  []int
}

// New returns a table without names.
func New[K comparable]() *Table[K] { return &Table[K]{known: map[K]int{}} }

// Len is the number of names that are known.
func (t *Table[K]) Len() int { return len(t.known) }

// Find is a name's index, and false if it is not known.
func (t *Table[K]) Find(name K) (int, bool) {
	i, ok := t.known[name]
	return i, ok
}

// At is a name's index, given to it when it is first met.
func (t *Table[K]) At(name K) int {
	if i, ok := t.known[name]; ok {
		return i
	}
	i := len(t.names)
	if last := len(t.free) - 1; last >= 0 {
		i, t.free = t.free[last], t.free[:last]
		t.names[i] = name
	} else {
		t.names = append(t.names, name)
	}
	t.known[name] = i
	return i
}

// Name is the name that has an index.
func (t *Table[K]) Name(i int) K { return t.names[i] }

// Free lets a name go: its index may be given to another. All that is kept under it must be emptied first.
func (t *Table[K]) Free(i int) {
	var none K
	delete(t.known, t.names[i])
	t.names[i] = none
	t.free = append(t.free, i)
}
