// The ramp of cold backends: all nodes together may send one only so many
// requests a second. A node's part comes one whole token at a time at a moment
// of its own, and lapses soon: nothing is saved, so that the nodes' parts never
// meet in one second by more than chance.

package dispatch

import (
	"sync/atomic"

	"wallport/runtime/random"
)

// rampShare of the bound is handed out; a token lapses after rampLapse.
const (
	rampShare = 0.6
	rampLapse = 150_000
)

type ramp struct{ next atomic.Int64 }

// may reports whether a token is there.
func (r *ramp) may(now int64, perS float64, nodes int, rnd *random.Source) bool {
	period := int64(1e6 * float64(max(1, nodes)) / (perS * rampShare))
	at := r.next.Load()
	if at == 0 || now > at+rampLapse {
		// The next moment keeps the rhythm, or begins it at a moment drawn by chance.
		next := now + int64(rnd.Float()*float64(period))
		if at != 0 {
			next = at + (now-at+period-1)/period*period
			if next-period+rampLapse >= now && next-period > at {
				next -= period
			}
		}
		r.next.CompareAndSwap(at, next)
		at = r.next.Load()
	}
	return now >= at
}

// take takes the token.
func (r *ramp) take(now int64, perS float64, nodes int) bool {
	period := int64(1e6 * float64(max(1, nodes)) / (perS * rampShare))
	at := r.next.Load()
	return now >= at && r.next.CompareAndSwap(at, max(at+period, now-rampLapse+period))
}
