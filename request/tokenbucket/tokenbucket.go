// Package tokenbucket is a token bucket without locks, for any number of goroutines.
//
// Amounts are in thousandths of tokens. A bucket is filled by what its user adds ([Bucket.Add]) and
// by time ([Bucket.Refill]), both up to a capacity that each call gives, since it may change with
// the fleet. It may owe tokens: [Bucket.Take] can take more than there is.
package tokenbucket

import (
	"sync/atomic"

	"wallport/runtime/clock"
)

// One is a whole token.
const One = 1000

// Bucket starts empty.
type Bucket struct {
	balance atomic.Int64
	// RefilledAt is when the bucket was last refilled by time, a [clock.Micros]. Its user sets
	// when the first refill counts from.
	RefilledAt atomic.Int64
}

// Balance returns what the bucket holds; below 0 it owes.
func (b *Bucket) Balance() int64 { return b.balance.Load() }

// Add adds n, up to the capacity.
func (b *Bucket) Add(n, capacity int64) {
	for {
		old := b.balance.Load()
		sum := min(capacity, old+n)
		if sum <= old || b.balance.CompareAndSwap(old, sum) {
			return
		}
	}
}

// Refill adds what the time since the last refill is worth, up to the capacity. A time worth less
// than a thousandth is left for a later refill.
func (b *Bucket) Refill(now clock.Micros, perSecond, capacity int64) {
	for {
		last := b.RefilledAt.Load()
		gain := int64(float64(now-last) * float64(perSecond) / 1e6)
		if gain < 1 {
			return
		}
		if b.RefilledAt.CompareAndSwap(last, now) {
			b.Add(gain, capacity)
			return
		}
	}
}

// Take takes n if the bucket holds at least required, and reports whether it did. What it holds
// beyond the capacity doesn't count and is lost; what is lacking to n is owed.
func (b *Bucket) Take(n, required, capacity int64) bool {
	for {
		old := b.balance.Load()
		held := min(old, capacity)
		if held < required {
			return false
		}
		if b.balance.CompareAndSwap(old, held-n) {
			return true
		}
	}
}
