// The rules on the configuration: CONFIG, ROUTE, and acknowledgements in time.

package rules

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
)

// possible are the versions by which a machine may handle a request that was sent when it was: those that
// may be in force, but none older than the newest whose bound was over by then.
func (j *Journal) possible(t *Attempt, machine string) []*Version {
	least := int64(0)
	for _, v := range j.Versions {
		if v.Acked == Never || v.Revision <= least {
			continue
		}
		if b, ok := j.bound(machine, v.Acked, t.Sent, j.Bounds.ApplyUs); ok && t.Sent > v.Acked+b {
			least = v.Revision
		}
	}
	var out []*Version
	for _, v := range j.Versions {
		if v.Revision >= least && v.may(t.Ended) {
			out = append(out, v)
		}
	}
	return out
}

// route: no service runs what no configuration ever sent there.
func route(j *Journal) {
	for _, a := range j.Arrivals {
		t := j.attempts[a.Attempt]
		if t == nil || !a.Ran {
			continue
		}
		j.tested(Route)
		if !slices.ContainsFunc(j.Versions, func(v *Version) bool {
			return v.Sent <= a.At && allows(v.Table, t.Host, t.Path, a.Backend.Pool)
		}) {
			j.fail(Route, a.At, "%s of %s runs %s, which no configuration sends there", a.Backend.ID, a.Backend.Pool, t.ID)
		}
	}
}

// configHandled: requests are handled as a version allows that may still be in force.
func configHandled(j *Journal) {
	for _, t := range j.Attempts {
		if t.Status == 0 && len(j.arrivalsByAttempt[t.ID]) == 0 {
			continue
		}
		ok := j.possible(t, t.Machine)
		if len(ok) == 0 {
			continue
		}
		for _, a := range j.arrivalsByAttempt[t.ID] {
			if a.Wrong || !a.Ran || a.Machine != t.Machine {
				continue
			}
			j.tested(Config)
			if !slices.ContainsFunc(ok, func(v *Version) bool { return allows(v.Table, t.Host, t.Path, a.Backend.Pool) }) {
				j.fail(Config, a.At, "%s, sent at %d us, ran in %s on %s: only an older or a refused version allows that", t.ID, t.Sent, a.Backend.Pool, t.Machine)
			}
		}
		if t.Generated && t.Status == 404 {
			j.tested(Config)
			if !slices.ContainsFunc(ok, func(v *Version) bool { return routeOf(v.Table, t.Host, t.Path) == nil }) {
				j.fail(Config, t.Ended, "%s, sent at %d us, got a 404 from %s though its route is there", t.ID, t.Sent, t.Machine)
			}
		}
	}
}

// configInForce: what nodes have in force is new enough, was not refused, and is never older than before.
func configInForce(j *Journal) {
	byRevision := map[int64]*Version{}
	for _, v := range j.Versions {
		// Of two under one number the one that may be in force counts.
		if was := byRevision[v.Revision]; was == nil || was.Refused != Never {
			byRevision[v.Revision] = v
		}
	}
	type life struct {
		machine string
		n       int
	}
	last := map[life]int64{}
	told := map[string]bool{}
	for _, s := range j.InForce {
		j.tested(Config)
		at := life{s.Machine, s.Incarnation}
		if s.Revision < last[at] {
			j.fail(Config, s.At, "%s went back from revision %d to %d", s.Machine, last[at], s.Revision)
		}
		last[at] = s.Revision
		if v := byRevision[s.Revision]; s.Revision > 0 && (v == nil || v.Invalid || v.Refused != Never) {
			j.fail(Config, s.At, "%s has revision %d in force, which was never taken", s.Machine, s.Revision)
		}
		for _, v := range j.Versions {
			if v.Acked == Never || v.Revision <= s.Revision {
				continue
			}
			if b, ok := j.bound(s.Machine, v.Acked, s.At, j.Bounds.ApplyUs); ok && s.At > v.Acked+b && !told[s.Machine] {
				told[s.Machine] = true
				j.fail(Config, s.At, "%s has revision %d in force, %d was acknowledged at %d us", s.Machine, s.Revision, v.Revision, v.Acked)
			}
		}
	}
}

// configOrder: of two changes on one version one is acknowledged, and none that is invalid.
func configOrder(j *Journal) {
	by := map[int64]*Version{}
	for _, v := range j.Versions {
		if v.Acked == Never {
			continue
		}
		j.tested(Config)
		if v.Invalid {
			j.fail(Config, v.Acked, "revision %d is invalid and was acknowledged", v.Revision)
		}
		if o := by[v.Base]; o != nil {
			j.fail(Config, v.Acked, "revisions %d and %d, both on top of %d, were acknowledged", o.Revision, v.Revision, v.Base)
		}
		by[v.Base] = v
	}
}

// configRead: what is read back is new enough and is what was sent under its number.
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
	for _, v := range j.Versions {
		if v.Revision == r.Table.GetRevision() && v.may(r.At) && alike(v.Table, r.Table) {
			return
		}
	}
	j.fail(Config, r.At, "what was read back as revision %d differs from what was sent under that number", r.Table.GetRevision())
}

// alike compares two configurations; the order of items is free.
func alike(a, b *routingpb.RoutingTable) bool {
	sorted := func(t *routingpb.RoutingTable) *routingpb.RoutingTable {
		c := proto.Clone(t).(*routingpb.RoutingTable)
		slices.SortFunc(c.Routes, func(a, b *routingpb.Route) int { return cmp.Compare(a.Name, b.Name) })
		slices.SortFunc(c.Pools, func(a, b *routingpb.Pool) int { return cmp.Compare(a.Name, b.Name) })
		return c
	}
	return proto.Equal(sorted(a), sorted(b))
}

// acks: a proper order is acknowledged within the bound of one stretch in which the core was settled.
func acks(j *Journal) {
	c := j.Bounds.ContactUs
	check := func(what string, sent, acked int64) {
		j.tested(Acks)
		// The longest settled stretch since it was sent: it is cut at everything that unsettles the core.
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
	for _, v := range j.Versions {
		if v.Alone && !v.Invalid && v.Refused != Never {
			j.fail(Acks, v.Refused, "revision %d, on top of the newest one, was refused", v.Revision)
		}
		if !v.Invalid && v.Refused == Never {
			check("a configuration", v.Sent, firstOf(v.Acked, v.FirstAcked))
		}
	}
	for _, o := range j.Evacuations {
		check("an evacuation", o.Sent, firstOf(o.Acked, o.FirstAcked))
		if o.RestoreSent != Never {
			check("the end of an evacuation", o.RestoreSent, firstOf(o.RestoreAcked, o.RestoreFirstAcked))
		}
	}
}
