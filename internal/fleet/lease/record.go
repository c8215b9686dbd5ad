package lease

// Version orders records, first by the epoch under which they were written, then by number.
type Version struct {
	Epoch  uint64 `cbor:"Epoch"`
	Number uint64 `cbor:"Number"` // grows within an epoch
}

// Before reports whether v is older than other.
func (v Version) Before(other Version) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch < other.Epoch
	}
	return v.Number < other.Number
}

// Record is what a lease holder sends to the agents to store. Agents don't interpret the body; holders do.
type Record struct {
	Version Version `cbor:"Stamp"`
	Body    []byte  `cbor:"Body"`
}
