// The rules on the destinations and the amount of traffic: DRAIN, EVAC, BUDGET, FAILBACK, RECOVER.

package rules

import (
	"maps"
	"slices"

	"wallport/runtime/clock"
)

// drain checks DRAIN: a backend receives no request later than DrainUs after the platform's list first showed the
// backend as leaving.
func drain(j *Journal) {
	for _, a := range j.Arrivals {
		b := a.Backend
		if a.Misrouted || a.DelayedByPartition || b.DrainingSince == Never || a.At < b.DrainingSince || !j.Faults.InContact(a.Machine, a.Sent, j.Bounds.ContactUs) {
			continue
		}
		j.tested(Drain)
		if j.Faults.Unsettled.Overlaps(b.DrainingSince, b.DrainingSince+j.Bounds.DrainUs) {
			j.tested(DrainUnsettled)
		}
		if a.At > b.DrainingSince+j.Bounds.DrainUs {
			j.fail(Drain, a.At, "%s sent %s to %s %d us after the platform listed that backend as leaving", a.Machine, a.Attempt, b.ID, a.At-b.DrainingSince)
		}
	}
}

// evac checks EVAC: a zone receives no request later than EvacuateUs after its evacuation was acknowledged, until the
// operator requests the end of the evacuation. If the core was unsettled, StretchUs is added to EvacuateUs.
func evac(j *Journal) {
	for _, evacuation := range j.Evacuations {
		if evacuation.Acked == Never {
			continue
		}
		for _, a := range j.Arrivals {
			if a.Misrouted || a.DelayedByPartition || a.At <= evacuation.Acked || a.At >= evacuation.RestoreSent {
				continue
			}
			bound, ok := j.bound(a.Machine, evacuation.Acked, a.Sent, j.Bounds.EvacuateUs)
			if !ok || a.At <= evacuation.Acked+bound {
				continue
			}
			// Requests to other zones count as tests of the rule too.
			j.tested(Evac)
			if a.Backend.Zone == evacuation.Zone {
				j.fail(Evac, a.At, "%s sent %s to %s, %d us after the evacuation of %s", a.Machine, a.Attempt, a.Backend.ID, a.At-evacuation.Acked, evacuation.Zone)
			}
		}
	}
}

// budget checks BUDGET: in any window of RetryWindowUs, a service receives at most RetryRatio extra arrivals per
// request plus RetryAllowance. An extra arrival is any arrival of an attempt at a service after the attempt's first
// arrival there.
func budget(j *Journal) {
	extras, requests := map[string][]int64{}, map[string][]int64{}
	seen := map[string]bool{}
	for _, a := range j.Arrivals {
		key := a.Attempt + " " + a.Backend.Pool
		if seen[key] {
			extras[a.Backend.Pool] = append(extras[a.Backend.Pool], a.At)
		}
		seen[key] = true
	}
	for _, attempt := range j.Attempts {
		pools := map[string]bool{}
		for _, version := range j.Versions {
			if version.Sent <= attempt.Ended && (version.mayBeInForce(attempt.Ended) || version.Acked != Never) {
				for _, p := range poolsOf(routeOf(version.Table, attempt.Host, attempt.Path)) {
					pools[p] = true
				}
			}
		}
		for _, p := range slices.Sorted(maps.Keys(pools)) {
			requests[p] = append(requests[p], attempt.Sent)
		}
	}
	w := j.Bounds.RetryWindowUs
	for _, pool := range slices.Sorted(maps.Keys(extras)) {
		extra, first := extras[pool], requests[pool]
		slices.Sort(extra)
		slices.Sort(first)
		for i := range extra {
			// It is enough to check windows that begin with an extra arrival: no other window holds more extra
			// arrivals.
			from := extra[i]
			n := count(extra, from, from+w)
			most := max(count(first, from, from+w), count(first, from-w/2, from+w/2), count(first, from-w, from))
			j.tested(Budget)
			if float64(n) > j.Bounds.RetryRatio*float64(most)+j.Bounds.RetryAllowance {
				j.fail(Budget, from, "%s got %d extra arrivals for %d requests in one window", pool, n, most)
				break
			}
		}
	}
}

// count returns how many of the sorted times are in [a, b).
func count(at []clock.Micros, a, b int64) int {
	i, _ := slices.BinarySearch(at, a)
	k, _ := slices.BinarySearch(at, b)
	return k - i
}

// failback checks FAILBACK: in any second of its slow start a backend receives at most SlowStartPerS times
// SlowStartOverrun plus SlowStartTolerance requests.
func failback(j *Journal) {
	arrivalsByBackend := map[*Backend][]int64{}
	for _, a := range j.Arrivals {
		if b := a.Backend; b.SlowStartPerS > 0 && !a.Misrouted && b.SlowStart.Overlaps(a.At, a.At) {
			arrivalsByBackend[b] = append(arrivalsByBackend[b], a.At)
		}
	}
	for _, b := range j.Backends {
		at := arrivalsByBackend[b]
		slices.Sort(at)
		most := b.SlowStartPerS*j.Bounds.SlowStartOverrun + j.Bounds.SlowStartTolerance
		for i, from := range at {
			j.tested(Failback)
			if n := count(at[i:], from, from+clock.Second); float64(n) > most {
				j.fail(Failback, from, "%s got %d requests within 1 s during its slow start, at most %.0f are allowed", b.ID, n, most)
				break
			}
		}
	}
}

// recovered checks RECOVER: of the requests sent later than RecoverUs after the machines run again, at least a
// quarter is served. It also checks LOST: if the evacuation of a zone was acknowledged before the final fault and
// its end was never requested, each node still considers the zone evacuated. Neither rule is checked if less than a
// quarter of the requests was served before the fault.
func recovered(j *Journal) {
	if j.FinalFault == nil {
		return
	}
	share := func(from, to clock.Micros) (served, all int) {
		for _, attempt := range j.Attempts {
			if !attempt.Probe && !attempt.Further && attempt.Sent >= from && attempt.Sent < to {
				all++
				if attempt.Served() {
					served++
				}
			}
		}
		return served, all
	}
	before, all := share(0, j.FinalFault.At)
	if 4*before < all {
		return
	}
	j.tested(Recover)
	if served, all := share(j.FinalFault.Back+j.Bounds.RecoverUs, j.End); 4*served < all {
		j.fail(Recover, j.End, "of %d requests after the time to recover only %d were served", all, served)
	}
	for _, evacuation := range j.Evacuations {
		if evacuation.Acked > j.FinalFault.At || evacuation.RestoreSent != Never {
			continue
		}
		for _, m := range slices.Sorted(maps.Keys(j.Drained)) {
			j.tested(Lost)
			if !slices.Contains(j.Drained[m], evacuation.Zone) {
				j.fail(Lost, j.End, "%s no longer considers %s evacuated after the closing fault", m, evacuation.Zone)
			}
		}
	}
}
