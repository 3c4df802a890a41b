package search

import (
	"wallport/cluster/loadreport"
	"wallport/request/snapshot"
	"wallport/request/tokenbucket"
	"wallport/runtime/clock"
)

// limitName names the limit that admitted or rejected a request, in traces and failures.
type limitName string

const (
	limitRate       limitName = "ceiling"
	limitReserved   limitName = "booked slice"
	limitQuota      limitName = "share"
	limitUnreserved limitName = "left by others"
	limitPool       limitName = "pool"
)

const (
	// burstSeconds is how many seconds of its rate a limiter may save.
	burstSeconds = 2
	// refilledBeforeStart, as the time of the last refill, makes a limiter begin full.
	refilledBeforeStart = -1 * clock.Minute
)

// limiter is this node's part of one limit.
type limiter struct{ tokenbucket.Bucket }

// allow takes a request from a limit, in requests a second of the whole fleet. This node has a part
// of it: that of the fleet's requests which it gets, by meter. What it saves, up to the equal part
// of one of so many nodes, is for callers who move to it before the other nodes know. With force
// the request is taken anyway, and the limiter may owe as much as it may save.
func (l *limiter) allow(now clock.Micros, limit float64, meter *loadreport.Meter, nodes int, force bool) bool {
	part := meter.LocalLimit(limit, nodes)
	capacity := max(tokenbucket.One, int64(burstSeconds*tokenbucket.One*max(part, limit/float64(max(1, nodes)))))
	l.Refill(now, int64(tokenbucket.One*part), capacity)
	if force {
		return l.Take(tokenbucket.One, tokenbucket.One-capacity, capacity)
	}
	return limit > 0 && l.Take(tokenbucket.One, tokenbucket.One, capacity)
}

// indexLimiters are the limiters of an index: three a kind, and one for the capacity that is not
// reserved for any kind.
type indexLimiters struct {
	unreserved limiter
	kinds      map[Kind]*kindLimiters
}

type kindLimiters struct{ reserved, quota, rate limiter }

func (d *Dispatcher) limitersOf(index string) *indexLimiters {
	if v, ok := d.limiters.Load(index); ok {
		return v.(*indexLimiters)
	}
	limiters := &indexLimiters{kinds: map[Kind]*kindLimiters{}}
	limiters.unreserved.RefilledAt.Store(refilledBeforeStart)
	for _, name := range []Kind{KindSearch, KindRead, KindCorrect, KindPart} {
		kind := &kindLimiters{}
		for _, l := range []*limiter{&kind.reserved, &kind.quota, &kind.rate} {
			l.RefilledAt.Store(refilledBeforeStart)
		}
		limiters.kinds[name] = kind
	}
	v, _ := d.limiters.LoadOrStore(index, limiters)
	return v.(*indexLimiters)
}

// withinLimits decides whether a request is admitted by the limits of its kind, and by which. A kind
// inside its quota or its reservation is admitted whatever the others do; above it, the kind may
// use what the others leave, up to its rate limit.
func (d *Dispatcher) withinLimits(snap *snapshot.Snapshot, index *snapshot.Index, kind Kind, now clock.Micros) (bool, limitName) {
	kindMeter, indexMeter := d.LoadReport.Meter(index.Name, string(kind)), d.LoadReport.Meter(index.Name, "")
	kindMeter.Inc()
	indexMeter.Inc()
	limit := index.Limits[string(kind)]
	limiters := d.limitersOf(index.Name)
	own := limiters.kinds[kind]
	kindMeter.SetLimits(limit.RateLimit, limit.Share+limit.Reserved)
	indexMeter.SetLimits(index.Capacity, 0)
	if limit.RateLimit > 0 && !own.rate.allow(now, limit.RateLimit, kindMeter, snap.Peers, false) {
		return false, limitRate
	}
	if limit.Reserved > 0 && own.reserved.allow(now, limit.Reserved, kindMeter, snap.Peers, false) {
		return true, limitReserved
	}
	// What is reserved is kept for its kind, used or not; the rest is shared out.
	unreserved := index.Capacity
	for _, other := range index.Limits {
		unreserved -= other.Reserved
	}
	if own.quota.allow(now, limit.Share, kindMeter, snap.Peers, false) {
		limiters.unreserved.allow(now, unreserved, indexMeter, snap.Peers, true)
		return true, limitQuota
	}
	if limiters.unreserved.allow(now, unreserved, indexMeter, snap.Peers, false) {
		return true, limitUnreserved
	}
	return false, limitPool
}
