package snapshot

import (
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/control/routing"
)

// buildPools sets the snapshot's routing table and the pools of that table. The routing table is compiled only
// once for each version.
func (builder *Builder) buildPools(snap *Snapshot) {
	if len(snap.Config.Routing) == 0 {
		return
	}
	if was := builder.current.Load(); was != nil && was.Routing != nil && was.Version == snap.Version {
		snap.Routing = was.Routing
	} else {
		source := new(routingpb.RoutingTable)
		if proto.Unmarshal(snap.Config.Routing, source) != nil {
			return
		}
		snap.Routing = routing.Compile(source)
	}
	snap.Pools = make(map[string]*Pool, len(snap.Routing.Pools))
	for name, pool := range snap.Routing.Pools {
		snap.Pools[name] = &Pool{Pool: pool}
	}
	for _, backend := range snap.Backends {
		if pool := snap.Pools[backend.Pool]; pool != nil && backend.Pool != "" {
			pool.Backends = append(pool.Backends, backend)
		}
	}
	self := subsetNode{name: builder.Self(), zone: snap.Zone, nodes: snap.Divisor}
	for _, node := range snap.Roster {
		if node.Zone == snap.Zone {
			self.zoneNodes++
		}
	}
	for _, pool := range snap.Pools {
		pool.assignSubset(self)
	}
}

// Self returns the name of this process.
func (builder *Builder) Self() string { return builder.k.Boot.Settings.Name }
