// A simulated process: one kernel with its own clocks, disk and channels, and,
// on a node, the request path.

package sim

import (
	"fmt"

	_ "wallport/cluster/discovery"
	"wallport/cluster/loadreport"
	_ "wallport/control/configsync"
	_ "wallport/control/operations"
	"wallport/control/replica"
	_ "wallport/control/reshard"
	_ "wallport/request/healthcheck"
	_ "wallport/request/idempotency"
	"wallport/request/search"
	"wallport/request/snapshot"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
)

func coreAddr(i int) string { return fmt.Sprintf("10.0.1.%d:4001", i+1) }
func nodeAddr(i int) string { return fmt.Sprintf("10.0.2.%d:4001", i+1) }

const epoch = int64(1_700_000_000_000_000)

type proc struct {
	w         *World
	name      string
	role      string
	env       settings.Settings
	index     int64
	life      int
	up        bool
	frozen    bool
	frozeAt   int64
	isolated  bool
	reachedAt int64
	aloneAt   int64
	replaced  bool
	upAt      int64
	skew      int64
	kernel    *kernel.Kernel
	table     *snapshot.Table
	seats     *replica.Host
	desk      *search.Desk
	disk      *disk
	waiting   []func()
	front     *front
	calls     map[uint64]func(any)
	nextCall  uint64
	drains    bool
	// stopBy is when a core that drains ends though it is still a voter.
	stopBy int64
	again  bool
	// did counts what the process sent, received and stepped.
	did Traffic
	// freezeAt is the state of an inquiry at which this node freezes.
	freezeAt  search.State
	freezeFor int64
	// slowUs is what each input takes of a process that is slowed down, 0 otherwise; busyTo is when it is done.
	slowUs, busyTo int64
	// machine is where the process stands on a day.
	machine *machine
}

func (w *World) add(role string, i int, addr string) *proc {
	name := fmt.Sprintf("%s-%d", role, i)
	e := settings.Settings{
		Name: name, Zone: w.Shape.Zone(i), Mesh: addr, Operator: addr + "0", Seeds: w.seeds, FleetSecret: "sim",
		PollsPer10s: w.plat.allowed, LogLevel: "info",
	}
	p := &proc{w: w, name: name, role: role, env: e, index: int64(len(w.names))}
	if role == "node" {
		p.env.Caller, p.env.PlatformURL = addr+"1", "http://platform/list"
	} else {
		p.env.DataDir = "disk"
		p.disk = newDisk(p)
	}
	w.procs[name] = p
	w.names = append(w.names, name)
	w.byAddr[addr] = p
	return p
}

// runs tells that the process is up and not frozen.
func (p *proc) runs() bool { return p.up && !p.frozen }

func (p *proc) now() int64 { return p.w.now - p.upAt }

func (p *proc) start() {
	if p.up {
		return
	}
	w := p.w
	p.life++
	p.up, p.frozen, p.upAt, p.reachedAt, p.drains = true, false, w.now, w.now, false
	p.calls = map[uint64]func(any){}
	p.waiting = nil
	var seed [32]byte
	for i := range seed {
		seed[i] = byte(w.rnd.Uint32())
	}
	b := kernel.Boot{Settings: p.env, Role: p.role, Seed: w.rnd.Uint64(), Key: kernel.KeyFrom(seed[:]), Files: map[string][]byte{}}
	if p.disk != nil {
		b.Files = p.disk.load()
	}
	p.kernel = kernel.New(b)
	w.Judge.Restarted(p.name)
	w.note(p.name + " starts")
	if p.role == "node" {
		p.table = kernel.Find[*snapshot.Table](p.kernel)
	}
	switch {
	case p.role == "node" && w.day != nil:
		w.day.newGate(p, b.Seed)
	case p.role == "node":
		p.desk = search.NewDesk(search.Config{
			Table: p.table, Usage: kernel.Find[*loadreport.Reporter](p.kernel), Counts: p.kernel.Counts, Name: p.name, Seed: b.Seed, Now: 0,
		})
		p.front = newFront(p)
	default:
		p.seats = kernel.Find[*replica.Host](p.kernel)
	}
	p.step(kernel.Start{})
}

// kill ends the process at once; what its kernel knew is gone.
func (p *proc) kill() {
	if !p.up {
		return
	}
	p.w.note(p.name + " dies")
	p.up, p.frozen = false, false
	p.life++
	if p.machine == nil || !p.machine.dark {
		p.w.net.lose(p)
	}
	if p.front != nil {
		p.front.lose()
	}
	if p.machine != nil && p.w.day.gates[p] != nil {
		p.w.day.gates[p].lose()
	}
}

func (p *proc) freeze() {
	if p.runs() {
		p.frozen, p.frozeAt = true, p.w.now
		p.w.note(p.name + " freezes")
	}
}

func (p *proc) thaw() {
	if !p.up || !p.frozen {
		return
	}
	p.frozen = false
	gap := p.w.now - p.frozeAt
	p.reachedAt = p.w.now
	p.w.note(p.name + " thaws")
	if gap > 1_000_000 {
		p.step(kernel.Thawed{Gap: gap})
	}
	waiting := p.waiting
	p.waiting = nil
	for _, f := range waiting {
		f()
	}
}

// feed runs f in this life of the process, later if it is frozen.
func (p *proc) feed(f func()) {
	life := p.life
	g := func() {
		if p.up && p.life == life {
			f()
		}
	}
	switch {
	case p.up && p.frozen:
		p.waiting = append(p.waiting, g)
	case p.slowUs > 0 || p.busyTo > p.w.now:
		p.busyTo = max(p.busyTo, p.w.now) + p.slowUs
		p.w.at(p.busyTo, func() {
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

// later feeds f after a while.
func (p *proc) later(d int64, f func()) {
	life := p.life
	p.w.after(d, func() {
		if p.life == life {
			p.feed(f)
		}
	})
}

func (p *proc) step(in kernel.Input) {
	p.did.Steps++
	out := p.kernel.Step(p.now(), epoch+p.w.now+p.skew, in)
	for _, n := range out.LogEvents {
		p.w.note(p.name + " " + n.Event + " " + fmt.Sprint(n.Fields...))
	}
	for _, t := range out.Timers {
		p.later(t.At-p.now(), func() { p.step(t.Tick) })
	}
	for _, wr := range out.Writes {
		p.write(wr)
	}
	for _, a := range out.Dials {
		p.w.net.dial(p, a, true, nil)
	}
	for _, s := range out.Sends {
		p.w.net.send(p, s)
	}
	for _, ch := range out.Drops {
		p.w.net.drop(p, ch)
	}
	p.did.Fetches += int64(len(out.Fetches))
	for _, f := range out.Fetches {
		p.w.fetch(p, f)
	}
	for _, a := range out.Replies {
		if f := p.calls[a.ID]; f != nil {
			delete(p.calls, a.ID)
			f(a.Value)
		}
	}
}

// call asks a plug-in.
func (p *proc) call(plugin string, ask any, f func(any)) {
	p.nextCall++
	id := p.nextCall
	if f != nil {
		p.calls[id] = f
	}
	p.step(kernel.Call{Plugin: plugin, ID: id, Request: ask})
}
