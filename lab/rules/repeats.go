// The rules on what comes more than once: numbers, repeats of changes, and the
// backends of one try.

package rules

import "wallport/runtime/clock"

// firstOf is when something was acknowledged: to the operator, or on a way on which that was lost.
func firstOf(acked, taken int64) int64 {
	if taken > 0 {
		return min(acked, taken)
	}
	return acked
}

// configNumbers: no two changes are acknowledged under one number.
func configNumbers(j *Journal) {
	taken, sent := map[int64]*Version{}, map[int64]bool{}
	for _, version := range j.Versions {
		if sent[version.Revision] && !version.Invalid {
			j.tested(ConfigNumber)
		}
		sent[version.Revision] = sent[version.Revision] || !version.Invalid
		if firstOf(version.Acked, version.FirstAcked) == Never {
			continue
		}
		if o := taken[version.Revision]; o != nil {
			j.fail(Config, firstOf(version.Acked, version.FirstAcked), "two changes were acknowledged under number %d", version.Revision)
		}
		taken[version.Revision] = version
	}
}

// configRepeats: what was acknowledged is acknowledged again or left without an answer, never refused.
func configRepeats(j *Journal) {
	for _, version := range j.Versions {
		if version.Repeats > 0 || version.FirstAcked > 0 && (version.Acked > version.FirstAcked+ackWayUs || version.Refused != Never) {
			j.tested(ConfigRepeat)
		}
		if version.FirstAcked > 0 && version.Refused != Never && version.Refused >= version.FirstAcked {
			j.fail(Config, version.Refused, "revision %d was acknowledged at %d us, sent again as that was lost, and refused", version.Revision, version.FirstAcked)
		}
		if version.RefusedAgain > 0 {
			j.fail(Config, version.RefusedAgain, "revision %d was acknowledged at %d us, sent again and refused", version.Revision, version.Acked)
		}
	}
}

// ackWayUs is more than an acknowledgement takes on its way when it isn't lost.
const ackWayUs = 10 * clock.Millisecond

// furtherMost is how many tries may run on more backends than their route allows.
const furtherMost = 3

// furtherBackends: hardly any try runs on more backends of a service than its route lets it go to.
func furtherBackends(j *Journal) {
	n, at, which := 0, int64(0), ""
	for _, attempt := range j.Attempts {
		most := int32(0)
		ran := map[string]map[*Backend]bool{}
		for _, a := range j.arrivalsByAttempt[attempt.ID] {
			if !a.Ran || a.Backend.Ended <= attempt.Ended {
				continue
			}
			if ran[a.Backend.Pool] == nil {
				ran[a.Backend.Pool] = map[*Backend]bool{}
			}
			ran[a.Backend.Pool][a.Backend] = true
		}
		over := int32(0)
		for _, of := range ran {
			over = max(over, int32(len(of)))
		}
		if over < 2 {
			continue
		}
		j.tested(BudgetAttempt)
		for _, version := range j.Versions {
			if r := routeOf(version.Table, attempt.Host, attempt.Path); r != nil && version.Sent <= attempt.Ended {
				most = max(most, r.MaxBackends)
			}
		}
		if over > most {
			n, at, which = n+1, attempt.Ended, attempt.ID
		}
	}
	if n > furtherMost {
		j.fail(Budget, at, "%d tries, %s the last of them, ran on more backends than their routes allow", n, which)
	}
}
