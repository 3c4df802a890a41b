package healthcheck

import (
	"encoding/json"
	"hash/fnv"
	"net/http"
	"slices"

	"wallport/cluster/mesh"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// Intervals and thresholds of health checks and reports.
const (
	// Observers is the number of nodes that regularly check each backend.
	Observers = 3
	// CheckInterval is the time between two checks of one backend by one node. A check fails after
	// CheckTimeout.
	CheckInterval = 500 * clock.Millisecond
	CheckTimeout  = 400 * clock.Millisecond
	// TickInterval is the time between two evaluations of all backends.
	TickInterval = 250 * clock.Millisecond
	// ReportInterval is the minimum time between two reports by one node on one backend.
	ReportInterval = 700 * clock.Millisecond
	// MissedThreshold is the number of consecutive failed checks after which a backend is unreachable.
	MissedThreshold = 2
	// CorruptThreshold is the number of corrupt responses after which a backend is corrupt.
	CorruptThreshold = 2
	// If EnoughReporters other nodes already report the same state of a backend, a node that is not one of
	// its observers does not start to report that state too. This bounds the number of reports when many
	// nodes observe the same failure at the same time.
	EnoughReporters = 6
	// A backend is slow if its latency exceeds both MinSlowLatency and SlowFactor times the median of its
	// shard.
	SlowFactor     = 4
	MinSlowLatency = 50 * clock.Millisecond
	// CorruptRetryDelay is the time from the end of a corrupt backend's ejection until its corrupt responses
	// are forgotten and it is tried again.
	CorruptRetryDelay = 8 * clock.Second
)

const (
	pluginName = "health"
	timerCheck = "watch"
	// checkPath is the path of a health check at a backend.
	checkPath = "/condition"
)

// Response is a backend's response to a health check.
type Response struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
	// UpUs is the uptime of the incarnation in microseconds.
	UpUs int64 `json:"up_us"`
	// Usage is the number of requests that the backend is processing.
	Usage    int64  `json:"usage"`
	ShardMap string `json:"cut"`
	// SlowStart is the remaining time of the backend's slow start, in microseconds.
	SlowStart int64 `json:"cold_us,omitempty"`
}

// checkState holds the results of this node's own checks of a backend, and this node's last report on it.
type checkState struct {
	// assigned says that this node is one of the backend's observers.
	assigned    bool
	checkedAt   clock.Micros
	inFlight    bool
	missed      int
	uptime      clock.Micros
	incarnation int64

	reported   wire.HealthReport
	reportedAt clock.Micros
	// reporting says that the report has been announced and not withdrawn.
	reporting bool
}

// Checker is the plug-in that checks backends and reports their health.
type Checker struct {
	mesh    *mesh.Mesh
	builder *snapshot.Builder
	// passive says that this node checks only the backends that it has ejected.
	passive bool
	states  map[string]*checkState
	// assignedFor is the snapshot from which the observers were last determined.
	assignedFor *snapshot.Snapshot
}

func init() {
	kernel.Register(kernel.Registration{Rank: 70, Roles: []string{settings.RoleNode}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Checker{mesh: kernel.Find[*mesh.Mesh](k), builder: kernel.Find[*snapshot.Builder](k), passive: k.Boot.Settings.PassiveHealth, states: map[string]*checkState{}}
	}})
}

// Name returns the plug-in's name.
func (c *Checker) Name() string { return pluginName }

// Kinds returns the kinds of frames that the plug-in handles: none.
func (c *Checker) Kinds() []uint8 { return nil }

// Step handles one input of the kernel.
func (c *Checker) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		ctx.After(ctx.Rand.Int64N(TickInterval), pluginName, timerCheck)
	case kernel.Tick:
		ctx.After(TickInterval, pluginName, timerCheck)
		c.checkAll(ctx)
	case kernel.Fetched:
		c.handleResponse(ctx, v)
	case kernel.Thawed:
		for _, state := range c.states {
			state.missed = 0
		}
	}
}

// checkAll starts the checks that are due and announces the reports that have changed.
func (c *Checker) checkAll(ctx *kernel.Context) {
	snap := c.builder.Current()
	if snap == nil {
		return
	}
	c.assign(ctx, snap)
	medians := shardMedians(snap)
	for _, backend := range snap.Backends {
		state := c.states[backend.ID]
		if c.isDue(ctx, backend, state) {
			state.checkedAt, state.inFlight = ctx.Now, true
			ctx.Counts.Add("condition_probes", 1)
			ctx.Fetch(pluginName, backend.ID, "http://"+backend.Addr+checkPath, CheckTimeout)
		}
		c.report(ctx, backend, state, medians)
	}
}

// isDue reports whether a check of a backend is due. A node checks the backends that it observes and those
// that it has ejected.
func (c *Checker) isDue(ctx *kernel.Context, backend *snapshot.Backend, state *checkState) bool {
	if !state.assigned && backend.Gauge.EjectedUntil.Load() <= 0 {
		return false
	}
	// Allow half a tick of tolerance. Without it a check would sometimes be delayed by a whole tick.
	return !state.inFlight && ctx.Now-state.checkedAt >= CheckInterval-TickInterval/2
}

// assign determines which backends this node observes, once for each snapshot. It hashes each name only
// once, so that each pair of a node and a backend costs only a few instructions.
func (c *Checker) assign(ctx *kernel.Context, snap *snapshot.Snapshot) {
	if c.assignedFor == snap {
		return
	}
	c.assignedFor = snap
	local, others := uint64(0), make([]uint64, 0, len(snap.Roster))
	for _, node := range snap.Roster {
		switch {
		case node.Origin == c.mesh.Self():
			local = hash(node.Name)
		case node.Live:
			others = append(others, hash(node.Name))
		}
	}
	states := make(map[string]*checkState, len(snap.Backends))
	for _, backend := range snap.Backends {
		state := c.states[backend.ID]
		if state == nil {
			state = &checkState{checkedAt: ctx.Now - ctx.Rand.Int64N(CheckInterval)}
		}
		states[backend.ID] = state
		state.assigned = !c.passive && isObserver(hash(backend.ID), local, others)
	}
	c.states = states
}

// isObserver reports whether a node is one of a backend's observers, that is, whether fewer than Observers of
// the other nodes precede it in the backend's rendezvous order.
func isObserver(backend, node uint64, others []uint64) bool {
	own, above := mix(node^backend), 0
	for _, other := range others {
		if mix(other^backend) > own {
			if above++; above == Observers {
				return false
			}
		}
	}
	return true
}

func hash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return mix(h.Sum64())
}

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// handleResponse handles the response to a check, or its failure.
func (c *Checker) handleResponse(ctx *kernel.Context, v kernel.Fetched) {
	state := c.states[v.Key]
	if state == nil {
		return
	}
	state.inFlight = false
	gauge := c.builder.Gauges.Of(v.Key)
	var response Response
	if v.Err != "" || v.Status != http.StatusOK || json.Unmarshal(v.Body, &response) != nil || response.ID != v.Key {
		state.missed++
		return
	}
	state.missed, state.uptime, state.incarnation = 0, response.UpUs, response.Incarnation
	if gauge.CorruptResponses.Load() == 0 || response.Incarnation != gauge.Incarnation.Load() {
		// A backend that passes its checks may still send corrupt responses to requests. An ejection for
		// corrupt responses therefore ends early only if the backend has a new incarnation.
		gauge.Failures.Store(0)
		gauge.EjectedUntil.Store(0)
		gauge.CorruptResponses.Store(0)
	}
	gauge.Incarnation.Store(response.Incarnation)
	gauge.Usage.Store(response.Usage)
	if response.SlowStart > 0 {
		gauge.SlowStartUntil.Store(ctx.Now + response.SlowStart)
	}
}

// report announces this node's report on a backend if it has changed, or withdraws the report if it is no
// longer needed.
func (c *Checker) report(ctx *kernel.Context, backend *snapshot.Backend, state *checkState, medians map[shard]clock.Micros) {
	report := wire.HealthReport{Incarnation: state.incarnation, Uptime: state.uptime}
	if incarnation := backend.Gauge.Incarnation.Load(); incarnation > report.Incarnation {
		report.Incarnation, report.Uptime = incarnation, 0
	}
	observed := observe(ctx, backend, state, medians)
	report.State = string(observed)
	unchanged := report.State == state.reported.State && report.Incarnation == state.reported.Incarnation
	reporting := state.assigned && report.Incarnation != 0 ||
		observed != snapshot.ReportHealthy && (state.reporting || c.builder.CountAgreeing(backend.ID, report, ctx.Now) < EnoughReporters)
	if reporting == state.reporting && (unchanged || !reporting) || ctx.Now-state.reportedAt < ReportInterval {
		return
	}
	state.reported, state.reportedAt, state.reporting = report, ctx.Now, reporting
	ctx.Counts.Add("opinions_told", 1)
	c.mesh.Announce(ctx, mesh.EntryHealthReport, backend.ID, wire.Encode(&report), !reporting)
}

// observe returns the state of a backend as observed by this node's checks and request path. It clears the
// count of corrupt responses once CorruptRetryDelay has passed since the end of the ejection.
func observe(ctx *kernel.Context, backend *snapshot.Backend, state *checkState, medians map[shard]clock.Micros) snapshot.ReportState {
	gauge := backend.Gauge
	if gauge.CorruptResponses.Load() > 0 && ctx.Now > gauge.EjectedUntil.Load()+CorruptRetryDelay {
		gauge.CorruptResponses.Store(0)
		gauge.EjectedUntil.Store(0)
	}
	latency := gauge.Latency.Load()
	switch {
	case gauge.CorruptResponses.Load() >= CorruptThreshold:
		return snapshot.ReportCorrupt
	case state.missed >= MissedThreshold || gauge.Failures.Load() >= snapshot.EjectThreshold:
		return snapshot.ReportUnreachable
	case latency > MinSlowLatency && latency > SlowFactor*medians[shardOf(backend)]:
		return snapshot.ReportSlow
	}
	return snapshot.ReportHealthy
}

// shard identifies a shard of an index in a shard map.
type shard struct {
	index, shardMap string
	number          int
}

func shardOf(backend *snapshot.Backend) shard {
	return shard{backend.Index, backend.ShardMap, backend.Shard}
}

// shardMedians returns the median latency of the backends of each shard. It returns nil if no backend's
// latency exceeds MinSlowLatency, since then no backend is slow.
func shardMedians(snap *snapshot.Snapshot) map[shard]clock.Micros {
	if !slices.ContainsFunc(snap.Backends, func(b *snapshot.Backend) bool { return b.Gauge.Latency.Load() > MinSlowLatency }) {
		return nil
	}
	latencies := map[shard][]clock.Micros{}
	for _, backend := range snap.Backends {
		if latency := backend.Gauge.Latency.Load(); latency > 0 {
			latencies[shardOf(backend)] = append(latencies[shardOf(backend)], latency)
		}
	}
	medians := map[shard]clock.Micros{}
	for key, of := range latencies {
		slices.Sort(of)
		medians[key] = of[len(of)/2]
	}
	return medians
}
