// Package reshard requests the switch to an index's next shard map once the shards of that map have enough
// warm backends.
//
// Every node examines its snapshots for indexes that are being resharded. Several nodes request the switch,
// one after another, so that one lost request does not stall it. The request is an edit that names both shard
// maps, and the leader of the index's partition of the control state validates it: a duplicate or late request
// has no effect. The package's only state is its timer and the count of its checks.
package reshard

import (
	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/control/configsync"
	"wallport/control/state"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

const (
	// CheckInterval is the time between two checks while an index is being resharded.
	CheckInterval = 500 * clock.Millisecond
	// MinWarmth is the minimum share of its full traffic, in thousandths, at which a backend in slow start counts
	// as warm.
	MinWarmth = 500
	// MinBackends is the number of warm backends that each shard of the next shard map needs. Fewer suffice if
	// a shard of the current map has fewer.
	MinBackends = 2
	// checksPerRequester is the number of consecutive checks in which the same node requests the switch.
	checksPerRequester = 4
)

const (
	pluginName = "cutmove"
	timerCheck = "look"
)

// Resharder is the plug-in of a node that requests the switch to the next shard map.
type Resharder struct {
	mesh       *mesh.Mesh
	members    *membership.Members
	configSync *configsync.Sync
	builder    *snapshot.Builder
	// checks counts the checks. It determines which node requests the switch.
	checks         int
	checkScheduled bool
}

func init() {
	kernel.Register(kernel.Registration{Rank: 90, Roles: []string{"node"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Resharder{
			mesh: kernel.Find[*mesh.Mesh](k), members: kernel.Find[*membership.Members](k),
			configSync: kernel.Find[*configsync.Sync](k), builder: kernel.Find[*snapshot.Builder](k),
		}
	}})
}

// Name returns the plug-in's name.
func (r *Resharder) Name() string { return pluginName }

// Kinds returns the message kinds that the plug-in handles: none.
func (r *Resharder) Kinds() []uint8 { return nil }

// Step handles one input.
func (r *Resharder) Step(ctx *kernel.Context, in kernel.Input) {
	switch in.(type) {
	case snapshot.Built:
		r.scheduleCheck(ctx)
	case kernel.Tick:
		r.checkScheduled = false
		r.scheduleCheck(ctx)
		r.requestSwitches(ctx)
	}
}

// scheduleCheck sets the timer of the next check if an index is being resharded and no check is scheduled.
func (r *Resharder) scheduleCheck(ctx *kernel.Context) {
	if r.checkScheduled {
		return
	}
	for _, index := range r.builder.Current().Indexes {
		if index.ShardMap.Next != "" {
			r.checkScheduled = true
			ctx.After(CheckInterval, pluginName, timerCheck)
			return
		}
	}
}

// requestSwitches requests the switch of every index whose next shard map is ready.
func (r *Resharder) requestSwitches(ctx *kernel.Context) {
	current := r.builder.Current()
	if current == nil || current.Configuration == nil || current.Draining {
		return
	}
	live := r.members.Live(ctx.Now, "node")
	if len(live) == 0 || !r.shouldRequest(live) {
		return
	}
	for _, service := range current.Configuration.Services {
		index := current.Indexes[service.Index]
		if index.ShardMap.Next == "" || !Ready(index, ctx.Now) {
			continue
		}
		r.requestSwitch(ctx, service.Index, &index.ShardMap)
	}
}

// shouldRequest counts a check and reports whether this node requests switches in it. The first live node by
// name always does. In addition, each live node requests them in rotation, in case the requests of the first node do
// not arrive.
func (r *Resharder) shouldRequest(live []membership.Member) bool {
	r.checks++
	requester := live[(r.checks/checksPerRequester)%len(live)]
	return requester.Origin == r.mesh.Self() || live[0].Origin == r.mesh.Self()
}

// requestSwitch sends the edit to the leader of the index's partition, if one is known.
func (r *Resharder) requestSwitch(ctx *kernel.Context, index string, shardMap *wire.ShardMap) {
	partition := state.PartitionOf(index)
	leader := r.configSync.Leader(partition)
	if leader == "" {
		return
	}
	ctx.Counts.Add("cut_flips_asked", 1)
	ctx.Log(kernel.LevelInfo, "shard_map_switch_requested", "index", index, "from", shardMap.Name, "to", shardMap.Next)
	ctx.SendTo(leader, wire.KindEdit, 0, &wire.Edit{Partition: partition, Op: wire.OpSwitchShardMap, Name: index, Body: wire.Encode(shardMap)})
}

// Ready reports whether every shard of an index's next shard map has enough healthy, warm backends: two, or
// as many as the smallest shard of the current map has if that is fewer, but at least one.
func Ready(index *snapshot.Index, now clock.Micros) bool {
	need := MinBackends
	for _, backends := range index.Shards {
		need = min(need, max(1, len(backends)))
	}
	for _, backends := range index.NextShards {
		ready := 0
		for _, backend := range backends {
			if backend.Health == snapshot.Healthy && backend.Incarnation != 0 && backend.SlowStartShare(now, index.Service.RampUs) >= MinWarmth {
				ready++
			}
		}
		if ready < need {
			return false
		}
	}
	return len(index.NextShards) > 0
}
