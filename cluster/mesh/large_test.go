package mesh

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// linkDelay returns the time until the link of the sending process has transmitted a frame of the given
// size and all frames before it.
func (f *fleet) linkDelay(p *process, size int) clock.Micros {
	if f.bytesPerSecond == 0 {
		return 0
	}
	p.linkFreeAt = max(p.linkFreeAt, f.now) + int64(size)*1_000_000/f.bytesPerSecond
	return p.linkFreeAt - f.now
}

// commit makes a process announce a version of a partition.
func (f *fleet) commit(p *process, v wire.Versioned) {
	p.k.Later(func(ctx *kernel.Context) { p.m.AnnounceVersion(ctx, v) })
	f.step(p, kernel.Tick{Plugin: "nobody"})
}

func (f *fleet) bytesIn() (n int64) {
	for _, p := range f.procs {
		n += p.in
	}
	return n
}

// converged reports whether every running process reaches all processes of the fleet.
func (f *fleet) converged() bool {
	for _, p := range f.procs {
		if p.up && p.k.Counts.Of("mesh_reached").Load() < int64(len(f.procs)) {
			return false
		}
	}
	return true
}

// processesAt returns the number of processes that have stored a version.
func (f *fleet) processesAt(at wire.Version) (n int) {
	for _, p := range f.procs {
		if v, ok := p.m.Partition(at.Partition); ok && v.Version == at {
			n++
		}
	}
	return n
}

func TestLargeVersionReachesAllProcessesOverSlowLinks(t *testing.T) {
	const processes, size = 18, 2 << 20
	f := convergedFleet(t, processes, 3, 6)
	f.bytesPerSecond = 10_000_000 / 8
	at := wire.Version{Partition: 0, Term: 1, Seq: 9}
	before := f.bytesIn()
	f.commit(f.procs[0], wire.Versioned{Version: at, Body: make([]byte, size)})
	took := f.waitFor(60_000_000, func() bool {
		must.True(t, f.converged(), must.Sprint("every process must stay reachable during the transfer"))
		return f.processesAt(at) == processes
	})
	copies := float64(f.bytesIn()-before) / size
	t.Logf("all processes have the version after %d ms; %.1f copies crossed the links", took/1000, copies)
	must.Less(t, processes*1.5, copies)
}

func TestLateProcessReceivesLargeVersionOnce(t *testing.T) {
	const processes, size = 12, 1 << 20
	f := convergedFleet(t, processes, 3, 7)
	f.bytesPerSecond = 10_000_000 / 8
	at := wire.Version{Partition: 0, Term: 1, Seq: 9}
	f.commit(f.procs[0], wire.Versioned{Version: at, Body: make([]byte, size)})
	f.waitFor(60_000_000, func() bool { return f.processesAt(at) == processes })
	late := f.procs[processes-1]
	f.kill(late)
	f.run(f.now + 5_000_000)
	before := late.in
	f.start(late)
	took := f.waitFor(20_000_000, func() bool { return f.processesAt(at) == processes })
	f.run(f.now + 10_000_000)
	copies := float64(late.in-before) / size
	t.Logf("the late process has the version after %d ms; %.1f copies crossed its link", took/1000, copies)
	must.Less(t, 2.5, copies)
}

// While a process sends a large version to three peers, it ignores further requests: other neighbours
// of the requester will soon have the version.
func TestLargeVersionIsSentToThreePeersAtOnce(t *testing.T) {
	r := newRig(t)
	at := wire.Version{Partition: 0, Term: 1, Seq: 9}
	r.m.k.Later(func(ctx *kernel.Context) {
		r.m.AnnounceVersion(ctx, wire.Versioned{Version: at, Body: make([]byte, 1<<20)})
	})
	r.feed(kernel.Tick{Plugin: "nobody"})
	served := map[uint64]bool{}
	for i := range uint64(5) {
		conn := 20 + i
		r.feed(kernel.ConnUp{Conn: conn, Addr: fmt.Sprintf("10.0.1.%d:1", i), Peer: kernel.Fingerprint(key(byte(40 + i)).Public), Mesh: true})
		want := wire.Notice{Type: EntryPartition, Version: at, Want: true}
		for _, s := range r.feed(kernel.Received{Conn: conn, Data: wire.Seal(wire.KindNotice, 0, &want)}).Sends {
			if wire.KindOf(s.Data) == wire.KindChunk {
				served[s.Conn] = true
			}
		}
		r.now += 1_000_000 // so that chunks without acknowledgement no longer block other destinations
	}
	must.MapLen(t, MaxLargeSends, served)
}
