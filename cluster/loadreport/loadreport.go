// Package loadreport announces each node's request rates, so that fleet-wide limits can be divided
// among the nodes in proportion to the requests that they receive.
//
// A [Meter] counts the requests of one index and kind at this node. Once a second the [Reporter]
// smooths the rates and announces them in one entry of the mesh ([mesh.EntryLoadReport]) if one of
// them has changed enough. The request path reads the meters without locks.
package loadreport

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"

	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

const (
	// reportInterval is the interval between evaluations of the rates, and therefore the minimum
	// interval between two reports.
	reportInterval = 1 * clock.Second
	// changeThreshold is the fraction by which a rate must have changed to be reported. While the
	// fleet's rate exceeds nearLimitFraction of a limit, changeThresholdNearLimit applies instead,
	// because the nodes' parts of the limit must then add up to it more precisely.
	changeThreshold          = 0.2
	changeThresholdNearLimit = 0.06
	nearLimitFraction        = 0.7
	// minChange, in requests per second, is added to the threshold.
	minChange = 0.5
	// minJump is the number of requests per second by which the arrivals must exceed twice the rate
	// to become the new rate without smoothing. Such an increase is not noise: callers have moved
	// to this node.
	minJump = 5
	// reportScale converts a rate in requests per second to a reported rate, which is an integer.
	reportScale = 10
)

const (
	pluginName  = "usage"
	timerReport = "tell"
)

// Meter measures the requests of one index and kind that arrive at this node.
type Meter struct {
	count atomic.Int64
	// nearLimit reports whether the fleet's rate is near a limit.
	nearLimit atomic.Bool
	// localRate is the rate of this node, and remoteRate the sum of the rates of the other live
	// nodes, both multiplied by reportScale.
	localRate  atomic.Int64
	remoteRate atomic.Int64

	// The following fields are used only by the kernel's goroutine: the count at the last
	// evaluation, and the smoothed and the last reported rate in requests per second.
	lastCount    int64
	rate         float64
	reportedRate float64
}

// Inc counts one request.
func (m *Meter) Inc() { m.count.Add(1) }

// SetLimits sets the two limits, in requests per second, that apply to the metered requests; 0 means
// no limit. While the fleet's rate is near one of them, the rate is reported more precisely.
func (m *Meter) SetLimits(a, b float64) {
	total := float64(m.localRate.Load()+m.remoteRate.Load()) / reportScale
	near := a > 0 && total > nearLimitFraction*a || b > 0 && total > nearLimitFraction*b
	if m.nearLimit.Load() != near {
		m.nearLimit.Store(near)
	}
}

// LocalLimit returns this node's part of a fleet-wide limit, in requests per second. The limit is
// divided in proportion to the nodes' rates, or equally while no rate is known. In addition each
// node may use half of the unused part of the limit, for callers that have just moved to that node.
func (m *Meter) LocalLimit(limit float64, nodes int) float64 {
	local, remote := float64(m.localRate.Load())/reportScale, float64(m.remoteRate.Load())/reportScale
	if local+remote < 1.0/reportScale {
		return limit / float64(max(1, nodes))
	}
	return limit*local/(local+remote) + max(0, limit-local-remote)/2
}

// Reporter is the plug-in that evaluates and announces a node's request rates.
type Reporter struct {
	mesh        *mesh.Mesh
	meters      sync.Map
	remoteRates map[string]map[string]int64
}

func init() {
	kernel.Register(kernel.Registration{Rank: 55, Roles: []string{settings.RoleNode}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Reporter{mesh: kernel.Find[*mesh.Mesh](k), remoteRates: map[string]map[string]int64{}}
	}})
}

// Meter returns the meter of an index and kind, and creates it on first use. Any goroutine may call
// Meter.
func (r *Reporter) Meter(index, kind string) *Meter {
	key := index + "\x00" + kind
	if v, ok := r.meters.Load(key); ok {
		return v.(*Meter)
	}
	v, _ := r.meters.LoadOrStore(key, new(Meter))
	return v.(*Meter)
}

// Name returns the plug-in's name.
func (r *Reporter) Name() string { return pluginName }

// Kinds returns the kinds of frames that the plug-in handles: none.
func (r *Reporter) Kinds() []uint8 { return nil }

// Step handles one input of the kernel.
func (r *Reporter) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		ctx.After(reportInterval, pluginName, timerReport)
	case kernel.Tick:
		ctx.After(reportInterval, pluginName, timerReport)
		r.report(ctx)
	case mesh.Stored:
		if v.Entry.Type == mesh.EntryLoadReport && !v.Local {
			var report wire.LoadReport
			if wire.Decode(v.Entry.Body, &report) == nil {
				r.remoteRates[v.Origin] = report.Rates
			}
		}
	case mesh.Forgotten:
		delete(r.remoteRates, v.Origin)
	}
}

// report updates the rates and announces them if one of them has changed enough.
func (r *Reporter) report(ctx *kernel.Context) {
	report := wire.LoadReport{Rates: map[string]int64{}}
	changed := false
	r.meters.Range(func(k, v any) bool {
		key, meter := k.(string), v.(*Meter)
		changed = meter.updateRate() || changed
		rate := int64(meter.rate * reportScale)
		report.Rates[key] = rate
		meter.localRate.Store(rate)
		meter.remoteRate.Store(r.remoteRate(key, ctx.Now))
		ctx.Counts.Set(fmt.Sprintf("inquiries_per_10s{what=%q}", key), rate)
		return true
	})
	if !changed {
		return
	}
	r.meters.Range(func(_, v any) bool {
		meter := v.(*Meter)
		meter.reportedRate = meter.rate
		return true
	})
	r.mesh.Announce(ctx, mesh.EntryLoadReport, r.mesh.Self(), wire.Encode(&report), false)
}

// updateRate updates the rate with the requests since the last evaluation. It reports whether the
// rate has changed enough since the last report to be announced.
func (m *Meter) updateRate() bool {
	count := m.count.Load()
	arrived := float64(count - m.lastCount)
	m.lastCount = count
	if arrived > 2*m.rate+minJump {
		m.rate = arrived
	} else {
		m.rate += (arrived - m.rate) / 2
	}
	threshold := changeThreshold
	if m.nearLimit.Load() {
		threshold = changeThresholdNearLimit
	}
	return math.Abs(m.rate-m.reportedRate) > threshold*m.reportedRate+minChange
}

// remoteRate returns the sum of the rates of the other live nodes, multiplied by reportScale.
func (r *Reporter) remoteRate(key string, now clock.Micros) (sum int64) {
	for origin, rates := range r.remoteRates {
		if r.mesh.Live(origin, now) {
			sum += rates[key]
		}
	}
	return sum
}
