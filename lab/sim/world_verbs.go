// The verbs of scenarios for the world.

package sim

import (
	"fmt"
	"strconv"
	"strings"

	"wallport/lab/script"
	"wallport/request/search"
	"wallport/runtime/clock"
)

func parseInt(s string) int64 {
	n, _ := strconv.ParseInt(s, 10, 64)
	return n
}

func (w *World) runStep(st script.Step) {
	arg := func(i int) string {
		if i < len(st.Args) {
			return st.Args[i]
		}
		return ""
	}
	w.logEvent("step " + st.Verb + " " + strings.Join(st.Args, " "))
	w.Checker.Count("steps", 1)
	defer func() { w.updateReachability(); w.recordUnservedShards() }()
	switch st.Verb {
	case "kill", "restart", "freeze", "thaw", "term", "lose-disk", "power":
		for _, n := range st.Args {
			for _, name := range w.match(n) {
				w.applyProcessVerb(st.Verb, w.processes[name])
			}
		}
	case "disk":
		for _, name := range w.match(arg(0)) {
			d := w.processes[name].disk
			d.mode, d.extraDelay = diskMode(arg(1)), parseInt(arg(2))
			if arg(1) == "ok" {
				d.mode = diskOK
			}
			d.startNext()
		}
	case "clock":
		for _, name := range w.match(arg(0)) {
			w.processes[name].skew += parseInt(arg(1)) * clock.Second
		}
	case "isolate", "heal":
		for _, n := range st.Args {
			for _, name := range w.match(n) {
				w.isolate(name, st.Verb == "isolate")
			}
		}
	case "cut-off", "one-way", "join":
		w.net.setBlocked(w.match(arg(0)), w.match(arg(1)), st.Verb != "one-way", st.Verb != "join")
	case "delay":
		w.net.extraDelay = parseInt(arg(0))
	case "doubles":
		w.net.duplicatePercent = parseInt(arg(0))
	case "server":
		for _, id := range w.matchServers(arg(0)) {
			w.setServerMode(w.servers[id], arg(1), parseInt(arg(2)))
		}
	case "leave":
		for _, n := range st.Args {
			for _, id := range w.matchServers(n) {
				w.servers[id].row.State = "leaving"
			}
		}
		w.platform.publish()
	case "platform":
		w.platform.mode = arg(0)
	case "zone":
		w.operators.setZone(arg(0), arg(1))
	case "race":
		w.operators.race(int(parseInt(arg(0))), arg(1))
	case "storm":
		w.operators.storm(int(parseInt(arg(0))), parseInt(arg(1)))
	case "retry-edit":
		w.operators.sendTwice()
	case "rebuild":
		w.operators.rebuild(int(parseInt(arg(0))))
	case "book":
		w.operators.book(arg(0), arg(1), parseInt(arg(2)), parseInt(arg(3)), parseInt(arg(4)))
	case "seeds":
		// Processes that start from now on are given other seeds.
		w.seeds = nil
		for _, n := range st.Args {
			// A deployment may have fewer machines than the scenario names.
			if p := w.processes[n]; p != nil {
				w.seeds = append(w.seeds, p.settings.Mesh)
			}
		}
		for _, name := range w.names {
			w.processes[name].settings.Seeds = w.seeds
		}
	case "backends":
		w.startShardMap(arg(0), int(parseInt(arg(1))), int(parseInt(arg(2))))
	case "cut":
		w.operators.setShardMap(w.Shape.Index, arg(0), int(parseInt(arg(1))))
	case "freeze-at":
		// Freezes a node, for the given milliseconds, as soon as a request there reaches a state.
		p := w.processes[arg(0)]
		p.freezeAt, p.freezeFor = search.State(arg(1)), parseInt(arg(2))*clock.Millisecond
	case "rate", "skew", "mix", "limits":
		w.applyLoadVerb(st.Verb, st.Args)
	case "lose-all":
		w.powerOffAll()
	case "start-all":
		w.startAll()
	case "replace-core":
		w.replaceCore(arg(0))
	case "return-core":
		// A removed machine comes back with the disk it had.
		for _, n := range st.Args {
			w.processes[n].replaced = false
			w.applyProcessVerb("restart", w.processes[n])
		}
	default:
		panic(fmt.Sprintf("%s:%d: no verb %q", w.Script.Name, st.Line, st.Verb))
	}
}

// match returns the processes that a name, a prefix with *, "zone:z1" or "owner" means.
func (w *World) match(pattern string) []string {
	var out []string
	for _, name := range w.names {
		p := w.processes[name]
		zone, byZone := strings.CutPrefix(pattern, "zone:")
		switch {
		case byZone && p.settings.Zone == zone, name == pattern,
			strings.HasSuffix(pattern, "*") && strings.HasPrefix(name, strings.TrimSuffix(pattern, "*")):
			out = append(out, name)
		}
	}
	if pattern == "platform" {
		out = append(out, pattern)
	}
	if pattern == "owner" {
		for _, name := range w.names {
			if p := w.processes[name]; p.replicas != nil && p.up && p.replicas.Leads(0) {
				return []string{name}
			}
		}
	}
	return out
}

func (w *World) matchServers(pattern string) []string {
	var out []string
	zone, byZone := strings.CutPrefix(pattern, "zone:")
	for _, id := range w.serverIDs {
		if id == pattern || byZone && w.servers[id].row.Zone == zone ||
			strings.HasSuffix(pattern, "*") && strings.HasPrefix(id, strings.TrimSuffix(pattern, "*")) {
			out = append(out, id)
		}
	}
	return out
}

func (w *World) applyProcessVerb(verb string, p *process) {
	w.Checker.Moved(w.now)
	switch verb {
	case "kill":
		w.killed[p.name] = true
		p.kill()
	case "power":
		w.killed[p.name] = true
		if p.disk != nil {
			p.disk.powerLoss()
		}
		p.kill()
	case "restart":
		if p.replaced {
			return
		}
		delete(w.killed, p.name)
		// A draining process is restarted once it has ended.
		p.restartWhenStopped = p.up && p.draining
		p.start()
	case "freeze":
		p.freeze()
	case "thaw":
		p.thaw()
	case "term":
		p.stop()
	case "lose-disk":
		p.disk.wipe()
	}
}

// isolate partitions a process from every other process, but not from the platform and the servers.
func (w *World) isolate(name string, on bool) {
	w.net.isolated[name] = on
}

func (w *World) setServerMode(s *server, mode string, us clock.Micros) {
	switch mode {
	case "kill":
		s.kill()
		s.mode = serverOK
	case "vanish":
		s.kill()
		s.mode = serverVanished
	case "boot":
		s.mode = serverOK
		s.boot()
	case "ok":
		s.mode = serverOK
	default:
		s.mode, s.slowUs = serverMode(mode), us
	}
}
