// Events that affect many machines: the start of the servers of a new shard map, total power loss and its end, and
// the replacement of cores.

package sim

import "wallport/runtime/clock"

// startShardMap starts the servers of a new shard map; they are cold.
func (sim *Simulation) startShardMap(shardMap string, shards, per int) {
	for i := range shards * per {
		sim.addServer(sim.Shape.Backend(i, shardMap, shards, ""), shards)
	}
	sim.platform.publish()
}

func (sim *Simulation) powerOffAll() {
	sim.lostAt = sim.now
	for _, name := range sim.names {
		sim.applyProcessVerb("power", sim.processes[name])
	}
	for _, id := range sim.serverIDs {
		sim.servers[id].kill()
	}
}

func (sim *Simulation) startAll() {
	sim.restoredAt = sim.now
	for _, id := range sim.serverIDs {
		if sim.servers[id].mode != serverVanished {
			sim.servers[id].boot()
		}
	}
	for _, name := range sim.names {
		sim.after(sim.rng.Int64N(400*clock.Millisecond), func() { sim.applyProcessVerb("restart", sim.processes[name]) })
	}
}

// replaceCore removes a core machine for good and adds one with an empty disk at a new address in the same zone.
func (sim *Simulation) replaceCore(name string) {
	for _, n := range sim.match(name) {
		sim.applyProcessVerb("power", sim.processes[n])
		old := sim.processes[n]
		old.replaced = true
		i := len(sim.names)
		p := sim.add(roleCore, 100+i, coreAddr(100+i))
		p.settings.Zone = old.settings.Zone
		p.start()
	}
}
