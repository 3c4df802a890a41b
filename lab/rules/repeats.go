// The rules on what comes more than once: numbers, repeats of changes, and the
// backends of one try.

package rules

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
	for _, v := range j.Versions {
		if sent[v.Revision] && !v.Invalid {
			j.tested(ConfigNumber)
		}
		sent[v.Revision] = sent[v.Revision] || !v.Invalid
		if firstOf(v.Acked, v.FirstAcked) == Never {
			continue
		}
		if o := taken[v.Revision]; o != nil {
			j.fail(Config, firstOf(v.Acked, v.FirstAcked), "two changes were acknowledged under number %d", v.Revision)
		}
		taken[v.Revision] = v
	}
}

// configRepeats: what was acknowledged is acknowledged again or left without an answer, never refused.
func configRepeats(j *Journal) {
	for _, v := range j.Versions {
		if v.Repeats > 0 || v.FirstAcked > 0 && (v.Acked > v.FirstAcked+ackWayUs || v.Refused != Never) {
			j.tested(ConfigRepeat)
		}
		if v.FirstAcked > 0 && v.Refused != Never && v.Refused >= v.FirstAcked {
			j.fail(Config, v.Refused, "revision %d was acknowledged at %d us, sent again as that was lost, and refused", v.Revision, v.FirstAcked)
		}
		if v.RefusedAgain > 0 {
			j.fail(Config, v.RefusedAgain, "revision %d was acknowledged at %d us, sent again and refused", v.Revision, v.Acked)
		}
	}
}

// ackWayUs is more than an acknowledgement takes on its way when it isn't lost.
const ackWayUs = 10_000

// furtherMost is how many tries may run on more backends than their route allows.
const furtherMost = 3

// furtherBackends: hardly any try runs on more backends of a service than its route lets it go to.
func furtherBackends(j *Journal) {
	n, at, which := 0, int64(0), ""
	for _, t := range j.Attempts {
		most := int32(0)
		ran := map[string]map[*Backend]bool{}
		for _, a := range j.arrivalsByAttempt[t.ID] {
			if !a.Ran || a.Backend.Ended <= t.Ended {
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
		for _, v := range j.Versions {
			if r := routeOf(v.Table, t.Host, t.Path); r != nil && v.Sent <= t.Ended {
				most = max(most, r.MaxBackends)
			}
		}
		if over > most {
			n, at, which = n+1, t.Ended, t.ID
		}
	}
	if n > furtherMost {
		j.fail(Budget, at, "%d tries, %s the last of them, ran on more backends than their routes allow", n, which)
	}
}
