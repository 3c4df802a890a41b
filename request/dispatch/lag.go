package dispatch

import (
	"sync/atomic"

	"wallport/runtime/clock"
)

// lagHalfLife is the half-life of the lag estimate while nothing is recorded.
const lagHalfLife = 200 * clock.Millisecond

// Load shedding thresholds: the lag as a share of the time from a request's start to its latency target. Above
// lagLow some requests are rejected, above lagHigh all.
const (
	lagLow  = 0.35
	lagHigh = 1.0
)

// lag estimates how late this node steps the state machines of its requests, as a decaying mean. It is safe for
// concurrent use, but concurrent updates may overwrite each other.
type lag struct{ mean, updatedAt atomic.Int64 }

// record records how late a step was.
func (l *lag) record(now, late clock.Micros) {
	was := l.current(now)
	l.mean.Store(was + (max(0, late)-was)/8)
	l.updatedAt.Store(now)
}

func (l *lag) current(now clock.Micros) clock.Micros {
	return decay(l.mean.Load(), 0, max(0, now-l.updatedAt.Load()), lagHalfLife)
}

// lagPressure returns the share of requests to reject because this node itself lags: 0 means none, 1 or more means
// all. A node that gets too little processor time rejects some requests immediately, so that their clients have time
// to try other nodes.
func (m *StateMachine) lagPressure(now clock.Micros) float64 {
	share := float64(m.dispatcher.lag.current(now)) / float64(max(1, m.targetAt-m.startedAt))
	return max(0, (share-lagLow)/(lagHigh-lagLow))
}

// decay returns what value becomes after age if its distance from rest halves in each halfLife. Within a half-life it
// interpolates linearly.
func decay(value, rest int64, age, halfLife clock.Micros) int64 {
	for ; age >= halfLife && value != rest; age -= halfLife {
		value = rest + (value-rest)/2
	}
	return value - (value-rest)*min(age, halfLife)/halfLife/2
}
