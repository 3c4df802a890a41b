package dispatch

import (
	"sync/atomic"

	"wallport/runtime/clock"
	"wallport/runtime/random"
)

const (
	// slowStartFraction of the pool's ramp_per_s is used, so that nodes that see the fleet too small stay within it.
	slowStartFraction = 0.6
	// tokenLifetime is how long an unused token is good for.
	tokenLifetime = 150 * clock.Millisecond
)

// slowStart limits what a backend that is warming up gets from this node, such that all nodes together keep
// within a rate. This node's part comes as one whole token at a time, at a moment of its own, and lapses soon:
// saved tokens of many nodes would meet in one second. It may be used from many goroutines.
type slowStart struct {
	// nextToken is when the next token comes; 0 before the first use.
	nextToken atomic.Int64
}

// tokenPeriod is the time between two tokens of one node.
func tokenPeriod(perSecond float64, nodes int) clock.Micros {
	return clock.Micros(float64(clock.Second) * float64(max(1, nodes)) / (perSecond * slowStartFraction))
}

// available reports whether a token is there. It moves on from tokens that have lapsed.
func (s *slowStart) available(now clock.Micros, perSecond float64, nodes int, rnd *random.Source) bool {
	period := tokenPeriod(perSecond, nodes)
	at := s.nextToken.Load()
	if at == 0 || now > at+tokenLifetime {
		// The rhythm is kept, or begins at a moment drawn at random.
		next := now + clock.Micros(rnd.Float64()*float64(period))
		if at != 0 {
			next = at + (now-at+period-1)/period*period
			if next-period+tokenLifetime >= now && next-period > at {
				next -= period
			}
		}
		s.nextToken.CompareAndSwap(at, next)
		at = s.nextToken.Load()
	}
	return now >= at
}

// take takes the token and reports whether it was there.
func (s *slowStart) take(now clock.Micros, perSecond float64, nodes int) bool {
	period := tokenPeriod(perSecond, nodes)
	at := s.nextToken.Load()
	return now >= at && s.nextToken.CompareAndSwap(at, max(at+period, now-tokenLifetime+period))
}
