package claim

// Version orders records: by epoch, then by number.
type Version struct {
	Epoch  uint64 `cbor:"Epoch"`
	Number uint64 `cbor:"Number"`
}

// Before tells whether a record with another stamp is newer.
func (s Version) Before(o Version) bool {
	return s.Epoch < o.Epoch || s.Epoch == o.Epoch && s.Number < o.Number
}

// Record is what a holder has the agents keep.
type Record struct {
	Version Version `cbor:"Stamp"`
	Body    []byte  `cbor:"Body"`
}
