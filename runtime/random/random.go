// Package random provides a small source of pseudo-random numbers for use by one goroutine: SplitMix64 (Steele,
// Lea and Flood, "Fast splittable pseudorandom number generators", 2014). It allocates nothing, and equal
// seeds produce equal numbers. It is not suitable for secrets.
package random

// Source is the state of a generator. Any value is a valid seed.
type Source uint64

// Uint64 returns the next number.
func (s *Source) Uint64() uint64 {
	*s += 0x9e3779b97f4a7c15
	x := uint64(*s)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// IntN returns a number from 0 to n-1. It panics if n is 0; n must not be negative.
func (s *Source) IntN(n int) int { return int(s.Uint64() % uint64(n)) }

// Float64 returns a number in [0, 1).
func (s *Source) Float64() float64 { return float64(s.Uint64()>>11) / (1 << 53) }
