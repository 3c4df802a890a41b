// How far the node itself is behind: how much later than they should its charts
// are stepped. A node that has too little processor time for what it is sent
// refuses some of it at once, so that its clients go to other nodes in time.

package dispatch

import "sync/atomic"

type lag struct{ mean, at atomic.Int64 }

// Figures of the lag: what was noted fades by half in lagHalf; requests are refused from lagFrom
// to lagTo of the time up to their aim.
const (
	lagHalf = 200_000
	lagFrom = 0.35
	lagTo   = 1.0
)

// note takes how late something was done, in microseconds.
func (l *lag) note(now, us int64) {
	was := l.now(now)
	l.mean.Store(was + (max(0, us)-was)/8)
	l.at.Store(now)
}

func (l *lag) now(now int64) int64 { return fade(l.mean.Load(), 0, max(0, now-l.at.Load()), lagHalf) }

// behind is the share of requests to refuse since this node is behind.
func (c *Chart) behind(now int64) float64 {
	share := float64(c.desk.lag.now(now)) / float64(max(1, c.aim-c.began))
	return max(0, (share-lagFrom)/(lagTo-lagFrom))
}
