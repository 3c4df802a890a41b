package mesh

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// event is a function that runs at a simulated time.
type event struct {
	at  clock.Micros
	seq int
	run func()
}

// eventQueue is a heap of events ordered by time, then by the order in which they were added.
type eventQueue []event

func (h eventQueue) Len() int { return len(h) }
func (h eventQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventQueue) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventQueue) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// fleet is a simulated network of processes on simulated time, for tests that need many processes.
// The mesh is their only plug-in. The first three processes are the seeds.
type fleet struct {
	t      testing.TB
	now    clock.Micros
	seq    int
	queue  eventQueue
	rnd    *rand.Rand
	procs  []*process
	byAddr map[string]*process
	conns  map[uint64]connEnd
	next   uint64
	// partitioned reports whether frames from one process to another are lost.
	partitioned func(from, to *process) bool
	// bytesPerSecond is the bandwidth of each process's link; 0 is no limit.
	bytesPerSecond int64
}

// process is a simulated process. After kill and start it has a new kernel and key.
type process struct {
	i          int
	addr       string
	zone       string
	k          *kernel.Kernel
	m          *Mesh
	up         bool
	frozen     bool
	deferred   []func()
	in, out    int64
	frames     int64
	steps      int64
	crossZone  int64
	linkFreeAt int64
}

// connEnd is the other end of a connection: its process, and the id of the connection in that process.
type connEnd struct {
	p     *process
	other uint64
}

func newFleet(t testing.TB, n, zones int, seed uint64) *fleet {
	t.Helper()
	t.Logf("seed %d", seed)
	f := &fleet{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*process{}, conns: map[uint64]connEnd{}, partitioned: func(a, b *process) bool { return false }}
	for i := range n {
		p := &process{i: i, addr: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), zone: fmt.Sprintf("z%d", i%zones)}
		f.procs = append(f.procs, p)
		f.byAddr[p.addr] = p
		f.after(f.rnd.Int64N(400_000), func() { f.start(p) })
	}
	return f
}

func (f *fleet) after(d clock.Micros, run func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now + max(d, 0), f.seq, run})
}

func (f *fleet) run(until clock.Micros) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		h := heap.Pop(&f.queue).(event)
		f.now = h.at
		h.run()
	}
	f.now = until
}

func (f *fleet) start(p *process) {
	var seed [32]byte
	for i := range seed {
		seed[i] = byte(f.rnd.Uint32())
	}
	e := settings.Settings{Mesh: p.addr, Zone: p.zone}
	for i := range min(3, len(f.procs)) {
		e.Seeds = append(e.Seeds, f.procs[i].addr)
	}
	p.k = kernel.New(kernel.Boot{Settings: e, Role: "node", Seed: f.rnd.Uint64(), Key: kernel.KeyFrom(seed[:])})
	p.m, p.up, p.frozen = kernel.Find[*Mesh](p.k), true, false
	f.step(p, kernel.Start{})
	ctx := &kernel.Context{Now: f.now, Wall: f.now, Rand: p.k.Rand, Counts: p.k.Counts}
	row := wire.Member{Name: p.addr, Role: "node", Zone: p.zone, Addr: p.addr, Mesh: Release}
	p.m.Announce(ctx, EntryMember, p.m.self, wire.Encode(&row), false)
	f.applyOutput(p, ctx.Output)
}

// announce makes a process announce an entry.
func (f *fleet) announce(p *process, typ, id string, body []byte) {
	ctx := &kernel.Context{Now: f.now, Wall: f.now, Rand: p.k.Rand, Counts: p.k.Counts}
	p.m.Announce(ctx, typ, id, body, false)
	f.applyOutput(p, ctx.Output)
}

func (f *fleet) step(p *process, in kernel.Input) {
	if !p.up {
		return
	}
	if p.frozen {
		p.deferred = append(p.deferred, func() { f.step(p, in) })
		return
	}
	p.steps++
	f.applyOutput(p, p.k.Step(f.now, f.now, in))
}

func (f *fleet) applyOutput(p *process, out kernel.Output) {
	sender := p.k
	for _, t := range out.Timers {
		f.after(t.At-f.now, func() {
			if p.k == sender {
				f.step(p, t.Tick)
			}
		})
	}
	for _, a := range out.Dials {
		f.dial(p, a)
	}
	for _, s := range out.Sends {
		e, ok := f.conns[s.Conn]
		if !ok {
			continue
		}
		p.out += int64(len(s.Data))
		p.frames++
		if e.p.zone != p.zone {
			p.crossZone += int64(len(s.Data))
		}
		f.after(500+f.linkDelay(p, len(s.Data)), func() {
			if _, open := f.conns[s.Conn]; open && !f.partitioned(p, e.p) {
				e.p.in += int64(len(s.Data))
				f.step(e.p, kernel.Received{Conn: e.other, Data: s.Data})
			}
		})
	}
	for _, conn := range out.Drops {
		f.close(conn)
	}
}

func (f *fleet) dial(p *process, addr string) {
	dialler := p.k
	f.after(1500, func() {
		q := f.byAddr[addr]
		if p.k != dialler || !p.up {
			return
		}
		if q == nil || !q.up || q.frozen || f.partitioned(p, q) || f.partitioned(q, p) {
			f.after(100_000, func() { f.step(p, kernel.ConnDown{Addr: addr, Mesh: true}) })
			return
		}
		f.next += 2
		a, b := f.next, f.next+1
		f.conns[a], f.conns[b] = connEnd{q, b}, connEnd{p, a}
		f.step(p, kernel.ConnUp{Conn: a, Addr: addr, Peer: q.m.self, Zone: q.zone, Dialed: true, Mesh: true})
		f.step(q, kernel.ConnUp{Conn: b, Addr: p.addr, Peer: p.m.self, Zone: p.zone, Mesh: true})
	})
}

// close closes a connection for both sides.
func (f *fleet) close(conn uint64) {
	e, ok := f.conns[conn]
	if !ok {
		return
	}
	mine := f.conns[e.other].p
	delete(f.conns, conn)
	delete(f.conns, e.other)
	f.after(500, func() { f.step(e.p, kernel.ConnDown{Conn: e.other, Addr: mine.addr, Mesh: true}) })
}

func (f *fleet) kill(p *process) {
	p.up, p.deferred = false, nil
	for _, e := range f.conns {
		if e.p == p {
			f.close(e.other)
		}
	}
}

func (f *fleet) unfreeze(p *process, gap clock.Micros) {
	p.frozen = false
	held := p.deferred
	p.deferred = nil
	f.step(p, kernel.Thawed{Gap: gap})
	for _, run := range held {
		run()
	}
}

// live returns the number of processes other than p for which an origin is live.
func (f *fleet) live(p *process, fp string) (n int) {
	for _, q := range f.procs {
		if q != p && q.up && !q.frozen && q.m.Live(fp, f.now) {
			n++
		}
	}
	return n
}

// waitFor runs the fleet until ok holds, and returns how long that took in microseconds. It fails the
// test if ok still does not hold after the time limit most.
func (f *fleet) waitFor(most clock.Micros, ok func() bool) clock.Micros {
	f.t.Helper()
	began := f.now
	for !ok() {
		must.Less(f.t, most, f.now-began, must.Sprint("condition not met within the time limit"))
		f.run(f.now + 20_000)
	}
	return f.now - began
}
