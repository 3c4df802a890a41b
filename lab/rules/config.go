// The rules on the configuration: CONFIG, ROUTE, and acknowledgements in time.

package rules

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/runtime/clock"
)

// possible returns the versions by which a machine may handle a request, given when it was sent: those that may
// be in force, but none older than the newest whose bound had passed.
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

// route checks ROUTE: a service runs only what some configuration sends there.
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
			j.fail(Route, a.At, "%s of %s runs %s, which no configuration sends there", a.Backend.ID, a.Backend.Pool, attempt.ID)
		}
	}
}

// configHandled checks CONFIG: requests are handled as a version allows that may still be in force.
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
				j.fail(Config, attempt.Ended, "%s, sent at %d us, got a 404 from %s though its route is there", attempt.ID, attempt.Sent, attempt.Machine)
			}
		}
	}
}

// configInForce checks CONFIG: the configuration in force at a node is new enough, was not rejected, and never
// goes back.
func configInForce(j *Journal) {
	byRevision := map[int64]*Version{}
	for _, version := range j.Versions {
		// Of two versions under one revision the one that may be in force counts.
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
			j.fail(Config, s.At, "%s has revision %d in force, which was never taken", s.Machine, s.Revision)
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

// configRaces checks CONFIG: of two changes based on one version only one is acknowledged, and no invalid one.
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
			j.fail(Config, version.Acked, "revisions %d and %d, both on top of %d, were acknowledged", other.Revision, version.Revision, version.Base)
		}
		byBase[version.Base] = version
	}
}

// configRead checks CONFIG: a configuration that is read back is new enough and is what was sent under its
// revision.
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
			j.fail(rule, j.End, "the configuration did not come when it was read back")
		}
		return
	}
	r := j.ReadBack[len(j.ReadBack)-1]
	newest = j.newestAcked(r.RequestedAt)
	j.tested(Config)
	if newest != nil && r.Table.GetRevision() < newest.Revision {
		j.fail(rule, r.At, "revision %d was read back, %d was acknowledged", r.Table.GetRevision(), newest.Revision)
		return
	}
	for _, version := range j.Versions {
		if version.Revision == r.Table.GetRevision() && version.mayBeInForce(r.At) && equalConfigs(version.Table, r.Table) {
			return
		}
	}
	j.fail(Config, r.At, "what was read back as revision %d differs from what was sent under that number", r.Table.GetRevision())
}

// equalConfigs reports whether two configurations are equal; the order of items does not matter.
func equalConfigs(a, b *routingpb.RoutingTable) bool {
	sorted := func(t *routingpb.RoutingTable) *routingpb.RoutingTable {
		c := proto.Clone(t).(*routingpb.RoutingTable)
		slices.SortFunc(c.Routes, func(a, b *routingpb.Route) int { return cmp.Compare(a.Name, b.Name) })
		slices.SortFunc(c.Pools, func(a, b *routingpb.Pool) int { return cmp.Compare(a.Name, b.Name) })
		return c
	}
	return proto.Equal(sorted(a), sorted(b))
}

// acks checks ACKS: a valid command is acknowledged within the bound of one span in which the core was settled.
func acks(j *Journal) {
	c := j.Bounds.ContactUs
	check := func(what string, sent, acked clock.Micros) {
		j.tested(Acks)
		// The longest settled span since it was sent, interrupted by everything that unsettles the core.
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
			j.fail(Acks, end, "%s, sent at %d us, had no acknowledgement for %d us in a settled core", what, sent, end-from)
		}
	}
	for _, version := range j.Versions {
		if version.Alone && !version.Invalid && version.Refused != Never {
			j.fail(Acks, version.Refused, "revision %d, on top of the newest one, was refused", version.Revision)
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
