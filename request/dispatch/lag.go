package dispatch

import (
	"sync/atomic"

	"wallport/runtime/clock"
)

// lagHalfLife is the time in which the estimate falls to half when nothing is recorded.
const lagHalfLife = 200 * clock.Millisecond

// The shares of the time to the latency target at which the lag begins to reject requests, and at which it
// rejects all.
const (
	lagLow  = 0.35
	lagHigh = 1.0
)

// lag estimates how much later than due this node steps its requests, as a decaying mean. It may be used from
// many goroutines; updates that meet may lose one another.
type lag struct{ mean, updatedAt atomic.Int64 }

// record takes how late a step was.
func (l *lag) record(now, late clock.Micros) {
	was := l.current(now)
	l.mean.Store(was + (max(0, late)-was)/8)
	l.updatedAt.Store(now)
}

func (l *lag) current(now clock.Micros) clock.Micros {
	return decay(l.mean.Load(), 0, max(0, now-l.updatedAt.Load()), lagHalfLife)
}

// lagPressure is the share of requests to reject, from 0 up, above 1 all, because this node itself is behind: one that has too little
// processor time rejects some at once, so that clients go to other nodes in time.
func (m *StateMachine) lagPressure(now clock.Micros) float64 {
	share := float64(m.dispatcher.lag.current(now)) / float64(max(1, m.targetAt-m.startedAt))
	return max(0, (share-lagLow)/(lagHigh-lagLow))
}

// decay returns value after age, when it approaches rest by half in each halfLife.
func decay(value, rest int64, age, halfLife clock.Micros) int64 {
	for ; age >= halfLife && value != rest; age -= halfLife {
		value = rest + (value-rest)/2
	}
	return value - (value-rest)*min(age, halfLife)/halfLife/2
}
