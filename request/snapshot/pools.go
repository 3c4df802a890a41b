// The pools of the routing table: which servers belong to each. The table is
// compiled once for each revision, whatever else changes.

package snapshot

import (
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/control/routing"
)

// buildPools fills in the routing table in force and its pools.
func (b *Table) buildPools(c *Snapshot) {
	if len(c.Config.Routing) == 0 {
		return
	}
	if was := b.current.Load(); was != nil && was.Routing != nil && was.Version == c.Version {
		c.Routing = was.Routing
	} else {
		src := new(routingpb.RoutingTable)
		if proto.Unmarshal(c.Config.Routing, src) != nil {
			return
		}
		c.Routing = routing.Compile(src)
	}
	c.Pools = make(map[string]*Pool, len(c.Routing.Pools))
	for name, p := range c.Routing.Pools {
		c.Pools[name] = &Pool{Pool: p}
	}
	for _, s := range c.Servers {
		if p := c.Pools[s.Pool]; p != nil && s.Pool != "" {
			p.Servers = append(p.Servers, s)
		}
	}
	h := subsetNode{name: b.Self(), zone: c.Zone, nodes: c.Divisor}
	for _, n := range c.Roster {
		if n.Zone == c.Zone {
			h.zoneNodes++
		}
	}
	for _, p := range c.Pools {
		p.assignSubset(h)
	}
}

// Self is the name of this process.
func (b *Table) Self() string { return b.k.Boot.Settings.Name }
