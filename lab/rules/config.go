// The rules on the configuration: CONFIG, ROUTE, and ACKS (acknowledgements in time).

package rules

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/runtime/clock"
)

// possible returns the versions by which a machine may handle a request: those that may be in force when the
// request ends, except versions older than the newest one that had to be in force when the request was sent.
func (j *Journal) possible(attempt *Attempt, machine string) []*Version {
	least := int64(0)
	for _, version := range j.Versions {
		if version.Acked == Never || version.Revision <= least {
			continue
		}
		if b, ok := j.bound(machine, version.Acked, attempt.Sent, j.Bounds.ApplyUs); ok && attempt.Sent > version.Acked+b {
			least = version.Revision
		}
	}
	var out []*Version
	for _, version := range j.Versions {
		if version.Revision >= least && version.mayBeInForce(attempt.Ended) {
			out = append(out, version)
		}
	}
	return out
}

// route checks ROUTE: a service runs only requests that some configuration routes to it.
func route(j *Journal) {
	for _, a := range j.Arrivals {
		attempt := j.attempts[a.Attempt]
		if attempt == nil || !a.Ran {
			continue
		}
		j.tested(Route)
		if !slices.ContainsFunc(j.Versions, func(version *Version) bool {
			return version.Sent <= a.At && allows(version.Table, attempt.Host, attempt.Path, a.Backend.Pool)
		}) {
			j.fail(Route, a.At, "%s of %s ran %s, which no configuration routes there", a.Backend.ID, a.Backend.Pool, attempt.ID)
		}
	}
}

// configHandled checks CONFIG: each request is handled as allowed by some version that may still be in force.
func configHandled(j *Journal) {
	for _, attempt := range j.Attempts {
		if attempt.Status == 0 && len(j.arrivalsByAttempt[attempt.ID]) == 0 {
			continue
		}
		ok := j.possible(attempt, attempt.Machine)
		if len(ok) == 0 {
			continue
		}
		for _, a := range j.arrivalsByAttempt[attempt.ID] {
			if a.Wrong || !a.Ran || a.Machine != attempt.Machine {
				continue
			}
			j.tested(Config)
			if !slices.ContainsFunc(ok, func(version *Version) bool { return allows(version.Table, attempt.Host, attempt.Path, a.Backend.Pool) }) {
				j.fail(Config, a.At, "%s, sent at %d us, ran in %s on %s: only an older or a refused version allows that", attempt.ID, attempt.Sent, a.Backend.Pool, attempt.Machine)
			}
		}
		if attempt.Generated && attempt.Status == 404 {
			j.tested(Config)
			if !slices.ContainsFunc(ok, func(version *Version) bool { return routeOf(version.Table, attempt.Host, attempt.Path) == nil }) {
				j.fail(Config, attempt.Ended, "%s, sent at %d us, got a 404 from %s although every version that may be in force has its route", attempt.ID, attempt.Sent, attempt.Machine)
			}
		}
	}
}

// configInForce checks CONFIG: the configuration in force at a node is recent enough, was not rejected, and its
// revision never decreases.
func configInForce(j *Journal) {
	byRevision := map[int64]*Version{}
	for _, version := range j.Versions {
		// If two versions share a revision, the one that was not refused counts.
		if was := byRevision[version.Revision]; was == nil || was.Refused != Never {
			byRevision[version.Revision] = version
		}
	}
	type incarnation struct {
		machine string
		n       int
	}
	last := map[incarnation]int64{}
	reported := map[string]bool{}
	for _, s := range j.InForce {
		j.tested(Config)
		at := incarnation{s.Machine, s.Incarnation}
		if s.Revision < last[at] {
			j.fail(Config, s.At, "%s went back from revision %d to %d", s.Machine, last[at], s.Revision)
		}
		last[at] = s.Revision
		if version := byRevision[s.Revision]; s.Revision > 0 && (version == nil || version.Invalid || version.Refused != Never) {
			j.fail(Config, s.At, "%s has revision %d in force, which was never accepted", s.Machine, s.Revision)
		}
		for _, version := range j.Versions {
			if version.Acked == Never || version.Revision <= s.Revision {
				continue
			}
			if b, ok := j.bound(s.Machine, version.Acked, s.At, j.Bounds.ApplyUs); ok && s.At > version.Acked+b && !reported[s.Machine] {
				reported[s.Machine] = true
				j.fail(Config, s.At, "%s has revision %d in force, %d was acknowledged at %d us", s.Machine, s.Revision, version.Revision, version.Acked)
			}
		}
	}
}

// configRaces checks CONFIG: of several changes based on the same version at most one is acknowledged, and an
// invalid change never is.
func configRaces(j *Journal) {
	byBase := map[int64]*Version{}
	for _, version := range j.Versions {
		if version.Acked == Never {
			continue
		}
		j.tested(Config)
		if version.Invalid {
			j.fail(Config, version.Acked, "revision %d is invalid and was acknowledged", version.Revision)
		}
		if other := byBase[version.Base]; other != nil {
			j.fail(Config, version.Acked, "revisions %d and %d, both based on %d, were acknowledged", other.Revision, version.Revision, version.Base)
		}
		byBase[version.Base] = version
	}
}

// configRead checks CONFIG: a configuration that is read back is recent enough and equals what was sent under its
// revision. After the closing fault, a configuration that is too old or missing breaks LOST.
func configRead(j *Journal) {
	if len(j.Versions) == 0 {
		return
	}
	newest := j.newestAcked(j.End)
	rule := Config
	if j.Closing != nil {
		rule = Lost
	}
	if len(j.ReadBack) == 0 {
		if newest != nil {
			j.fail(rule, j.End, "reading back the configuration got no answer")
		}
		return
	}
	r := j.ReadBack[len(j.ReadBack)-1]
	newest = j.newestAcked(r.RequestedAt)
	j.tested(Config)
	if newest != nil && r.Table.GetRevision() < newest.Revision {
		j.fail(rule, r.At, "revision %d was read back although %d was acknowledged before the read", r.Table.GetRevision(), newest.Revision)
		return
	}
	for _, version := range j.Versions {
		if version.Revision == r.Table.GetRevision() && version.mayBeInForce(r.At) && equalConfigs(version.Table, r.Table) {
			return
		}
	}
	j.fail(Config, r.At, "the configuration read back as revision %d differs from what was sent under that revision", r.Table.GetRevision())
}

// equalConfigs reports whether two configurations are equal, regardless of the order of their items.
func equalConfigs(a, b *routingpb.RoutingTable) bool {
	sorted := func(t *routingpb.RoutingTable) *routingpb.RoutingTable {
		c := proto.Clone(t).(*routingpb.RoutingTable)
		slices.SortFunc(c.Routes, func(a, b *routingpb.Route) int { return cmp.Compare(a.Name, b.Name) })
		slices.SortFunc(c.Pools, func(a, b *routingpb.Pool) int { return cmp.Compare(a.Name, b.Name) })
		return c
	}
	return proto.Equal(sorted(a), sorted(b))
}

// acks checks ACKS: a valid command is acknowledged before the core has been settled for longer than the bound
// without interruption.
func acks(j *Journal) {
	c := j.Bounds.ContactUs
	check := func(what string, sent, acked clock.Micros) {
		j.tested(Acks)
		// from is the start of the current settled span since the command was sent. Everything that unsettles the
		// core ends a span; the next one begins ContactUs after the core is settled again.
		from := sent
		end := min(acked, j.End)
		for _, s := range j.Faults.Unsettled {
			if s.From > end {
				break
			}
			if s.From-from > j.Bounds.AckUs {
				break
			}
			if s.To == Never {
				return
			}
			from = max(from, s.To+c)
		}
		if end-from > j.Bounds.AckUs {
			j.fail(Acks, end, "%s, sent at %d us, got no acknowledgement within %d us while the core was settled", what, sent, end-from)
		}
	}
	for _, version := range j.Versions {
		if version.Alone && !version.Invalid && version.Refused != Never {
			j.fail(Acks, version.Refused, "revision %d, based on the newest version and without a concurrent change, was refused", version.Revision)
		}
		if !version.Invalid && version.Refused == Never {
			check("a configuration", version.Sent, firstAcknowledged(version.Acked, version.FirstAcked))
		}
	}
	for _, evacuation := range j.Evacuations {
		check("an evacuation", evacuation.Sent, firstAcknowledged(evacuation.Acked, evacuation.FirstAcked))
		if evacuation.RestoreSent != Never {
			check("the end of an evacuation", evacuation.RestoreSent, firstAcknowledged(evacuation.RestoreAcked, evacuation.RestoreFirstAcked))
		}
	}
}
