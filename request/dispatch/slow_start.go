package dispatch

import (
	"sync/atomic"

	"wallport/runtime/clock"
	"wallport/runtime/random"
)

const (
	// slowStartFraction is the fraction of the pool's ramp_per_s that is used. The margin keeps the nodes within the
	// rate if they underestimate the size of the fleet.
	slowStartFraction = 0.6
	// tokenLifetime is how long an unused token is valid.
	tokenLifetime = 150 * clock.Millisecond
	// maxTokenPeriod bounds the time between two tokens, so that the time of a token can always be represented.
	maxTokenPeriod = 365 * 24 * 60 * clock.Minute
)

// slowStart limits the requests that this node sends to a backend in slow start, so that all nodes together stay
// within a rate. Each node receives one whole token at a time, with a random phase, and a token expires after
// tokenLifetime: if tokens could be saved, many nodes might spend theirs within the same second. It is safe for
// concurrent use.
type slowStart struct {
	// nextToken is when the next token becomes available; 0 before the first use.
	nextToken atomic.Int64
}

// tokenPeriod returns the time between two tokens of one node. It returns 0, which means that there is no limit, if the
// rate allows more than one token in each microsecond.
func tokenPeriod(perSecond float64, nodes int) clock.Micros {
	period := float64(clock.Second) * float64(max(1, nodes)) / (perSecond * slowStartFraction)
	// The bound comes before the conversion, whose result for a number out of range depends on the machine.
	return clock.Micros(min(period, float64(maxTokenPeriod)))
}

// available reports whether a token is available. It skips expired tokens.
func (s *slowStart) available(now clock.Micros, perSecond float64, nodes int, rnd *random.Source) bool {
	period := tokenPeriod(perSecond, nodes)
	if period == 0 {
		return true
	}
	at := s.nextToken.Load()
	if at == 0 || now > at+tokenLifetime {
		// Keep the phase of the token period. At first use, draw it at random.
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

// take takes the token and reports whether one was available.
func (s *slowStart) take(now clock.Micros, perSecond float64, nodes int) bool {
	period := tokenPeriod(perSecond, nodes)
	if period == 0 {
		return true
	}
	for {
		at := s.nextToken.Load()
		if now < at {
			return false
		}
		if s.nextToken.CompareAndSwap(at, max(at+period, now-tokenLifetime+period)) {
			return true
		}
	}
}
