// The rules on the configuration: CONFIG, ROUTE, and ACKS (acknowledgements in time).

package rules

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/runtime/clock"
)

// possible returns the versions according to which a machine may handle an attempt: the versions that may be in force
// when the attempt ends, except those older than the newest version that had to be in force on the machine when the
// attempt was sent.
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

// route checks ROUTE: a backend runs only requests that some configuration, sent before the request arrived, routes
// to its pool.
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

// configHandled checks CONFIG: each request is handled in a way that some version allows, out of the versions that
// may be in force at that time.
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
			if a.Misrouted || !a.Ran || a.Machine != attempt.Machine {
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

// configInForce checks CONFIG: the configuration in force at a node is new enough and was not rejected, and its
// revision never decreases while the node's process runs.
func configInForce(j *Journal) {
	byRevision := map[int64]*Version{}
	for _, version := range j.Versions {
		// If several versions share a revision, one that was not refused takes precedence.
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

// configRaces checks CONFIG: of several changes based on the same version at most one is acknowledged, and no invalid
// change is acknowledged.
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

// configRead checks CONFIG: a configuration that is read back is at least as new as the newest one that was
// acknowledged before the read, and it equals what was sent under its revision. In a journal with a final fault, a
// configuration that is too old or missing breaks LOST instead of CONFIG.
func configRead(j *Journal) {
	if len(j.Versions) == 0 {
		return
	}
	newest := j.newestAcked(j.End)
	rule := Config
	if j.FinalFault != nil {
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

// acks checks ACKS: if the core has been settled without interruption for longer than AckUs since a valid command was
// sent, the command has been acknowledged. A valid change that is based on the newest version and has no concurrent
// change is not refused.
func acks(j *Journal) {
	c := j.Bounds.ContactUs
	check := func(what string, sent, acked clock.Micros) {
		j.tested(Acks)
		// from is the start of the current settled span; the first span starts when the command is sent. Every event
		// that unsettles the core ends a span, and the next span starts ContactUs after the end of the event.
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
		if version.Uncontested && !version.Invalid && version.Refused != Never {
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
