// The record of a schedule: the data for invariants that span more than one state. It is part of a state's key and
// immutable; each update returns a new record.

package model

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"wallport/runtime/wire"
)

// reading is the result of a read: the name of the command that wrote the configuration, and the drained zones.
type reading struct {
	configuration string
	drained       []string
}

// event is the beginning or the end of a command. A record lists events in the order in which operators observed
// them.
type event struct {
	command  int
	end      bool
	accepted bool
	reading  *reading
}

type record struct {
	// leaders maps each term to its leader, versions each proposed version to the digest of its content.
	leaders  map[uint64]string
	versions map[wire.Version]digest
	// committed holds the versions that any replica has considered committed, in order.
	committed []wire.Version
	// synced holds the newest version that the disk of each identity has ever held.
	synced map[string]wire.Version
	// acknowledged holds, for each acknowledged command, the version in the acknowledgement.
	acknowledged map[int]wire.Version
	refused      []int
	events       []event
	// sum is the digest of the whole record, eventsSum the digest of its events.
	sum, eventsSum digest
}

func newRecord() *record {
	r := &record{
		leaders: map[uint64]string{}, versions: map[wire.Version]digest{}, synced: map[string]wire.Version{}, acknowledged: map[int]wire.Version{},
	}
	r.seal()
	return r
}

func compareVersions(a, b wire.Version) int {
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Seq, b.Seq))
}

// seal recomputes the record's digests.
func (r *record) seal() {
	r.eventsSum = digestOf(eventBytes(r.events))
	b := slices.Clone(r.eventsSum[:])
	for _, term := range slices.Sorted(maps.Keys(r.leaders)) {
		b = fmt.Appendf(b, "%d=%s,", term, r.leaders[term])
	}
	for _, v := range slices.SortedFunc(maps.Keys(r.versions), compareVersions) {
		sum := r.versions[v]
		b = appendNumber(appendNumber(b, int64(v.Term)), int64(v.Seq))
		b = append(b, sum[:]...)
	}
	for _, v := range r.committed {
		b = appendNumber(appendNumber(b, int64(v.Term)), int64(v.Seq))
	}
	for _, id := range slices.Sorted(maps.Keys(r.synced)) {
		b = fmt.Appendf(b, "%s=%d.%d,", id, r.synced[id].Term, r.synced[id].Seq)
	}
	for _, number := range slices.Sorted(maps.Keys(r.acknowledged)) {
		b = fmt.Appendf(b, "%d=%d.%d,", number, r.acknowledged[number].Term, r.acknowledged[number].Seq)
	}
	b = fmt.Appendf(b, "%v", r.refused)
	r.sum = digestOf(b)
}

func eventBytes(events []event) (b []byte) {
	for _, e := range events {
		b = append(b, byte(e.command), byte(boolInt(e.end)), byte(boolInt(e.accepted)))
		if e.reading != nil {
			b = fmt.Appendf(b, "%v", *e.reading)
		}
	}
	return b
}

func (r *record) update(f func(c *record)) *record {
	c := *r
	f(&c)
	c.seal()
	return &c
}

func (r *record) withBegin(number int) *record {
	return r.update(func(c *record) { c.events = append(slices.Clip(c.events), event{command: number}) })
}

func (r *record) withEnd(number int, accepted bool, got *reading) *record {
	return r.update(func(c *record) {
		c.events = append(slices.Clip(c.events), event{command: number, end: true, accepted: accepted, reading: got})
	})
}

func (r *record) withLeader(term uint64, leader string) *record {
	return r.update(func(c *record) { c.leaders = withEntry(c.leaders, term, leader) })
}

func (r *record) withProposed(v wire.Version, sum digest) *record {
	return r.update(func(c *record) { c.versions = withEntry(c.versions, v, sum) })
}

func (r *record) withCommitted(v wire.Version) *record {
	return r.update(func(c *record) {
		c.committed = append(slices.Clone(c.committed), v)
		slices.SortFunc(c.committed, compareVersions)
	})
}

func (r *record) withSynced(identity string, v wire.Version) *record {
	return r.update(func(c *record) { c.synced = withEntry(c.synced, identity, v) })
}

func (r *record) withAcknowledged(number int, v wire.Version) *record {
	return r.update(func(c *record) { c.acknowledged = withEntry(c.acknowledged, number, v) })
}

func (r *record) withRefused(number int) *record {
	return r.update(func(c *record) {
		c.refused = append(slices.Clone(c.refused), number)
		slices.Sort(c.refused)
	})
}

func withEntry[K comparable, V any](m map[K]V, key K, value V) map[K]V {
	c := maps.Clone(m)
	c[key] = value
	return c
}
