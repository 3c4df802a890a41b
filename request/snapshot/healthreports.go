package snapshot

import (
	"cmp"
	"slices"

	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// ReportState is the state of a backend in a health report. Its text is part of the wire format.
type ReportState string

// States in a health report.
const (
	ReportHealthy     ReportState = "ok"
	ReportSlow        ReportState = "slow"
	ReportUnreachable ReportState = "lost"
	ReportCorrupt     ReportState = "garbage"
)

// healthReport is one node's report on a backend.
type healthReport struct {
	wire.HealthReport
	origin string
}

// healthReports holds the decoded reports on each backend, by backend id and sorted by origin.
type healthReports map[string][]healthReport

// apply replaces the earlier report of the entry's origin on the backend. If the entry is a tombstone or cannot
// be decoded, it only removes the earlier report.
func (all healthReports) apply(v mesh.Stored) {
	backend := v.Entry.ID
	of := all[backend]
	at, found := slices.BinarySearchFunc(of, v.Origin, func(report healthReport, origin string) int {
		return cmp.Compare(report.origin, origin)
	})
	if found {
		of = slices.Delete(of, at, at+1)
	}
	report := healthReport{origin: v.Origin}
	if !v.Entry.Tombstone && wire.Decode(v.Entry.Body, &report.HealthReport) == nil {
		of = slices.Insert(of, at, report)
	}
	if len(of) == 0 {
		delete(all, backend)
		return
	}
	all[backend] = of
}

// CountAgreeing returns the number of other live nodes that report the same state of a backend as report, for
// the same or a newer incarnation.
func (builder *Builder) CountAgreeing(backend string, report wire.HealthReport, now clock.Micros) (n int) {
	for _, other := range builder.healthReports[backend] {
		if other.State == report.State && other.Incarnation >= report.Incarnation && other.origin != builder.mesh.Self() && builder.mesh.Live(other.origin, now) {
			n++
		}
	}
	return n
}

// forget drops all reports of an origin.
func (all healthReports) forget(origin string) {
	for backend, of := range all {
		of = slices.DeleteFunc(of, func(report healthReport) bool { return report.origin == origin })
		if len(of) == 0 {
			delete(all, backend)
			continue
		}
		all[backend] = of
	}
}
