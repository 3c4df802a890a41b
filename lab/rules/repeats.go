// The rules on repetition: reused revisions, retries of changes, and the number of backends on which one attempt
// runs.

package rules

import (
	"wallport/api/routingpb"
	"wallport/runtime/clock"
)

// firstAcknowledged returns the time at which a command was first acknowledged, whether or not that acknowledgement
// arrived.
func firstAcknowledged(acked, acknowledged int64) int64 {
	if acknowledged > 0 {
		return min(acked, acknowledged)
	}
	return acked
}

// configRevisions checks CONFIG: no two changes are acknowledged with the same revision.
func configRevisions(j *Journal) {
	acknowledged, sent := map[int64]*Version{}, map[int64]bool{}
	for _, version := range j.Versions {
		if sent[version.Revision] && !version.Invalid {
			j.tested(ConfigNumber)
		}
		sent[version.Revision] = sent[version.Revision] || !version.Invalid
		if firstAcknowledged(version.Acked, version.FirstAcked) == Never {
			continue
		}
		if other := acknowledged[version.Revision]; other != nil {
			j.fail(Config, firstAcknowledged(version.Acked, version.FirstAcked), "two changes with the same revision %d were acknowledged", version.Revision)
		}
		acknowledged[version.Revision] = version
	}
}

// configRepeats checks CONFIG: a retry of an acknowledged change is acknowledged or gets no answer; it is never
// rejected.
func configRepeats(j *Journal) {
	for _, version := range j.Versions {
		if version.Repeats > 0 || version.FirstAcked > 0 && (version.Acked > version.FirstAcked+ackLatencyUs || version.Refused != Never) {
			j.tested(ConfigRepeat)
		}
		if version.FirstAcked > 0 && version.Refused != Never && version.Refused >= version.FirstAcked {
			j.fail(Config, version.Refused, "revision %d was acknowledged at %d us; that answer was lost, and the retry was refused", version.Revision, version.FirstAcked)
		}
		if version.RefusedAgain > 0 {
			j.fail(Config, version.RefusedAgain, "revision %d was acknowledged at %d us, and a later retry was refused", version.Revision, version.Acked)
		}
	}
}

// ackLatencyUs is an upper bound on the network delay of an acknowledgement that is not lost.
const ackLatencyUs = 10 * clock.Millisecond

// maxOverRouteLimit is the number of attempts that may run on more backends than their route allows.
const maxOverRouteLimit = 3

// furtherBackends checks BUDGET: at most maxOverRouteLimit attempts run on more backends of a service than their
// routes allow.
func furtherBackends(j *Journal) {
	n, at, which := 0, int64(0), ""
	// Usually every route allows a first backend, so that only attempts with a second one are examined.
	least := int32(2)
	if j.someRouteAllowsNone() {
		least = 1
	}
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
		if over < least {
			continue
		}
		if over > 1 {
			j.tested(BudgetAttempt)
		}
		for _, version := range j.Versions {
			if r := routeOf(version.Table, attempt.Host, attempt.Path); r != nil && version.Sent <= attempt.Ended {
				most = max(most, maxBackendsOf(r))
			}
		}
		if over > most {
			n, at, which = n+1, attempt.Ended, attempt.ID
		}
	}
	if n > maxOverRouteLimit {
		j.fail(Budget, at, "%d attempts, the last one %s, ran on more backends than their routes allow", n, which)
	}
}

// someRouteAllowsNone reports whether a version has a route whose requests may be sent to no backend.
func (j *Journal) someRouteAllowsNone() bool {
	for _, version := range j.Versions {
		for _, r := range version.Table.GetRoutes() {
			if maxBackendsOf(r) == 0 {
				return true
			}
		}
	}
	return false
}

// maxBackendsOf returns the largest number of backends to which a route may send a request. A route that does not say
// it may use one.
func maxBackendsOf(r *routingpb.Route) int32 {
	if r.MaxBackends == nil {
		return 1
	}
	return *r.MaxBackends
}
