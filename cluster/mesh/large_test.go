// Versions larger than a frame in the mesh: they reach every process, over links of
// little bandwidth, without many copies and without anyone being taken for lost.

package mesh

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// queued is how long a frame waits for its process's link.
func (f *fleet) queued(p *process, size int) int64 {
	if f.bytesPerSecond == 0 {
		return 0
	}
	p.free = max(p.free, f.now) + int64(size)*1_000_000/f.bytesPerSecond
	return p.free - f.now
}

// commit has a process flood a version of a partition.
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

// met tells that every process takes every other for live.
func (f *fleet) met() bool {
	for _, p := range f.procs {
		if p.up && p.k.Counts.Of("mesh_reached").Load() < int64(len(f.procs)) {
			return false
		}
	}
	return true
}

// processesAt counts those that hold a version.
func (f *fleet) processesAt(at wire.Version) (n int) {
	for _, p := range f.procs {
		if v, ok := p.m.Partition(at.Partition); ok && v.Version == at {
			n++
		}
	}
	return n
}

func TestLargeVersionReachesAllOverNarrowLinks(t *testing.T) {
	const processes, size = 18, 2 << 20
	f := convergedFleet(t, processes, 3, 6)
	f.bytesPerSecond = 10_000_000 / 8
	at := wire.Version{Partition: 0, Term: 1, Seq: 9}
	before := f.bytesIn()
	f.commit(f.procs[0], wire.Versioned{Version: at, Body: make([]byte, size)})
	took := f.until(60_000_000, func() bool {
		must.True(t, f.met(), must.Sprint("nobody is taken for lost"))
		return f.processesAt(at) == processes
	})
	copies := float64(f.bytesIn()-before) / size
	t.Logf("held by all after %d ms; %.1f copies crossed the links", took/1000, copies)
	must.Less(t, processes*1.5, copies)
}

func TestLateProcessReceivesLargeVersionOnce(t *testing.T) {
	const processes, size = 12, 1 << 20
	f := convergedFleet(t, processes, 3, 7)
	f.bytesPerSecond = 10_000_000 / 8
	at := wire.Version{Partition: 0, Term: 1, Seq: 9}
	f.commit(f.procs[0], wire.Versioned{Version: at, Body: make([]byte, size)})
	f.until(60_000_000, func() bool { return f.processesAt(at) == processes })
	late := f.procs[processes-1]
	f.kill(late)
	f.run(f.now + 5_000_000)
	before := late.in
	f.start(late)
	took := f.until(20_000_000, func() bool { return f.processesAt(at) == processes })
	f.run(f.now + 10_000_000)
	copies := float64(late.in-before) / size
	t.Logf("held after %d ms; %.1f copies crossed its link", took/1000, copies)
	must.Less(t, 2.5, copies)
}

// Who sends a large version to three already leaves the fourth to those who have it soon.
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
		r.now += 1_000_000 // those that do not answer leave room for others
	}
	must.MapLen(t, MaxLargeSends, served)
}
