// How far the node itself is behind: how much later than they should its charts
// are stepped. A node that has too little processor time for what it is sent
// refuses some of it at once, so that its clients go to other nodes in time.

package dispatch

import "sync/atomic"

type lag struct{ mean, updatedAt atomic.Int64 }

// Figures of the lag: what was noted fades by half in lagHalfLife; requests are refused from lagLow
// to lagHigh of the time up to their aim.
const (
	lagHalfLife = 200_000
	lagLow      = 0.35
	lagHigh     = 1.0
)

// record takes how late something was done, in microseconds.
func (l *lag) record(now, us int64) {
	was := l.current(now)
	l.mean.Store(was + (max(0, us)-was)/8)
	l.updatedAt.Store(now)
}

func (l *lag) current(now int64) int64 {
	return decay(l.mean.Load(), 0, max(0, now-l.updatedAt.Load()), lagHalfLife)
}

// lagPressure is the share of requests to refuse since this node is behind.
func (m *StateMachine) lagPressure(now int64) float64 {
	share := float64(m.dispatcher.lag.current(now)) / float64(max(1, m.targetAt-m.startedAt))
	return max(0, (share-lagLow)/(lagHigh-lagLow))
}
