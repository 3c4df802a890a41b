// What a scenario can do to the world.

package sim

import (
	"fmt"
	"strconv"
	"strings"

	"wallport/lab/script"
	"wallport/request/search"
)

func num(s string) int64 {
	n, _ := strconv.ParseInt(s, 10, 64)
	return n
}

func (w *World) do(st script.Step) {
	arg := func(i int) string {
		if i < len(st.Args) {
			return st.Args[i]
		}
		return ""
	}
	w.note("step " + st.Verb + " " + strings.Join(st.Args, " "))
	w.Judge.Count("steps", 1)
	defer func() { w.reach(); w.lookForBare() }()
	switch st.Verb {
	case "kill", "restart", "freeze", "thaw", "term", "lose-disk", "power":
		for _, n := range st.Args {
			for _, name := range w.match(n) {
				w.proc(st.Verb, w.procs[name])
			}
		}
	case "disk":
		for _, name := range w.match(arg(0)) {
			d := w.procs[name].disk
			d.mode, d.slow = arg(1), num(arg(2))
			if arg(1) == "ok" {
				d.mode = ""
			}
			d.next()
		}
	case "clock":
		for _, name := range w.match(arg(0)) {
			w.procs[name].skew += num(arg(1)) * 1_000_000
		}
	case "isolate", "heal":
		for _, n := range st.Args {
			for _, name := range w.match(n) {
				w.isolate(name, st.Verb == "isolate")
			}
		}
	case "cut-off", "one-way", "join":
		w.net.block(w.match(arg(0)), w.match(arg(1)), st.Verb != "one-way", st.Verb != "join")
	case "delay":
		w.net.delay = num(arg(0))
	case "doubles":
		w.net.doubles = num(arg(0))
	case "server":
		for _, id := range w.matchServers(arg(0)) {
			w.server(w.servers[id], arg(1), num(arg(2)))
		}
	case "leave":
		for _, n := range st.Args {
			for _, id := range w.matchServers(n) {
				w.servers[id].row.State = "leaving"
			}
		}
		w.plat.publish()
	case "platform":
		w.plat.mode = arg(0)
	case "zone":
		w.oper.zone(arg(0), arg(1))
	case "race":
		w.oper.race(int(num(arg(0))), arg(1))
	case "storm":
		w.oper.storm(int(num(arg(0))), num(arg(1)))
	case "retry-edit":
		w.oper.retried()
	case "rebuild":
		w.oper.rebuild(int(num(arg(0))))
	case "book":
		w.oper.book(arg(0), arg(1), num(arg(2)), num(arg(3)), num(arg(4)))
	case "seeds":
		// From now on processes that start are given other seeds.
		w.seeds = nil
		for _, n := range st.Args {
			// A deployment may have fewer machines than the scenario names.
			if p := w.procs[n]; p != nil {
				w.seeds = append(w.seeds, p.env.Mesh)
			}
		}
		for _, name := range w.names {
			w.procs[name].env.Seeds = w.seeds
		}
	case "backends":
		w.recut(arg(0), int(num(arg(1))), int(num(arg(2))))
	case "cut":
		w.oper.cut(w.Shape.Index, arg(0), int(num(arg(1))))
	case "freeze-at":
		// Freezes a node as soon as an inquiry there reaches a state, for so many milliseconds.
		p := w.procs[arg(0)]
		p.freezeAt, p.freezeFor = search.State(arg(1)), num(arg(2))*1000
	case "rate", "skew", "mix", "limits":
		w.load(st.Verb, st.Args)
	case "lose-all":
		w.loseAll()
	case "start-all":
		w.startAll()
	case "replace-core":
		w.replaceCore(arg(0))
	case "return-core":
		// A machine that was taken away comes back with the disk it had.
		for _, n := range st.Args {
			w.procs[n].replaced = false
			w.proc("restart", w.procs[n])
		}
	default:
		panic(fmt.Sprintf("%s:%d: no verb %q", w.Script.Name, st.Line, st.Verb))
	}
}

// match lists the processes that a name, a prefix with *, or "zone:z1" means.
func (w *World) match(pattern string) []string {
	var out []string
	for _, name := range w.names {
		p := w.procs[name]
		zone, byZone := strings.CutPrefix(pattern, "zone:")
		switch {
		case byZone && p.env.Zone == zone, name == pattern,
			strings.HasSuffix(pattern, "*") && strings.HasPrefix(name, strings.TrimSuffix(pattern, "*")):
			out = append(out, name)
		}
	}
	if pattern == "platform" {
		out = append(out, pattern)
	}
	if pattern == "owner" {
		for _, name := range w.names {
			if p := w.procs[name]; p.seats != nil && p.up && p.seats.Leads(0) {
				return []string{name}
			}
		}
	}
	return out
}

func (w *World) matchServers(pattern string) []string {
	var out []string
	zone, byZone := strings.CutPrefix(pattern, "zone:")
	for _, id := range w.serverN {
		if id == pattern || byZone && w.servers[id].row.Zone == zone ||
			strings.HasSuffix(pattern, "*") && strings.HasPrefix(id, strings.TrimSuffix(pattern, "*")) {
			out = append(out, id)
		}
	}
	return out
}

func (w *World) proc(verb string, p *proc) {
	w.Judge.Moved(w.now)
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
		// A process that still drains is started again once it has ended.
		p.again = p.up && p.drains
		p.start()
	case "freeze":
		p.freeze()
	case "thaw":
		p.thaw()
	case "term":
		p.stop()
	case "lose-disk":
		p.disk.lose()
	}
}

// isolate cuts a process off from every other process, platform and server aside.
func (w *World) isolate(name string, on bool) {
	w.net.alone[name] = on
}

func (w *World) server(s *server, mode string, us int64) {
	switch mode {
	case "kill":
		s.kill()
		s.mode = ""
	case "vanish":
		s.kill()
		s.mode = "vanish"
	case "boot":
		s.mode = ""
		s.boot()
	case "ok":
		s.mode = ""
	default:
		s.mode, s.us = mode, us
	}
}
