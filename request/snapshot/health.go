package snapshot

import (
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

// reportCounts counts the health reports on one backend by state.
type reportCounts struct {
	total, unreachable, corrupt, slow int
	// local is the state that this node itself reports.
	local ReportState
	// incarnation is the newest reported incarnation, uptime the uptime in the first report on it.
	incarnation int64
	uptime      clock.Micros
}

// countReports counts the reports of live nodes on a backend. It returns nil if there are none.
func (builder *Builder) countReports(backend string, now clock.Micros) *reportCounts {
	var counts *reportCounts
	for _, report := range builder.healthReports[backend] {
		if !builder.mesh.Live(report.origin, now) {
			continue
		}
		if counts == nil {
			counts = &reportCounts{}
		}
		counts.add(report, report.origin == builder.mesh.Self())
	}
	return counts
}

// add counts a report. It ignores reports on earlier incarnations, since they do not apply to the newest
// incarnation. Reports with the unknown incarnation 0 are counted.
func (c *reportCounts) add(report healthReport, local bool) {
	if report.Incarnation > c.incarnation {
		*c = reportCounts{incarnation: report.Incarnation, uptime: report.Uptime}
	} else if report.Incarnation < c.incarnation && report.Incarnation != 0 {
		return
	}
	c.total++
	switch ReportState(report.State) {
	case ReportUnreachable:
		c.unreachable++
	case ReportCorrupt:
		c.corrupt++
	case ReportSlow:
		c.slow++
	}
	if local {
		c.local = ReportState(report.State)
	}
}

// healthState merges the reports. A backend is unhealthy for the fleet if at least two nodes and half of
// all reporting nodes agree. If this node reports the backend as unreachable or corrupt but too few others
// agree, the backend is suspect, for this node only.
func (c *reportCounts) healthState() HealthState {
	agreed := func(n int) bool { return n >= 2 && 2*n >= c.total }
	switch {
	case agreed(c.corrupt):
		return Corrupt
	case agreed(c.unreachable + c.corrupt):
		return Unreachable
	case c.local == ReportUnreachable || c.local == ReportCorrupt:
		return Suspect
	case agreed(c.slow):
		return Slow
	}
	return Healthy
}

// evaluateBackends returns the backends of the platform's list with their health.
func (builder *Builder) evaluateBackends(ctx *kernel.Context, snap *Snapshot) []*Backend {
	out := make([]*Backend, 0, len(builder.backendList.Backends))
	for _, row := range builder.backendList.Backends {
		backend := &Backend{Backend: row, Gauge: builder.Gauges.Of(row.ID)}
		uptime := clock.Micros(0)
		if counts := builder.countReports(row.ID, ctx.Now); counts != nil {
			backend.Incarnation = max(backend.Incarnation, counts.incarnation)
			backend.Health = counts.healthState()
			uptime = counts.uptime
		}
		builder.setIncarnationStart(ctx, backend, uptime)
		if drained, ok := builder.drainingIncarnation[row.ID]; ok && (row.State == stateDraining || row.Incarnation <= drained) {
			backend.Health = Draining
		} else if slices.Contains(snap.Config.DrainedZones, row.Zone) {
			backend.Health = ZoneDrained
		}
		out = append(out, backend)
	}
	return out
}

// setIncarnationStart sets when the backend's incarnation started, on this process's clock. The time is determined
// when the incarnation is first seen and does not change afterwards.
func (builder *Builder) setIncarnationStart(ctx *kernel.Context, backend *Backend, uptime clock.Micros) {
	known, ok := builder.incarnationStarts[backend.ID]
	if !ok || known.incarnation < backend.Incarnation {
		known = incarnationStart{backend.Incarnation, ctx.Now - uptime}
		builder.incarnationStarts[backend.ID] = known
	}
	backend.IncarnationStartedAt = known.startedAt
}
