// Faults of many machines at once: the servers of a new shard map, a total loss, and replaced cores.

package sim

import "wallport/runtime/clock"

// startShardMap starts the servers of a new shard map, cold.
func (w *World) startShardMap(shardMap string, shards, per int) {
	for i := range shards * per {
		w.addServer(w.Shape.Backend(i, shardMap, shards, ""), shards)
	}
	w.platform.publish()
}

func (w *World) powerOffAll() {
	w.lostAt = w.now
	for _, name := range w.names {
		w.applyProcessVerb("power", w.processes[name])
	}
	for _, id := range w.serverIDs {
		w.servers[id].kill()
	}
}

func (w *World) startAll() {
	w.restoredAt = w.now
	for _, id := range w.serverIDs {
		if w.servers[id].mode != serverVanished {
			w.servers[id].boot()
		}
	}
	for _, name := range w.names {
		w.after(w.rng.Int64N(400*clock.Millisecond), func() { w.applyProcessVerb("restart", w.processes[name]) })
	}
}

// replaceCore removes a core machine for good and adds an empty one at a new address.
func (w *World) replaceCore(name string) {
	for _, n := range w.match(name) {
		w.applyProcessVerb("power", w.processes[n])
		old := w.processes[n]
		old.replaced = true
		i := len(w.names)
		p := w.add(roleCore, 100+i, coreAddr(100+i))
		p.settings.Zone = old.settings.Zone
		p.start()
	}
}
