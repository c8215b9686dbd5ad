// Package mwc implements Marsaglia's multiply-with-carry generator. It has eight bytes of state and
// returns the same numbers on every platform.
package mwc

// Source is a generator of pseudo-random numbers. It is not fit for secrets and not safe for concurrent
// use.
type Source struct{ high, low uint32 }

// New returns a generator for a seed.
func New(seed uint64) Source { return Source{high: uint32(seed) | 1, low: uint32(seed>>32) | 1} }

// IntN returns a number in [0, n).
func (s *Source) IntN(n int) int {
	s.high = 36969*(s.high&0xffff) + s.high>>16
	s.low = 18000*(s.low&0xffff) + s.low>>16
	return int((s.high<<16 + s.low) % uint32(n))
}

// Float64 returns a number in [0, 1), a multiple of 2^-16.
func (s *Source) Float64() float64 { return float64(s.IntN(1<<16)) / (1 << 16) }
