// What scenarios do to many machines at once: a new cut's servers, a total loss, and
// cores that are replaced.

package sim

// recut starts the servers of a new cut, cold.
func (w *World) recut(cut string, shards, per int) {
	for i := range shards * per {
		w.addServer(w.Shape.Server(i, cut, shards, ""), shards)
	}
	w.plat.publish()
}

func (w *World) loseAll() {
	w.lost = w.now
	for _, name := range w.names {
		w.proc("power", w.procs[name])
	}
	for _, id := range w.serverN {
		w.servers[id].kill()
	}
}

func (w *World) startAll() {
	w.back = w.now
	for _, id := range w.serverN {
		if w.servers[id].mode != "vanish" {
			w.servers[id].boot()
		}
	}
	for _, name := range w.names {
		w.after(w.rnd.Int64N(400_000), func() { w.proc("restart", w.procs[name]) })
	}
}

// replaceCore takes a core machine away for good and puts an empty one at a new address.
func (w *World) replaceCore(name string) {
	for _, n := range w.match(name) {
		w.proc("power", w.procs[n])
		old := w.procs[n]
		old.replaced = true
		i := len(w.names)
		p := w.add("core", 100+i, coreAddr(100+i))
		p.env.Zone = old.env.Zone
		p.start()
	}
}
