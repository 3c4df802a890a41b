// The rules on responses and on the requests that ran: MIXED, UNASKED, TWICE, REFUSED, DENIED, LOST.

package rules

import (
	"bytes"
	"math"
	"slices"

	"wallport/runtime/clock"
)

const recordSize = 16

// naiveMerge merges parts by sorting all their records in descending order; it returns at most limit records.
func naiveMerge(parts [][]byte, limit int) []byte {
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

// mixed checks MIXED: a successful response is one backend's complete successful response to the same attempt, or a
// merge of such responses.
func mixed(j *Journal) {
	bySeal := map[string]*Arrival{}
	for _, a := range j.Arrivals {
		if a.Seal != "" {
			bySeal[a.Seal] = a
		}
	}
	for _, attempt := range j.Attempts {
		switch {
		case attempt.Status == 0:
		case len(attempt.Seals) > 0:
			j.tested(Mixed)
			j.checkFanout(attempt, bySeal)
		case attempt.Seal == "":
			if attempt.Served() {
				j.fail(Mixed, attempt.Ended, "%s got a success without the seal of a backend's response", attempt.ID)
			}
		default:
			j.tested(Mixed)
			if !attempt.Served() {
				j.tested(MixedFailure)
			}
			a := bySeal[attempt.Seal]
			switch {
			case a == nil:
				j.fail(Mixed, attempt.Ended, "%s got a seal that no backend sent", attempt.ID)
			case a.Attempt != attempt.ID:
				j.fail(Mixed, attempt.Ended, "%s got the answer to %s", attempt.ID, a.Attempt)
			case a.Status != attempt.Status || !same(a.Answer, attempt.Answer):
				j.fail(Mixed, attempt.Ended, "%s got status %d and %d bytes, the backend sent status %d and %d bytes", attempt.ID, attempt.Status, len(attempt.Answer), a.Status, len(a.Answer))
			}
		}
	}
}

// checkFanout checks a response that names the seals of its parts: each part is a backend's successful response to
// the attempt, the response is the merge of the parts, and the parts together with the missing parts are the shards
// of the route in some version.
func (j *Journal) checkFanout(attempt *Attempt, bySeal map[string]*Arrival) {
	var parts [][]byte
	pools := map[string]bool{}
	for _, s := range attempt.Seals {
		a := bySeal[s]
		switch {
		case a == nil || a.Attempt != attempt.ID:
			j.fail(Mixed, attempt.Ended, "%s names a seal of no backend's response to it", attempt.ID)
			return
		case a.Status < 200 || a.Status > 299:
			j.fail(Mixed, attempt.Ended, "%s names a backend's failed response as a part", attempt.ID)
			return
		case pools[a.Backend.Pool]:
			j.fail(Mixed, attempt.Ended, "%s names two parts of %s", attempt.ID, a.Backend.Pool)
			return
		}
		pools[a.Backend.Pool] = true
		parts = append(parts, a.Answer)
	}
	why := "its parts and the number of missing parts match the shards of no version"
	for _, version := range j.Versions {
		r := routeOf(version.Table, attempt.Host, attempt.Path)
		if version.Table == nil || version.Sent > attempt.Ended || r == nil {
			continue
		}
		shards := shardsOf(r)
		if len(shards) != len(pools)+attempt.Missing || !allAmong(pools, shards) {
			continue
		}
		switch {
		case len(pools) < int(math.Ceil(r.MinCoverage*float64(len(shards))-1e-9)):
			why = "it has fewer parts than the minimum coverage of its route"
		case !same(naiveMerge(parts, int(r.ResultLimit)), attempt.Answer):
			why = "its body is not the merge of its parts"
		default:
			return
		}
	}
	j.fail(Mixed, attempt.Ended, "%s: %s", attempt.ID, why)
}

// allAmong reports whether all pools are among the shards.
func allAmong(pools map[string]bool, shards []string) bool {
	for p := range pools {
		if !slices.Contains(shards, p) {
			return false
		}
	}
	return true
}

// unasked checks UNASKED: a backend runs only requests that some client sent, unchanged.
func unasked(j *Journal) {
	for _, a := range j.Arrivals {
		if !a.Ran {
			continue
		}
		j.tested(Unasked)
		if attempt := j.attempts[a.Attempt]; attempt == nil {
			j.fail(Unasked, a.At, "%s ran %s, which no client sent", a.Backend.ID, a.Attempt)
		} else if a.Method != attempt.Method || a.Target != attempt.Target || !same(a.Body, attempt.Body) {
			j.fail(Unasked, a.At, "%s ran %s with another method, target or body than the client sent", a.Backend.ID, a.Attempt)
		}
	}
}

// ran returns how often an attempt ran on backends, and the time at which its last run arrived.
func (j *Journal) ran(attempt *Attempt) (n int, at clock.Micros) {
	for _, a := range j.arrivalsByAttempt[attempt.ID] {
		if a.Ran {
			n, at = n+1, a.At
		}
	}
	return n, at
}

// twice checks TWICE: a request that is not idempotent runs at most once.
func twice(j *Journal) {
	for _, attempt := range j.Attempts {
		if attempt.Repeatable {
			continue
		}
		n, at := j.ran(attempt)
		if n > 0 {
			j.tested(Twice)
		}
		if n > 1 {
			j.fail(Twice, at, "%s ran %d times", attempt.ID, n)
		}
	}
}

// refused checks REFUSED: if the response to a request that is not idempotent has a status which guarantees that the
// request has not run and never will, the request does not run.
func refused(j *Journal) {
	for _, attempt := range j.Attempts {
		if attempt.Repeatable || !promisesNotRun(attempt.Status) {
			continue
		}
		j.tested(Refused)
		if n, at := j.ran(attempt); n > 0 {
			j.fail(Refused, at, "%s was refused with status %d although it ran", attempt.ID, attempt.Status)
		}
	}
}

// denied checks DENIED: if a request has a route, a node does not itself answer the request with a 3xx or 4xx status,
// except with a status that guarantees that the request has not run. Up to five such answers, and one more for every
// 500 attempts, are tolerated.
func denied(j *Journal) {
	n, at := 0, int64(0)
	for _, attempt := range j.Attempts {
		if !attempt.Generated || attempt.Status < 300 || attempt.Status > 499 || promisesNotRun(attempt.Status) || !j.Faults.InContact(attempt.Machine, attempt.Ended, j.Bounds.ContactUs) {
			continue
		}
		routed := true
		for _, version := range j.possible(attempt, attempt.Machine) {
			routed = routed && routeOf(version.Table, attempt.Host, attempt.Path) != nil
		}
		if routed {
			n, at = n+1, attempt.Ended
		}
	}
	j.Tested[Denied] = int64(len(j.Attempts))
	if most := 5 + len(j.Attempts)/500; n > most {
		j.fail(Denied, at, "%d requests that have a route were denied, at most %d may be", n, most)
	}
}

// lost checks LOST: a request that a node has read gets a complete answer unless a fault excuses it.
func lost(j *Journal) {
	planned := j.planned()
	for _, attempt := range j.Attempts {
		if attempt.Read == 0 || j.Faults.Unplanned.Overlaps(attempt.Sent-j.Bounds.ContactUs, attempt.Ended) {
			continue
		}
		j.tested(Lost)
		if planned.Overlaps(attempt.Sent, attempt.Ended) {
			j.tested(LostPlanned)
		}
		offered := len(j.arrivalsByAttempt[attempt.ID]) > 0
		if attempt.Aborted && !attempt.Canceled && !attempt.AfterStop && (offered || attempt.Ended-attempt.Sent > j.Bounds.LossUs) {
			j.fail(Lost, attempt.Ended, "%s was read by %s, and its connection ended before a complete answer", attempt.ID, attempt.Machine)
		}
	}
}
