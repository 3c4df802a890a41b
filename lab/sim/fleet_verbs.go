// The verbs of scenarios that simulate a fleet.

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

func (sim *Simulation) runStep(st script.Step) {
	arg := func(i int) string {
		if i < len(st.Args) {
			return st.Args[i]
		}
		return ""
	}
	sim.logEvent("step " + st.Verb + " " + strings.Join(st.Args, " "))
	sim.Checker.Count("steps", 1)
	defer func() { sim.updateReachability(); sim.recordUnservedShards() }()
	switch st.Verb {
	case "kill", "restart", "freeze", "thaw", "term", "lose-disk", "power":
		for _, n := range st.Args {
			for _, name := range sim.match(n) {
				sim.applyProcessVerb(st.Verb, sim.processes[name])
			}
		}
	case "disk":
		for _, name := range sim.match(arg(0)) {
			d := sim.processes[name].disk
			d.mode, d.extraDelay = diskMode(arg(1)), parseInt(arg(2))
			if arg(1) == "ok" {
				d.mode = diskOK
			}
			d.startNext()
		}
	case "clock":
		for _, name := range sim.match(arg(0)) {
			sim.processes[name].skew += parseInt(arg(1)) * clock.Second
		}
	case "isolate", "heal":
		for _, n := range st.Args {
			for _, name := range sim.match(n) {
				sim.isolate(name, st.Verb == "isolate")
			}
		}
	case "cut-off", "one-way", "join":
		sim.net.setBlocked(sim.match(arg(0)), sim.match(arg(1)), st.Verb != "one-way", st.Verb != "join")
	case "delay":
		sim.net.extraDelay = parseInt(arg(0))
	case "doubles":
		sim.net.duplicatePercent = parseInt(arg(0))
	case "server":
		for _, id := range sim.matchServers(arg(0)) {
			sim.setServerMode(sim.servers[id], arg(1), parseInt(arg(2)))
		}
	case "leave":
		for _, n := range st.Args {
			for _, id := range sim.matchServers(n) {
				sim.servers[id].row.State = "leaving"
			}
		}
		sim.platform.publish()
	case "platform":
		sim.platform.mode = arg(0)
	case "zone":
		sim.operators.setZone(arg(0), arg(1))
	case "race":
		sim.operators.race(int(parseInt(arg(0))), arg(1))
	case "storm":
		sim.operators.storm(int(parseInt(arg(0))), parseInt(arg(1)))
	case "retry-edit":
		sim.operators.sendTwice()
	case "rebuild":
		sim.operators.rebuild(int(parseInt(arg(0))))
	case "book":
		sim.operators.book(arg(0), arg(1), parseInt(arg(2)), parseInt(arg(3)), parseInt(arg(4)))
	case "seeds":
		// Processes that start from now on use other seeds.
		sim.seeds = nil
		for _, n := range st.Args {
			// The shape may have fewer processes than the scenario names.
			if p := sim.processes[n]; p != nil {
				sim.seeds = append(sim.seeds, p.settings.Mesh)
			}
		}
		for _, name := range sim.names {
			sim.processes[name].settings.Seeds = sim.seeds
		}
	case "backends":
		sim.startShardMap(arg(0), int(parseInt(arg(1))), int(parseInt(arg(2))))
	case "cut":
		sim.operators.setShardMap(sim.Shape.Index, arg(0), int(parseInt(arg(1))))
	case "freeze-at":
		// Freezes a node for the given number of milliseconds as soon as a request on it enters the given state.
		p := sim.processes[arg(0)]
		p.freezeAt, p.freezeFor = search.State(arg(1)), parseInt(arg(2))*clock.Millisecond
	case "rate", "skew", "mix", "limits":
		sim.applyLoadVerb(st.Verb, st.Args)
	case "lose-all":
		sim.powerOffAll()
	case "start-all":
		sim.startAll()
	case "replace-core":
		sim.replaceCore(arg(0))
	case "return-core":
		// A replaced core starts again with the disk that it had.
		for _, n := range st.Args {
			sim.processes[n].replaced = false
			sim.applyProcessVerb("restart", sim.processes[n])
		}
	default:
		panic(fmt.Sprintf("%s:%d: unknown verb %q", sim.Script.Name, st.Line, st.Verb))
	}
}

// match returns the names of the processes that match a pattern: a name, a prefix followed by *, a zone
// ("zone:z1"), "platform", or "owner", the leader of partition 0.
func (sim *Simulation) match(pattern string) []string {
	var out []string
	for _, name := range sim.names {
		p := sim.processes[name]
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
		for _, name := range sim.names {
			if p := sim.processes[name]; p.replicas != nil && p.up && p.replicas.Leads(0) {
				return []string{name}
			}
		}
	}
	return out
}

func (sim *Simulation) matchServers(pattern string) []string {
	var out []string
	zone, byZone := strings.CutPrefix(pattern, "zone:")
	for _, id := range sim.serverIDs {
		if id == pattern || byZone && sim.servers[id].row.Zone == zone ||
			strings.HasSuffix(pattern, "*") && strings.HasPrefix(id, strings.TrimSuffix(pattern, "*")) {
			out = append(out, id)
		}
	}
	return out
}

func (sim *Simulation) applyProcessVerb(verb string, p *process) {
	sim.Checker.MembershipChanged(sim.now)
	switch verb {
	case "kill":
		sim.killed[p.name] = true
		p.kill()
	case "power":
		sim.killed[p.name] = true
		if p.disk != nil {
			p.disk.powerLoss()
		}
		p.kill()
	case "restart":
		if p.replaced {
			return
		}
		delete(sim.killed, p.name)
		// A draining process starts again once it has ended.
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

// isolate partitions a process from every other process, but not from the platform and the servers, or ends that
// partition.
func (sim *Simulation) isolate(name string, on bool) {
	sim.net.isolated[name] = on
}

func (sim *Simulation) setServerMode(s *server, mode string, us clock.Micros) {
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
