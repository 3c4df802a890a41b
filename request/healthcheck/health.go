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
	Observers   = 3
	ProbeEvery  = 500_000
	ProbeWithin = 400_000
	TickEvery   = 250_000
	TellEvery   = 700_000
	LostAfter   = 2
	// Enough is how many observers that say the same of a server hold back those that are not
	// among its probers: what many nodes meet at once is told by a few.
	Enough    = 6
	SlowTimes = 4
	SlowFrom  = 50_000

	ForgiveAfter = 8_000_000
)

// Report is a server's answer to a probe.
type Report struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
	UpUs        int64  `json:"up_us"`
	Usage       int64  `json:"usage"`
	Cut         string `json:"cut"`
	// ColdUs is how much longer the server stays cold, as it says itself.
	ColdUs int64 `json:"cold_us,omitempty"`
}

type watch struct {
	probed  int64
	under   bool
	missed  int
	probing bool
	up      int64
	seenInc int64
	told    wire.Opinion
	toldAt  int64
	tells   bool
}

// Checks is the plug-in of a node.
type Checks struct {
	mesh  *mesh.Mesh
	table *snapshot.Table
	// passive is that servers in order are not probed.
	passive bool
	seen    map[string]*watch
	// cp is the snapshot by whose roster and servers the probing was last shared out.
	cp *snapshot.Snapshot
}

func init() {
	kernel.Register(kernel.Registration{Rank: 70, Roles: []string{"node"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Checks{mesh: kernel.Find[*mesh.Mesh](k), table: kernel.Find[*snapshot.Table](k), passive: k.Boot.Settings.PassiveHealth, seen: map[string]*watch{}}
	}})
}

// Name is the plug-in's name.
func (c *Checks) Name() string { return "health" }

// Kinds are the frames that it takes: none.
func (c *Checks) Kinds() []uint8 { return nil }

// Step takes one input.
func (c *Checks) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		ctx.After(ctx.Rand.Int64N(TickEvery), "health", "watch")
	case kernel.Tick:
		ctx.After(TickEvery, "health", "watch")
		c.round(ctx)
	case kernel.Fetched:
		c.fetched(ctx, v)
	case kernel.Thawed:
		for _, w := range c.seen {
			w.missed = 0
		}
	}
}

// share settles which servers this node probes, once for each snapshot: names are hashed
// once, and a pair of a node and a server costs a few instructions.
func (c *Checks) share(ctx *kernel.Context, cp *snapshot.Snapshot) {
	if c.cp == cp {
		return
	}
	c.cp = cp
	mine, others := uint64(0), make([]uint64, 0, len(cp.Roster))
	for _, n := range cp.Roster {
		switch {
		case n.Origin == c.mesh.Self():
			mine = hash(n.Name)
		case n.Live:
			others = append(others, hash(n.Name))
		}
	}
	there := make(map[string]*watch, len(cp.Servers))
	for _, s := range cp.Servers {
		w := c.seen[s.ID]
		if w == nil {
			w = &watch{probed: ctx.Now - ctx.Rand.Int64N(ProbeEvery)}
		}
		there[s.ID] = w
		w.probing = !c.passive && observes(hash(s.ID), mine, others)
	}
	c.seen = there
}

// observes reports whether a node is among those that probe a server: there are few of a higher rank.
func observes(server, mine uint64, others []uint64) bool {
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

func (c *Checks) round(ctx *kernel.Context) {
	cp := c.table.Now()
	if cp == nil {
		return
	}
	c.share(ctx, cp)
	medians := shardMedians(cp)
	for _, s := range cp.Servers {
		w := c.seen[s.ID]
		if (w.probing || s.Gauge.Ejected.Load() > 0) && !w.under && ctx.Now-w.probed >= ProbeEvery-TickEvery/2 {
			w.probed, w.under = ctx.Now, true
			ctx.Counts.Add("condition_probes", 1)
			ctx.Fetch("health", s.ID, "http://"+s.Addr+"/condition", ProbeWithin)
		}
		c.opine(ctx, s, w, medians)
	}
}

func (c *Checks) fetched(ctx *kernel.Context, v kernel.Fetched) {
	w := c.seen[v.Key]
	if w == nil {
		return
	}
	w.under = false
	g := c.table.Gauges.Of(v.Key)
	var r Report
	if v.Err != "" || v.Status != 200 || json.Unmarshal(v.Body, &r) != nil || r.ID != v.Key {
		w.missed++
		return
	}
	w.missed, w.up, w.seenInc = 0, r.UpUs, r.Incarnation
	if g.Bad.Load() == 0 || r.Incarnation != g.Incarnation.Load() {
		g.Fails.Store(0)
		g.Ejected.Store(0)
		g.Bad.Store(0)
	}
	g.Incarnation.Store(r.Incarnation)
	g.Usage.Store(r.Usage)
	if r.ColdUs > 0 {
		g.Cold.Store(ctx.Now + r.ColdUs)
	}
}

// opine settles what this node thinks of a server and tells it when that changed.
func (c *Checks) opine(ctx *kernel.Context, s *snapshot.Server, w *watch, medians map[shard]int64) {
	o := wire.Opinion{State: "ok", Incarnation: w.seenInc, Up: w.up}
	if inc := s.Gauge.Incarnation.Load(); inc > o.Incarnation {
		o.Incarnation, o.Up = inc, 0
	}
	if s.Gauge.Bad.Load() > 0 && ctx.Now > s.Gauge.Ejected.Load()+ForgiveAfter {
		// A server that sent garbage gets a trial now and then.
		s.Gauge.Bad.Store(0)
		s.Gauge.Ejected.Store(0)
	}
	lat := s.Gauge.Latency.Load()
	switch {
	case s.Gauge.Bad.Load() >= 2:
		o.State = "garbage"
	case w.missed >= LostAfter || s.Gauge.Fails.Load() >= snapshot.EjectAfter:
		o.State = "lost"
	case lat > SlowFrom && lat > SlowTimes*medians[shardKey(s)]:
		o.State = "slow"
	}
	same := o.State == w.told.State && o.Incarnation == w.told.Incarnation
	telling := w.probing && o.Incarnation != 0 || o.State != "ok" && (w.tells || c.table.Agreeing(s.ID, o, ctx.Now) < Enough)
	if telling == w.tells && (same || !telling) || ctx.Now-w.toldAt < TellEvery {
		return
	}
	w.told, w.toldAt, w.tells = o, ctx.Now, telling
	ctx.Counts.Add("opinions_told", 1)
	c.mesh.Announce(ctx, "opinion", s.ID, wire.Encode(&o), !telling)
}

type shard struct {
	index, cut string
	n          int
}

func shardKey(s *snapshot.Server) shard { return shard{s.Index, s.Cut, s.Shard} }

// shardMedians is the latency of each shard's middle server, where some server may be slow at all.
func shardMedians(cp *snapshot.Snapshot) map[shard]int64 {
	if !slices.ContainsFunc(cp.Servers, func(s *snapshot.Server) bool { return s.Gauge.Latency.Load() > SlowFrom }) {
		return nil
	}
	all := map[shard][]int64{}
	for _, s := range cp.Servers {
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
