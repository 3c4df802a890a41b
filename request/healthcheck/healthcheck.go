// Package healthcheck watches the servers. Each server is probed by a few nodes
// chosen by rendezvous, and by any node that has it ejected; what a node sees
// of a server, on the request path or by probes, becomes its opinion, signed
// and told over the mesh when it changes and not too often.
package healthcheck

import (
	"encoding/json"
	"hash/fnv"
	"slices"

	"wallport/cluster/mesh"
	"wallport/request/snapshot"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of the probes.
const (
	Observers       = 3
	CheckInterval   = 500_000
	CheckTimeout    = 400_000
	TickInterval    = 250_000
	ReportInterval  = 700_000
	MissedThreshold = 2
	// EnoughReporters is how many observers that say the same of a server hold back those that are not
	// among its probers: what many nodes meet at once is told by a few.
	EnoughReporters = 6
	SlowFactor      = 4
	MinSlowLatency  = 50_000

	ForgiveAfter = 8_000_000
)

// Response is a server's answer to a probe.
type Response struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
	UpUs        int64  `json:"up_us"`
	Usage       int64  `json:"usage"`
	ShardMap    string `json:"cut"`
	// SlowStart is how much longer the server stays cold, as it says itself.
	SlowStart int64 `json:"cold_us,omitempty"`
}

type checkState struct {
	checkedAt   int64
	inFlight    bool
	missed      int
	assigned    bool
	uptime      int64
	incarnation int64
	reported    wire.HealthReport
	reportedAt  int64
	reporting   bool
}

// Checker is the plug-in of a node.
type Checker struct {
	mesh  *mesh.Mesh
	table *snapshot.Table
	// passive is that servers in order are not probed.
	passive bool
	states  map[string]*checkState
	// assignedFor is the snapshot by whose roster and servers the probing was last shared out.
	assignedFor *snapshot.Snapshot
}

func init() {
	kernel.Register(kernel.Registration{Rank: 70, Roles: []string{"node"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Checker{mesh: kernel.Find[*mesh.Mesh](k), table: kernel.Find[*snapshot.Table](k), passive: k.Boot.Settings.PassiveHealth, states: map[string]*checkState{}}
	}})
}

// Name is the plug-in's name.
func (c *Checker) Name() string { return "health" }

// Kinds are the frames that it takes: none.
func (c *Checker) Kinds() []uint8 { return nil }

// Step takes one input.
func (c *Checker) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		ctx.After(ctx.Rand.Int64N(TickInterval), "health", "watch")
	case kernel.Tick:
		ctx.After(TickInterval, "health", "watch")
		c.checkAll(ctx)
	case kernel.Fetched:
		c.handleResponse(ctx, v)
	case kernel.Thawed:
		for _, state := range c.states {
			state.missed = 0
		}
	}
}

// assign settles which servers this node probes, once for each snapshot: names are hashed
// once, and a pair of a node and a server costs a few instructions.
func (c *Checker) assign(ctx *kernel.Context, snap *snapshot.Snapshot) {
	if c.assignedFor == snap {
		return
	}
	c.assignedFor = snap
	mine, others := uint64(0), make([]uint64, 0, len(snap.Roster))
	for _, n := range snap.Roster {
		switch {
		case n.Origin == c.mesh.Self():
			mine = hash(n.Name)
		case n.Live:
			others = append(others, hash(n.Name))
		}
	}
	there := make(map[string]*checkState, len(snap.Backends))
	for _, s := range snap.Backends {
		state := c.states[s.ID]
		if state == nil {
			state = &checkState{checkedAt: ctx.Now - ctx.Rand.Int64N(CheckInterval)}
		}
		there[s.ID] = state
		state.assigned = !c.passive && isObserver(hash(s.ID), mine, others)
	}
	c.states = there
}

// isObserver reports whether a node is among those that probe a server: there are few of a higher rank.
func isObserver(server, mine uint64, others []uint64) bool {
	own, above := mix(mine^server), 0
	for _, o := range others {
		if mix(o^server) > own {
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

func (c *Checker) checkAll(ctx *kernel.Context) {
	snap := c.table.Current()
	if snap == nil {
		return
	}
	c.assign(ctx, snap)
	medians := shardMedians(snap)
	for _, s := range snap.Backends {
		state := c.states[s.ID]
		if (state.assigned || s.Gauge.EjectedUntil.Load() > 0) && !state.inFlight && ctx.Now-state.checkedAt >= CheckInterval-TickInterval/2 {
			state.checkedAt, state.inFlight = ctx.Now, true
			ctx.Counts.Add("condition_probes", 1)
			ctx.Fetch("health", s.ID, "http://"+s.Addr+"/condition", CheckTimeout)
		}
		c.report(ctx, s, state, medians)
	}
}

func (c *Checker) handleResponse(ctx *kernel.Context, v kernel.Fetched) {
	state := c.states[v.Key]
	if state == nil {
		return
	}
	state.inFlight = false
	g := c.table.Gauges.Of(v.Key)
	var r Response
	if v.Err != "" || v.Status != 200 || json.Unmarshal(v.Body, &r) != nil || r.ID != v.Key {
		state.missed++
		return
	}
	state.missed, state.uptime, state.incarnation = 0, r.UpUs, r.Incarnation
	if g.CorruptResponses.Load() == 0 || r.Incarnation != g.Incarnation.Load() {
		g.Failures.Store(0)
		g.EjectedUntil.Store(0)
		g.CorruptResponses.Store(0)
	}
	g.Incarnation.Store(r.Incarnation)
	g.Usage.Store(r.Usage)
	if r.SlowStart > 0 {
		g.SlowStartUntil.Store(ctx.Now + r.SlowStart)
	}
}

// report settles what this node thinks of a server and tells it when that changed.
func (c *Checker) report(ctx *kernel.Context, s *snapshot.Backend, state *checkState, medians map[shard]int64) {
	o := wire.HealthReport{State: "ok", Incarnation: state.incarnation, Uptime: state.uptime}
	if inc := s.Gauge.Incarnation.Load(); inc > o.Incarnation {
		o.Incarnation, o.Uptime = inc, 0
	}
	if s.Gauge.CorruptResponses.Load() > 0 && ctx.Now > s.Gauge.EjectedUntil.Load()+ForgiveAfter {
		// A server that sent garbage gets a trial now and then.
		s.Gauge.CorruptResponses.Store(0)
		s.Gauge.EjectedUntil.Store(0)
	}
	lat := s.Gauge.Latency.Load()
	switch {
	case s.Gauge.CorruptResponses.Load() >= 2:
		o.State = "garbage"
	case state.missed >= MissedThreshold || s.Gauge.Failures.Load() >= snapshot.EjectThreshold:
		o.State = "lost"
	case lat > MinSlowLatency && lat > SlowFactor*medians[shardKey(s)]:
		o.State = "slow"
	}
	same := o.State == state.reported.State && o.Incarnation == state.reported.Incarnation
	telling := state.assigned && o.Incarnation != 0 || o.State != "ok" && (state.reporting || c.table.CountAgreeing(s.ID, o, ctx.Now) < EnoughReporters)
	if telling == state.reporting && (same || !telling) || ctx.Now-state.reportedAt < ReportInterval {
		return
	}
	state.reported, state.reportedAt, state.reporting = o, ctx.Now, telling
	ctx.Counts.Add("opinions_told", 1)
	c.mesh.Announce(ctx, "opinion", s.ID, wire.Encode(&o), !telling)
}

type shard struct {
	index, shardMap string
	n               int
}

func shardKey(s *snapshot.Backend) shard { return shard{s.Index, s.ShardMap, s.Shard} }

// shardMedians is the latency of each shard's middle server, where some server may be slow at all.
func shardMedians(snap *snapshot.Snapshot) map[shard]int64 {
	if !slices.ContainsFunc(snap.Backends, func(s *snapshot.Backend) bool { return s.Gauge.Latency.Load() > MinSlowLatency }) {
		return nil
	}
	all := map[shard][]int64{}
	for _, s := range snap.Backends {
		if l := s.Gauge.Latency.Load(); l > 0 {
			all[shardKey(s)] = append(all[shardKey(s)], l)
		}
	}
	out := map[shard]int64{}
	for k, v := range all {
		slices.Sort(v)
		out[k] = v[len(v)/2]
	}
	return out
}
