// What scenarios do to many machines at once: a new cut's servers, a total loss, and
// cores that are replaced.

package sim

import "wallport/runtime/clock"

// startShardMap starts the servers of a new cut, cold.
func (w *World) startShardMap(cut string, shards, per int) {
	for i := range shards * per {
		w.addServer(w.Shape.Backend(i, cut, shards, ""), shards)
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
		if w.servers[id].mode != "vanish" {
			w.servers[id].boot()
		}
	}
	for _, name := range w.names {
		w.after(w.rng.Int64N(400*clock.Millisecond), func() { w.applyProcessVerb("restart", w.processes[name]) })
	}
}

// replaceCore takes a core machine away for good and puts an empty one at a new address.
func (w *World) replaceCore(name string) {
	for _, n := range w.match(name) {
		w.applyProcessVerb("power", w.processes[n])
		old := w.processes[n]
		old.replaced = true
		i := len(w.names)
		p := w.add("core", 100+i, coreAddr(100+i))
		p.settings.Zone = old.settings.Zone
		p.start()
	}
}
