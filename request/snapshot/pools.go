package snapshot

import (
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/control/routing"
)

// buildPools sets the routing table in force, which is compiled once for each version, and its
// pools.
func (table *Table) buildPools(snap *Snapshot) {
	if len(snap.Config.Routing) == 0 {
		return
	}
	if was := table.current.Load(); was != nil && was.Routing != nil && was.Version == snap.Version {
		snap.Routing = was.Routing
	} else {
		src := new(routingpb.RoutingTable)
		if proto.Unmarshal(snap.Config.Routing, src) != nil {
			return
		}
		snap.Routing = routing.Compile(src)
	}
	snap.Pools = make(map[string]*Pool, len(snap.Routing.Pools))
	for name, p := range snap.Routing.Pools {
		snap.Pools[name] = &Pool{Pool: p}
	}
	for _, s := range snap.Backends {
		if p := snap.Pools[s.Pool]; p != nil && s.Pool != "" {
			p.Backends = append(p.Backends, s)
		}
	}
	self := subsetNode{name: table.Self(), zone: snap.Zone, nodes: snap.Divisor}
	for _, n := range snap.Roster {
		if n.Zone == snap.Zone {
			self.zoneNodes++
		}
	}
	for _, p := range snap.Pools {
		p.assignSubset(self)
	}
}

// Self returns the name of this process.
func (table *Table) Self() string { return table.k.Boot.Settings.Name }
