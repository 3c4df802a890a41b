// The ramp of cold backends: all nodes together may send one only so many
// requests a second. A node's part comes one whole token at a time at a moment
// of its own, and lapses soon: nothing is saved, so that the nodes' parts never
// meet in one second by more than chance.

package dispatch

import (
	"sync/atomic"

	"wallport/runtime/random"
)

// slowStartFraction of the bound is handed out; a token lapses after tokenLifetime.
const (
	slowStartFraction = 0.6
	tokenLifetime     = 150_000
)

type slowStart struct{ nextToken atomic.Int64 }

// available reports whether a token is there.
func (r *slowStart) available(now int64, perS float64, nodes int, rnd *random.Source) bool {
	period := int64(1e6 * float64(max(1, nodes)) / (perS * slowStartFraction))
	at := r.nextToken.Load()
	if at == 0 || now > at+tokenLifetime {
		// The next moment keeps the rhythm, or begins it at a moment drawn by chance.
		next := now + int64(rnd.Float64()*float64(period))
		if at != 0 {
			next = at + (now-at+period-1)/period*period
			if next-period+tokenLifetime >= now && next-period > at {
				next -= period
			}
		}
		r.nextToken.CompareAndSwap(at, next)
		at = r.nextToken.Load()
	}
	return now >= at
}

// take takes the token.
func (r *slowStart) take(now int64, perS float64, nodes int) bool {
	period := int64(1e6 * float64(max(1, nodes)) / (perS * slowStartFraction))
	at := r.nextToken.Load()
	return now >= at && r.nextToken.CompareAndSwap(at, max(at+period, now-tokenLifetime+period))
}
