package lease

// Version orders records: by the epoch under which they were written, then by number.
type Version struct {
	Epoch  uint64 `cbor:"Epoch"`
	Number uint64 `cbor:"Number"` // grows within an epoch
}

// Before tells whether other is newer.
func (v Version) Before(other Version) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch < other.Epoch
	}
	return v.Number < other.Number
}

// Record is what a lease holder has the agents store. Only holders interpret the body.
type Record struct {
	Version Version `cbor:"Stamp"`
	Body    []byte  `cbor:"Body"`
}
