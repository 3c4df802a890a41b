// Package tokenbucket is a token bucket, in thousandths of tokens, that many threads
// fill and take from.
package tokenbucket

import "sync/atomic"

// One is a whole token.
const One = 1000

// Bucket starts empty; Filled is when it was last refilled by time, in microseconds.
type Bucket struct {
	balance    atomic.Int64
	RefilledAt atomic.Int64
}

// Balance is what is in it; below 0 it is owed.
func (b *Bucket) Balance() int64 { return b.balance.Load() }

// Add saves so much, up to a bound.
func (b *Bucket) Add(n, max int64) {
	for {
		was := b.balance.Load()
		next := min(max, was+n)
		if next <= was || b.balance.CompareAndSwap(was, next) {
			return
		}
	}
}

// Refill saves what came with time, at so much a second.
func (b *Bucket) Refill(now, perSecond, most int64) {
	for {
		at := b.RefilledAt.Load()
		gain := int64(float64(now-at) * float64(perSecond) / 1e6)
		if gain < 1 {
			return
		}
		if b.RefilledAt.CompareAndSwap(at, now) {
			b.Add(gain, most)
			return
		}
	}
}

// Take takes so much if at least enough is saved; what is lacking is owed.
func (b *Bucket) Take(n, enough, most int64) bool {
	for {
		was := b.balance.Load()
		have := min(was, most)
		if have < enough {
			return false
		}
		if b.balance.CompareAndSwap(was, have-n) {
			return true
		}
	}
}
