// A simulated process: a kernel with its own clocks, disk and connections, and on a node also the request path.

package sim

import (
	"fmt"
	"strings"

	"wallport/cluster/loadreport"
	_ "wallport/control/configsync"
	_ "wallport/control/operations"
	"wallport/control/replica"
	_ "wallport/request/discovery"
	_ "wallport/request/healthcheck"
	_ "wallport/request/idempotency"
	_ "wallport/request/reshard"
	"wallport/request/search"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
)

func coreAddr(i int) string { return fmt.Sprintf("10.0.1.%d:4001", i+1) }
func nodeAddr(i int) string { return fmt.Sprintf("10.0.2.%d:4001", i+1) }

const epoch = int64(1700000000 * clock.Second)

// Roles of processes; the texts are part of the process names.
const (
	roleNode = "node"
	roleCore = "core"
)

type process struct {
	sim         *Simulation
	name        string
	role        string
	settings    settings.Settings
	index       int64
	incarnation int
	up          bool
	frozen      bool
	frozenAt    clock.Micros
	isolated    bool
	reachedAt   clock.Micros
	isolatedAt  clock.Micros
	replaced    bool
	startedAt   clock.Micros
	skew        clock.Micros
	kernel      *kernel.Kernel
	snapshots   *snapshot.Builder
	replicas    *replica.Host
	dispatcher  *search.Dispatcher
	disk        *disk
	waiting     []func()
	frontend    *frontend
	calls       map[uint64]func(any)
	nextCall    uint64
	draining    bool
	// stopDeadline is when a draining core ends even if it is still a voter.
	stopDeadline       clock.Micros
	restartWhenStopped bool
	// traffic counts the frames that the process has sent and received, and its steps and fetches.
	traffic Traffic
	// When a request on this node enters the state freezeAt, the node freezes for freezeFor. An empty freezeAt means
	// never.
	freezeAt  search.State
	freezeFor clock.Micros
	// inputDelay is the time that a slowed process takes for each input, 0 for a process of normal speed. busyUntil
	// is the time at which the process will have processed the last input that it has received.
	inputDelay, busyUntil clock.Micros
	// machine is the machine that the process runs on in a day's simulation, nil otherwise.
	machine *machine
}

func (sim *Simulation) add(role string, i int, addr string) *process {
	name := fmt.Sprintf("%s-%d", role, i)
	e := settings.Settings{
		Name: name, Zone: sim.Shape.Zone(i), Mesh: addr, Operator: addr + "0", Seeds: sim.seeds, FleetSecret: "sim",
		PollsPer10s: sim.platform.callLimit, LogLevel: "info",
	}
	p := &process{sim: sim, name: name, role: role, settings: e, index: int64(len(sim.names))}
	if role == roleNode {
		p.settings.Caller, p.settings.PlatformURL = addr+"1", "http://platform/list"
	} else {
		p.settings.DataDir = "disk"
		p.disk = newDisk(p)
	}
	sim.processes[name] = p
	sim.names = append(sim.names, name)
	sim.processesByAddr[addr] = p
	return p
}

// running reports whether the process is up and not frozen.
func (p *process) running() bool { return p.up && !p.frozen }

func (p *process) now() clock.Micros { return p.sim.now - p.startedAt }

func (p *process) start() {
	if p.up {
		return
	}
	sim := p.sim
	p.incarnation++
	p.up, p.frozen, p.startedAt, p.reachedAt, p.draining = true, false, sim.now, sim.now, false
	p.calls = map[uint64]func(any){}
	p.waiting = nil
	var seed [32]byte
	for i := range seed {
		seed[i] = byte(sim.rng.Uint32())
	}
	b := kernel.Boot{Settings: p.settings, Role: p.role, Seed: sim.rng.Uint64(), Key: kernel.KeyFrom(seed[:]), Files: map[string][]byte{}}
	if p.disk != nil {
		b.Files = p.disk.load()
	}
	p.kernel = kernel.New(b)
	sim.Checker.Restarted(p.name)
	sim.logEvent(p.name + " starts")
	if p.role == roleNode {
		p.snapshots = kernel.Find[*snapshot.Builder](p.kernel)
	}
	switch {
	case p.role == roleNode && sim.day != nil:
		sim.day.newGateway(p, b.Seed)
	case p.role == roleNode:
		p.dispatcher = search.NewDispatcher(search.Config{
			Snapshots: p.snapshots, LoadReport: kernel.Find[*loadreport.Reporter](p.kernel), Counts: p.kernel.Counts, Name: p.name, Seed: b.Seed, Now: 0,
		})
		p.frontend = newFrontend(p)
	default:
		p.replicas = kernel.Find[*replica.Host](p.kernel)
	}
	p.step(kernel.Start{})
}

// kill ends the process without a shutdown; its memory is lost.
func (p *process) kill() {
	if !p.up {
		return
	}
	p.sim.logEvent(p.name + " dies")
	p.up, p.frozen = false, false
	p.incarnation++
	if p.machine == nil || !p.machine.poweredOff {
		p.sim.net.closeLinksOf(p)
	}
	if p.frontend != nil {
		p.frontend.abort()
	}
	if p.machine != nil && p.sim.day.gateways[p] != nil {
		p.sim.day.gateways[p].abort()
	}
}

func (p *process) freeze() {
	if p.running() {
		p.frozen, p.frozenAt = true, p.sim.now
		p.sim.logEvent(p.name + " freezes")
	}
}

func (p *process) thaw() {
	if !p.up || !p.frozen {
		return
	}
	p.frozen = false
	gap := p.sim.now - p.frozenAt
	p.reachedAt = p.sim.now
	p.sim.logEvent(p.name + " thaws")
	if gap > clock.Second {
		p.step(kernel.Thawed{Gap: gap})
	}
	waiting := p.waiting
	p.waiting = nil
	for _, f := range waiting {
		f()
	}
}

// deliver runs f unless this incarnation of the process has ended. If the process is frozen or busy, f runs later.
func (p *process) deliver(f func()) {
	incarnation := p.incarnation
	g := func() {
		if p.up && p.incarnation == incarnation {
			f()
		}
	}
	switch {
	case p.up && p.frozen:
		p.waiting = append(p.waiting, g)
	case p.inputDelay > 0 || p.busyUntil > p.sim.now:
		p.busyUntil = max(p.busyUntil, p.sim.now) + p.inputDelay
		p.sim.at(p.busyUntil, func() {
			if p.frozen {
				p.waiting = append(p.waiting, g)
				return
			}
			g()
		})
	default:
		g()
	}
}

// deliverAfter delivers f after a delay, unless this incarnation of the process has ended by then.
func (p *process) deliverAfter(d clock.Micros, f func()) {
	incarnation := p.incarnation
	p.sim.after(d, func() {
		if p.incarnation == incarnation {
			p.deliver(f)
		}
	})
}

func (p *process) step(in kernel.Input) {
	p.traffic.Steps++
	out := p.kernel.Step(p.now(), epoch+p.sim.now+p.skew, in)
	for _, n := range out.LogEvents {
		p.sim.logEvent(p.name + " " + n.Event + " " + fmt.Sprint(n.Fields...))
	}
	for _, t := range out.Timers {
		p.deliverAfter(t.At-p.now(), func() { p.step(t.Tick) })
	}
	for _, wr := range out.Writes {
		p.write(wr)
	}
	for _, a := range out.Dials {
		p.sim.net.dial(p, a, true, nil)
	}
	for _, s := range out.Sends {
		p.sim.net.send(p, s)
	}
	for _, ch := range out.Drops {
		p.sim.net.drop(p, ch)
	}
	p.traffic.Fetches += int64(len(out.Fetches))
	for _, f := range out.Fetches {
		p.sim.fetch(p, f)
	}
	for _, a := range out.Replies {
		if f := p.calls[a.ID]; f != nil {
			delete(p.calls, a.ID)
			f(a.Value)
		}
	}
}

// call sends a request to a plug-in and passes the answer to f, if f is not nil.
func (p *process) call(plugin string, request any, f func(any)) {
	p.nextCall++
	id := p.nextCall
	if f != nil {
		p.calls[id] = f
	}
	p.step(kernel.Call{Plugin: plugin, ID: id, Request: request})
}

// stop begins the graceful shutdown: the process accepts no new requests, finishes those in flight, and ends. A
// core first leaves its replica groups; it waits for that until stopDeadline at most.
func (p *process) stop() {
	if !p.running() {
		return
	}
	p.draining = true
	p.sim.logEvent(p.name + " drains")
	p.step(kernel.Stopping{})
	p.stopDeadline = p.sim.now + replica.LeaveTimeout
	p.deliverAfter(clock.Second, p.endWhenIdle)
}

func (p *process) endWhenIdle() {
	leaving := p.replicas != nil && !p.replicas.HasLeft() && p.sim.now < p.stopDeadline
	if leaving || p.frontend != nil && len(p.frontend.requests) > 0 {
		p.deliverAfter(20*clock.Millisecond, p.endWhenIdle)
		return
	}
	p.kill()
	if p.restartWhenStopped {
		p.restartWhenStopped = false
		p.start()
	}
}

// answerFetch returns a function that answers a plug-in's fetch after a delay. Only the first answer is delivered;
// without one the fetch times out.
func (p *process) answerFetch(f kernel.Fetch) func(after clock.Micros, r kernel.Fetched) {
	done := false
	answer := func(after clock.Micros, r kernel.Fetched) {
		r.Plugin, r.Key = f.Plugin, f.Key
		p.deliverAfter(after, func() {
			if !done {
				done = true
				p.step(r)
			}
		})
	}
	answer(f.Timeout, kernel.Fetched{Err: "timed out"})
	return answer
}

// hostOf returns the host and port of a URL, and whether it is the platform's address.
func hostOf(url string) (host string, platform bool) {
	host, _, _ = strings.Cut(strings.TrimPrefix(url, "http://"), "/")
	return host, host == "platform"
}
