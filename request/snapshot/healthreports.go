// The opinions of servers as the mesh brought them, decoded once each and kept by server.

package snapshot

import (
	"cmp"
	"slices"

	"wallport/cluster/mesh"
	"wallport/runtime/wire"
)

// healthReport is what one observer says of a server.
type healthReport struct {
	wire.HealthReport
	origin string
}

// healthReports holds those of each server, by the observer's fingerprint.
type healthReports map[string][]healthReport

// apply keeps an opinion, or drops the one that its observer takes back.
func (all healthReports) apply(v mesh.Stored) {
	server := v.Entry.ID
	of := all[server]
	at, found := slices.BinarySearchFunc(of, v.Origin, func(o healthReport, origin string) int { return cmp.Compare(o.origin, origin) })
	if found {
		of = slices.Delete(of, at, at+1)
	}
	o := healthReport{origin: v.Origin}
	if !v.Entry.Tombstone && wire.Decode(v.Entry.Body, &o.HealthReport) == nil {
		of = slices.Insert(of, at, o)
	}
	if len(of) == 0 {
		delete(all, server)
		return
	}
	all[server] = of
}

// CountAgreeing counts the live observers other than this process that say the same of a server.
func (table *Table) CountAgreeing(server string, o wire.HealthReport, now int64) (n int) {
	for _, other := range table.healthReports[server] {
		if other.State == o.State && other.Incarnation >= o.Incarnation && other.origin != table.mesh.Self() && table.mesh.Live(other.origin, now) {
			n++
		}
	}
	return n
}

// forget drops all that an observer said.
func (all healthReports) forget(origin string) {
	for server, of := range all {
		of = slices.DeleteFunc(of, func(o healthReport) bool { return o.origin == origin })
		if len(of) == 0 {
			delete(all, server)
			continue
		}
		all[server] = of
	}
}
