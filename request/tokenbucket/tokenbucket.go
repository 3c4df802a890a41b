// Package tokenbucket implements a lock-free token bucket that is safe for concurrent use.
//
// Amounts are in thousandths of tokens. A bucket is filled explicitly ([Bucket.Add]) and over time
// ([Bucket.Refill]), in both cases up to a capacity that is an argument of each call, since it may change with
// the size of the fleet. The balance can be negative: [Bucket.Take] can take more than the bucket holds.
package tokenbucket

import (
	"sync/atomic"

	"wallport/runtime/clock"
)

// One is a whole token.
const One = 1000

// maxAmount bounds the amounts that Amount returns, so that the sum of two never overflows.
const maxAmount = 1 << 53

// Amount returns a number of tokens as an amount, in thousandths of tokens. A number out of range gives the nearest
// amount: the conversion alone would give a result that depends on the machine.
func Amount(tokens float64) int64 {
	return int64(min(max(-maxAmount, tokens*One), maxAmount))
}

// Bucket is a token bucket. Its zero value is empty.
type Bucket struct {
	balance atomic.Int64
	// RefilledAt is when the bucket was last refilled over time, as a [clock.Micros]. Its initial value, which
	// the caller sets, is the time from which the first refill counts.
	RefilledAt atomic.Int64
}

// Balance returns the amount that the bucket holds. It is below 0 if more was taken than the bucket held.
func (b *Bucket) Balance() int64 { return b.balance.Load() }

// Add adds n, up to the capacity. It never reduces the balance.
func (b *Bucket) Add(n, capacity int64) {
	for {
		old := b.balance.Load()
		sum := min(capacity, old+n)
		if sum <= old || b.balance.CompareAndSwap(old, sum) {
			return
		}
	}
}

// Refill adds perSecond for each second since the last refill, up to the capacity. If the amount is less than a
// thousandth of a token, Refill does nothing and the elapsed time counts towards the next refill.
func (b *Bucket) Refill(now clock.Micros, perSecond, capacity int64) {
	for {
		last := b.RefilledAt.Load()
		gain := int64(min(float64(now-last)*float64(perSecond)/1e6, maxAmount))
		if gain < 1 {
			return
		}
		if b.RefilledAt.CompareAndSwap(last, now) {
			b.Add(gain, capacity)
			return
		}
	}
}

// Take takes n if the bucket holds at least required, and reports whether it did. An amount beyond the
// capacity does not count, and a successful call discards it. If the bucket holds less than n (required may be
// smaller than n), its balance becomes negative.
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
