// A bucket of thousandths of tokens that many threads fill and take from.
package inquiry

import "sync/atomic"

// oneToken is a whole token.
const oneToken = 1000

type bucket struct {
	saved  atomic.Int64
	filled atomic.Int64
}

// add saves so much, up to a bound.
func (b *bucket) add(n, most int64) {
	for {
		was := b.saved.Load()
		next := min(most, was+n)
		if next <= was || b.saved.CompareAndSwap(was, next) {
			return
		}
	}
}

// refill saves what came with time, at so much a second.
func (b *bucket) refill(now, each, most int64) {
	for {
		at := b.filled.Load()
		gain := int64(float64(now-at) * float64(each) / 1e6)
		if gain < 1 {
			return
		}
		if b.filled.CompareAndSwap(at, now) {
			b.add(gain, most)
			return
		}
	}
}

// take takes so much if at least enough is saved; what is lacking is owed.
func (b *bucket) take(n, enough, most int64) bool {
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
