package search

import (
	"wallport/cluster/loadreport"
	"wallport/request/snapshot"
	"wallport/request/tokenbucket"
	"wallport/runtime/clock"
)

// limitName identifies the limit that admitted or rejected a request, in traces and failure reasons.
type limitName string

const (
	limitRate       limitName = "ceiling"
	limitReserved   limitName = "booked slice"
	limitQuota      limitName = "share"
	limitUnreserved limitName = "left by others"
	limitPool       limitName = "pool"
)

const (
	// burstSeconds is the capacity of a limiter, in seconds of its rate.
	burstSeconds = 2
	// refilledBeforeStart is the initial time of the last refill. It lies far enough in the past
	// for a limiter to start full.
	refilledBeforeStart = -1 * clock.Minute
)

// limiter is this node's share of one fleet-wide limit.
type limiter struct{ tokenbucket.Bucket }

// allow charges one request to a limit and reports whether the limit admits it. limit is in requests
// per second for the whole fleet. The node's part of the limit corresponds to its part of the
// fleet's requests, as measured by meter. The capacity of the limiter is computed from that part or
// from an equal share among the given number of nodes, whichever is larger. The equal share covers
// callers that move to this node before the other nodes have learned of it. With force the request
// is charged even if no credit is left, and the balance may go down to minus the capacity.
func (l *limiter) allow(now clock.Micros, limit float64, meter *loadreport.Meter, nodes int, force bool) bool {
	part := meter.LocalLimit(limit, nodes)
	capacity := max(tokenbucket.One, tokenbucket.Amount(burstSeconds*max(part, limit/float64(max(1, nodes)))))
	l.Refill(now, tokenbucket.Amount(part), capacity)
	if force {
		return l.Take(tokenbucket.One, tokenbucket.One-capacity, capacity)
	}
	return limit > 0 && l.Take(tokenbucket.One, tokenbucket.One, capacity)
}

// indexLimiters holds the limiters of an index: three per kind, and one for the capacity that is not
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

// withinLimits reports whether the limits of its kind admit a request, and which limit decided.
// Requests above the rate limit of their kind are rejected. A kind within its quota or its
// reservation is admitted regardless of the load of other kinds. Above both it may use the
// unreserved capacity that other kinds leave unused.
func (d *Dispatcher) withinLimits(snap *snapshot.Snapshot, index *snapshot.Index, kind Kind, now clock.Micros) (bool, limitName) {
	kindMeter, indexMeter := d.LoadReport.Meter(index.Name, string(kind)), d.LoadReport.Meter(index.Name, "")
	kindMeter.Inc()
	indexMeter.Inc()
	limit := index.Limits[string(kind)]
	limiters := d.limitersOf(index.Name)
	own := limiters.kinds[kind]
	kindMeter.SetLimits(limit.RateLimit, limit.Share+limit.Reserved)
	indexMeter.SetLimits(index.Capacity, 0)
	if limit.RateLimit > 0 && !own.rate.allow(now, limit.RateLimit, kindMeter, snap.LiveNodeCount, false) {
		return false, limitRate
	}
	if limit.Reserved > 0 && own.reserved.allow(now, limit.Reserved, kindMeter, snap.LiveNodeCount, false) {
		return true, limitReserved
	}
	// Reserved capacity stays with its kind even when unused; only the remainder is shared.
	unreserved := index.Capacity
	for _, other := range index.Limits {
		unreserved -= other.Reserved
	}
	if own.quota.allow(now, limit.Share, kindMeter, snap.LiveNodeCount, false) {
		limiters.unreserved.allow(now, unreserved, indexMeter, snap.LiveNodeCount, true)
		return true, limitQuota
	}
	if limiters.unreserved.allow(now, unreserved, indexMeter, snap.LiveNodeCount, false) {
		return true, limitUnreserved
	}
	return false, limitPool
}
