// Package tokenbucket is a token bucket, in thousandths of tokens, that many threads
// fill and take from.
package tokenbucket

import "sync/atomic"

// One is a whole token.
const One = 1000

// Bucket starts empty; Filled is when it was last refilled by time, in microseconds.
type Bucket struct {
	saved  atomic.Int64
	Filled atomic.Int64
}

// Saved is what is in it; below 0 it is owed.
func (b *Bucket) Saved() int64 { return b.saved.Load() }

// Add saves so much, up to a bound.
func (b *Bucket) Add(n, most int64) {
	for {
		was := b.saved.Load()
		next := min(most, was+n)
		if next <= was || b.saved.CompareAndSwap(was, next) {
			return
		}
	}
}

// Refill saves what came with time, at so much a second.
func (b *Bucket) Refill(now, each, most int64) {
	for {
		at := b.Filled.Load()
		gain := int64(float64(now-at) * float64(each) / 1e6)
		if gain < 1 {
			return
		}
		if b.Filled.CompareAndSwap(at, now) {
			b.Add(gain, most)
			return
		}
	}
}

// Take takes so much if at least enough is saved; what is lacking is owed.
func (b *Bucket) Take(n, enough, most int64) bool {
	for {
		was := b.saved.Load()
		have := min(was, most)
		if have < enough {
			return false
		}
		if b.saved.CompareAndSwap(was, have-n) {
			return true
		}
	}
}
