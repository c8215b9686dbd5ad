package simproto

import (
	"encoding/binary"
	"math"
)

// endpointSize is the length of one row of an endpoint list, in bytes.
const endpointSize = 28

// cursor reads little-endian fields one after another. Once a field overruns the data, overrun is set, and that field
// and all later ones read as zero.
type cursor struct {
	data    []byte
	offset  int
	overrun bool
}

func (c *cursor) remaining() int { return len(c.data) - c.offset }

// take returns the next bytes as a slice of the data, or nil if fewer are left.
func (c *cursor) take(size int) []byte {
	if c.overrun || size < 0 || size > c.remaining() {
		c.overrun = true
		return nil
	}
	field := c.data[c.offset : c.offset+size]
	c.offset += size
	return field
}

func (c *cursor) uint8() byte {
	if field := c.take(1); field != nil {
		return field[0]
	}
	return 0
}

func (c *cursor) uint16() int {
	if field := c.take(2); field != nil {
		return int(binary.LittleEndian.Uint16(field))
	}
	return 0
}

func (c *cursor) uint32() uint32 {
	if field := c.take(4); field != nil {
		return binary.LittleEndian.Uint32(field)
	}
	return 0
}

func (c *cursor) uint64() uint64 {
	if field := c.take(8); field != nil {
		return binary.LittleEndian.Uint64(field)
	}
	return 0
}

func (c *cursor) float32() float32 { return math.Float32frombits(c.uint32()) }

func (c *cursor) address() (address Address) {
	copy(address[:], c.take(len(address)))
	return address
}

// report reads the values of a load report. It returns nil if the report is empty.
func (c *cursor) report() []float32 {
	const valueSize = 4
	count := int(c.uint8())
	if c.overrun || count == 0 {
		return nil
	}
	if count*valueSize > c.remaining() {
		c.overrun = true
		return nil
	}
	values := make([]float32, count)
	for i := range values {
		values[i] = c.float32()
	}
	return values
}

// endpoints reads the rows of an endpoint list. The count is checked first, so that a wrong count does not allocate
// memory for rows that are not there.
func (c *cursor) endpoints() []Endpoint {
	count := int(c.uint32())
	if c.overrun || count > c.remaining()/endpointSize {
		c.overrun = true
		return nil
	}
	endpoints := make([]Endpoint, count)
	for i := range endpoints {
		endpoints[i] = c.endpoint()
	}
	return endpoints
}

func (c *cursor) endpoint() Endpoint {
	endpoint := Endpoint{Address: c.address(), Zone: c.uint16()}
	c.uint8() // the kind of machine, which is not used
	endpoint.Shard = c.uint16()
	endpoint.State = int(c.uint8())
	endpoint.Weight = float64(c.float32())
	endpoint.StartedAt = c.uint64()
	endpoint.Primary = c.float32() == 1
	return endpoint
}
