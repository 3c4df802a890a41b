package mesh

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// convergedFleet returns a fleet that has converged and then run for another 10 s.
func convergedFleet(t testing.TB, n, zones int, seed uint64) *fleet {
	t.Helper()
	f := newFleet(t, n, zones, seed)
	f.run(500_000)
	f.waitFor(10_000_000, f.converged)
	f.run(f.now + 10_000_000)
	must.True(t, f.converged())
	return f
}

func TestFleetConverges(t *testing.T) {
	for _, n := range []int{2, 3, 15, 40} {
		f := newFleet(t, n, 4, uint64(n))
		f.run(500_000)
		took := f.waitFor(10_000_000, f.converged)
		must.Less(t, 5_000_000, took)
	}
}

func TestLostProcessIsDetectedByAll(t *testing.T) {
	f := convergedFleet(t, 32, 4, 1)
	dead := f.procs[25]
	fp := dead.m.self
	f.kill(dead)
	must.LessEq(t, LivenessTimeout, f.waitFor(5_000_000, func() bool { return f.live(dead, fp) == 0 }), must.Sprint("all processes must detect in time that a process was killed"))
	f.procs = append(f.procs[:25], f.procs[26:]...)
	frozen := f.procs[20]
	frozen.frozen = true
	must.LessEq(t, LivenessTimeout+200_000, f.waitFor(5_000_000, func() bool { return f.live(frozen, frozen.m.self) == 0 }), must.Sprint("all processes must detect in time that a process is frozen"))
	f.unfreeze(frozen, 4_000_000)
	must.Less(t, 5_000_000, f.waitFor(6_000_000, func() bool { return f.live(frozen, frozen.m.self) == len(f.procs)-1 }), must.Sprint("after a freeze, the process must become live for all others in time"))
}

func TestIsolatedProcessIsUnreachableInBothDirections(t *testing.T) {
	f := convergedFleet(t, 24, 4, 2)
	isolated := f.procs[17]
	f.partitioned = func(a, b *process) bool { return a == isolated || b == isolated }
	f.waitFor(6_000_000, func() bool { return f.live(isolated, isolated.m.self) == 0 })
	f.waitFor(1_000_000, func() bool { return isolated.k.Counts.Of("mesh_reached").Load() <= 1 })
	f.partitioned = func(a, b *process) bool { return false }
	f.waitFor(6_000_000, f.converged)
}

func TestFleetSplitsAndHeals(t *testing.T) {
	for _, apart := range []int64{8_000_000, 50_000_000} {
		f := convergedFleet(t, 24, 4, 3)
		inFirstHalf := func(p *process) bool { return p.i%8 < 4 }
		f.partitioned = func(a, b *process) bool { return inFirstHalf(a) != inFirstHalf(b) }
		took := f.waitFor(6_000_000, func() bool {
			for _, p := range f.procs {
				if p.k.Counts.Of("mesh_reached").Load() != 12 {
					return false
				}
			}
			return true
		})
		must.LessEq(t, LivenessTimeout+PeerTimeout/4, took)
		f.run(f.now + apart)
		announcer := f.procs[3]
		f.announce(announcer, EntryHealthReport, "s", []byte("x"))
		f.partitioned = func(a, b *process) bool { return false }
		f.waitFor(12_000_000, f.converged)
		f.waitFor(4_000_000, func() bool {
			for _, p := range f.procs {
				if p != announcer && p.m.store.origins[announcer.m.self].entries[EntryHealthReport+"\x00s"] == nil {
					return false
				}
			}
			return true
		})
	}
}

func TestLateProcessCatchesUp(t *testing.T) {
	f := convergedFleet(t, 21, 3, 4)
	for i := range 200 {
		f.announce(f.procs[i%21], EntryHealthReport, string(rune('a'+i)), []byte("x"))
	}
	f.run(f.now + 2_000_000)
	late := f.procs[20]
	f.kill(late)
	f.run(f.now + 1_000_000)
	f.start(late)
	f.waitFor(4_000_000, func() bool {
		n := 0
		late.m.Each(EntryHealthReport, func(*wire.Entry, string) { n++ })
		return n >= 190
	})
	for _, p := range f.procs[:20] {
		f.waitFor(3_000_000, func() bool { return p.m.digest() == late.m.digest() })
	}
}

func TestLargeEntryIsSentOncePerReceiver(t *testing.T) {
	const size = 20_000
	f := convergedFleet(t, 24, 4, 5)
	announcer := f.procs[7]
	var before int64
	for _, p := range f.procs {
		before += p.in
	}
	f.announce(announcer, EntryBackendList, "l", make([]byte, size))
	began := f.now
	f.waitFor(1_000_000, func() bool {
		for _, p := range f.procs {
			if origin := p.m.store.origins[announcer.m.self]; origin == nil || origin.entries[EntryBackendList+"\x00l"] == nil {
				return false
			}
		}
		return true
	})
	must.Less(t, 200_000, f.now-began)
	var after int64
	for _, p := range f.procs {
		after += p.in
	}
	must.Less(t, 24*size*3/2, after-before)
}

func TestLargeEntryIsRequestedFromAnotherPeerAfterTimeout(t *testing.T) {
	r := newRig(t)
	r.feed(kernel.ConnUp{Conn: 8, Addr: "10.0.0.3:1", Peer: kernel.Fingerprint(key(3).Public), Mesh: true})
	n := wire.Notice{Type: EntryBackendList, ID: "l", Origin: kernel.Fingerprint(key(4).Public), Count: 3, Hops: 2}
	requestsAfterNoticeFrom := func(ch uint64) int {
		return len(r.feed(kernel.Received{Conn: ch, Data: wire.Seal(wire.KindNotice, 0, &n)}).Sends)
	}
	must.Eq(t, 1, requestsAfterNoticeFrom(7), must.Sprint("an unknown entry must be requested"))
	must.Eq(t, 0, requestsAfterNoticeFrom(8), must.Sprint("no second request may be sent while the first is in flight"))
	r.now += EntryRequestTimeout
	must.Eq(t, 1, requestsAfterNoticeFrom(8), must.Sprint("the entry must be requested from another peer after the time-out"))
	n.Count = 4
	must.Eq(t, 1, requestsAfterNoticeFrom(7), must.Sprint("a newer entry of the same id must be requested separately"))
}
