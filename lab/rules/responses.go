// The rules on answers and on what ran: MIXED, UNASKED, TWICE, REFUSED, DENIED, LOST.

package rules

import (
	"bytes"
	"math"
	"slices"

	"wallport/api/routingpb"
)

const recordSize = 16

// naive merges by sorting all records, greatest first.
func naive(parts [][]byte, limit int) []byte {
	var all [][]byte
	for _, p := range parts {
		for ; len(p) >= recordSize; p = p[recordSize:] {
			all = append(all, p[:recordSize])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	if len(all) > limit {
		all = all[:limit]
	}
	return bytes.Join(all, nil)
}

// mixed: a success is a backend's whole success for this very request, or is gathered from such.
func mixed(j *Journal) {
	bySeal := map[string]*Arrival{}
	for _, a := range j.Arrivals {
		if a.Seal != "" {
			bySeal[a.Seal] = a
		}
	}
	for _, t := range j.Attempts {
		switch {
		case t.Status == 0:
		case len(t.Seals) > 0:
			j.tested(Mixed)
			j.gathered(t, bySeal)
		case t.Seal == "":
			if t.Served() {
				j.fail(Mixed, t.Ended, "%s got a success without a seal", t.ID)
			}
		default:
			j.tested(Mixed)
			if !t.Served() {
				j.tested(MixedFailure)
			}
			a := bySeal[t.Seal]
			switch {
			case a == nil:
				j.fail(Mixed, t.Ended, "%s got a seal that no backend gave", t.ID)
			case a.Attempt != t.ID:
				j.fail(Mixed, t.Ended, "%s got the answer to %s", t.ID, a.Attempt)
			case a.Status != t.Status || !same(a.Answer, t.Answer):
				j.fail(Mixed, t.Ended, "%s got status %d and %d bytes where the backend gave %d and %d", t.ID, t.Status, len(t.Answer), a.Status, len(a.Answer))
			}
		}
	}
}

func (j *Journal) gathered(t *Attempt, bySeal map[string]*Arrival) {
	var parts [][]byte
	pools := map[string]bool{}
	for _, s := range t.Seals {
		a := bySeal[s]
		switch {
		case a == nil || a.Attempt != t.ID:
			j.fail(Mixed, t.Ended, "%s names a seal that is not for it", t.ID)
			return
		case a.Status < 200 || a.Status > 299:
			j.fail(Mixed, t.Ended, "%s names a backend's failure as a part", t.ID)
			return
		case pools[a.Backend.Pool]:
			j.fail(Mixed, t.Ended, "%s names two parts of %s", t.ID, a.Backend.Pool)
			return
		}
		pools[a.Backend.Pool] = true
		parts = append(parts, a.Answer)
	}
	why := "its parts and what is missing make up the shards of no version"
	for _, v := range j.Versions {
		r := routeOf(v.Table, t.Host, t.Path)
		if v.Table == nil || v.Sent > t.Ended || r == nil || len(r.FanoutPools) != len(pools)+t.Missing || !within(pools, r) {
			continue
		}
		switch {
		case len(pools) < int(math.Ceil(r.MinCoverage*float64(len(r.FanoutPools))-1e-9)):
			why = "too few parts are in"
		case !same(naive(parts, int(r.ResultLimit)), t.Answer):
			why = "its body is not the merge of its parts"
		default:
			return
		}
	}
	j.fail(Mixed, t.Ended, "%s: %s", t.ID, why)
}

func within(pools map[string]bool, r *routingpb.Route) bool {
	n := 0
	for _, p := range r.FanoutPools {
		if pools[p] {
			n++
		}
	}
	return n == len(pools)
}

// unasked: what a backend runs is what some client sent.
func unasked(j *Journal) {
	for _, a := range j.Arrivals {
		if !a.Ran {
			continue
		}
		j.tested(Unasked)
		if t := j.attempts[a.Attempt]; t == nil {
			j.fail(Unasked, a.At, "%s runs %s, which no client sent", a.Backend.ID, a.Attempt)
		} else if a.Method != t.Method || a.Target != t.Target || !same(a.Body, t.Body) {
			j.fail(Unasked, a.At, "%s runs %s changed", a.Backend.ID, a.Attempt)
		}
	}
}

func (j *Journal) ran(t *Attempt) (n int, at int64) {
	for _, a := range j.arrivalsByAttempt[t.ID] {
		if a.Ran {
			n, at = n+1, a.At
		}
	}
	return n, at
}

// twice: what may not be repeated runs once at most.
func twice(j *Journal) {
	for _, t := range j.Attempts {
		if t.Repeatable {
			continue
		}
		n, at := j.ran(t)
		if n > 0 {
			j.tested(Twice)
		}
		if n > 1 {
			j.fail(Twice, at, "%s ran %d times", t.ID, n)
		}
	}
}

// refused: a promise that a request has not run and never will is kept.
func refused(j *Journal) {
	for _, t := range j.Attempts {
		if t.Repeatable || !promisesNotRun(t.Status) {
			continue
		}
		j.tested(Refused)
		if n, at := j.ran(t); n > 0 {
			j.fail(Refused, at, "%s was refused with %d and ran", t.ID, t.Status)
		}
	}
}

// denied: proper requests are not ended with a refusal of the node's own that is no promise.
func denied(j *Journal) {
	n, at := 0, int64(0)
	for _, t := range j.Attempts {
		if !t.Generated || t.Status < 300 || t.Status > 499 || promisesNotRun(t.Status) || !j.Faults.InContact(t.Machine, t.Ended, j.Bounds.ContactUs) {
			continue
		}
		proper := true
		for _, v := range j.possible(t, t.Machine) {
			proper = proper && routeOf(v.Table, t.Host, t.Path) != nil
		}
		if proper {
			n, at = n+1, t.Ended
		}
	}
	j.Tested[Denied] = int64(len(j.Attempts))
	if most := 5 + len(j.Attempts)/500; n > most {
		j.fail(Denied, at, "%d proper requests were denied, %d may be", n, most)
	}
}

// lost: a request that was read is answered whole, unless some trouble explains it.
func lost(j *Journal) {
	planned := j.planned()
	for _, t := range j.Attempts {
		if t.Read == 0 || j.Faults.Unplanned.Hit(t.Sent-j.Bounds.ContactUs, t.Ended) {
			continue
		}
		j.tested(Lost)
		if planned.Hit(t.Sent, t.Ended) {
			j.tested(LostPlanned)
		}
		offered := len(j.arrivalsByAttempt[t.ID]) > 0
		if t.Aborted && !t.GaveUp && !t.AfterStop && (offered || t.Ended-t.Sent > j.Bounds.LossUs) {
			j.fail(Lost, t.Ended, "%s was read by %s and its connection ended", t.ID, t.Machine)
		}
	}
}
