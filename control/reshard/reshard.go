// Package reshard flips an index to its next cut once every new shard has
// enough warm servers. Any node may ask for the flip and they take turns; the
// flip is an edit that names the move it ends and is judged by the leader of
// the index's partition, so that a second one, or a late one, changes nothing.
package reshard

import (
	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/control/configsync"
	"wallport/control/state"
	"wallport/request/snapshot"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of a move.
const (
	CheckInterval = 500_000
	MinWarmth     = 500
	MinServers    = 2
)

// Resharder is the plug-in of a node.
type Resharder struct {
	mesh       *mesh.Mesh
	members    *membership.Members
	configSync *configsync.Sync
	table      *snapshot.Table
	checks     int
	armed      bool
}

func init() {
	kernel.Register(kernel.Registration{Rank: 90, Roles: []string{"node"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Resharder{
			mesh: kernel.Find[*mesh.Mesh](k), members: kernel.Find[*membership.Members](k),
			configSync: kernel.Find[*configsync.Sync](k), table: kernel.Find[*snapshot.Table](k),
		}
	}})
}

// Name is the plug-in's name.
func (c *Resharder) Name() string { return "cutmove" }

// Kinds are the frames that it takes: none.
func (c *Resharder) Kinds() []uint8 { return nil }

// Step takes one input.
func (c *Resharder) Step(ctx *kernel.Context, in kernel.Input) {
	switch in.(type) {
	case snapshot.Built:
		c.arm(ctx)
	case kernel.Tick:
		c.armed = false
		c.arm(ctx)
		c.requestFlips(ctx)
	}
}

// arm has it looked again for as long as some index is being moved.
func (c *Resharder) arm(ctx *kernel.Context) {
	if c.armed {
		return
	}
	for _, x := range c.table.Current().Indexes {
		if x.ShardMap.Next != "" {
			c.armed = true
			ctx.After(CheckInterval, "cutmove", "look")
			return
		}
	}
}

// requestFlips asks for the flip of every move that is ready. The first live node by
// name does it, and the others after it in turn where nothing came of it; the
// edit is judged by the partition's leader, so that two who try flip once.
func (c *Resharder) requestFlips(ctx *kernel.Context) {
	cp := c.table.Current()
	if cp == nil || cp.Configuration == nil || cp.Draining {
		return
	}
	live := c.members.Live(ctx.Now, "node")
	if len(live) == 0 {
		return
	}
	c.checks++
	if live[(c.checks/4)%len(live)].Origin != c.mesh.Self() && live[0].Origin != c.mesh.Self() {
		return
	}
	for _, name := range configuredIndexes(cp) {
		x := cp.Indexes[name]
		if x.ShardMap.Next == "" || !Ready(x, ctx.Now) {
			continue
		}
		partition := state.PartitionOf(name)
		addr := c.configSync.Leader(partition)
		if addr == "" {
			continue
		}
		ctx.Counts.Add("cut_flips_asked", 1)
		ctx.Log(kernel.LevelInfo, "cut_flip", "index", name, "from", x.ShardMap.Name, "to", x.ShardMap.Next)
		ctx.SendTo(addr, wire.KindEdit, 0, &wire.Edit{Partition: partition, Op: "flip", Name: name, Body: wire.Encode(&x.ShardMap)})
	}
}

// Ready reports whether every shard of the next cut has enough good, warm
// servers: two, or as many as the live cut's thinnest shard has.
func Ready(x *snapshot.Index, now int64) bool {
	need := MinServers
	for _, s := range x.Shards {
		need = min(need, max(1, len(s)))
	}
	for _, s := range x.NextShards {
		n := 0
		for _, v := range s {
			if v.Health == snapshot.Healthy && v.Incarnation != 0 && v.SlowStartShare(now, x.Service.RampUs) >= MinWarmth {
				n++
			}
		}
		if n < need {
			return false
		}
	}
	return len(x.NextShards) > 0
}

func configuredIndexes(cp *snapshot.Snapshot) []string {
	var out []string
	for _, s := range cp.Configuration.Services {
		out = append(out, s.Index)
	}
	return out
}
