// Package random is a small random source for one thread, repeatable by its seed.
package random

// Source is the state of a source; any value is a good seed.
type Source uint64

// Uint64 is the next number.
func (r *Source) Uint64() uint64 {
	*r += 0x9e3779b97f4a7c15
	x := uint64(*r)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// IntN is a number from 0 to below most, which is above 0.
func (r *Source) IntN(n int) int { return int(r.Uint64() % uint64(n)) }

// Float64 is a number in [0, 1).
func (r *Source) Float64() float64 { return float64(r.Uint64()>>11) / (1 << 53) }
