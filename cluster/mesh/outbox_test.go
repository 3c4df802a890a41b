package mesh

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

const (
	firstPeer  uint64 = 7
	secondPeer uint64 = 8
)

// newTwoPeerRig returns a mesh that has two peers and has just forwarded an entry.
func newTwoPeerRig(t testing.TB) *rig {
	t.Helper()
	r := newRig(t)
	r.feed(kernel.ConnUp{Conn: secondPeer, Addr: "10.0.0.3:1", Peer: kernel.Fingerprint(key(3).Public), Mesh: true})
	must.Len(t, 1, r.gossip(newEntry(key(2), EntryHealthReport, "first", 1)).Sends)
	return r
}

func (r *rig) gossipFrom(peer uint64, entry *wire.Entry) kernel.Output {
	return r.feed(kernel.Received{Conn: peer, Data: wire.Seal(wire.KindGossip, uint64(byFlood), entry)})
}

func (r *rig) forwardTick() kernel.Output {
	r.now += ForwardInterval
	return r.feed(kernel.Tick{Plugin: pluginName, Key: timerForward})
}

func TestEntriesOfABurstAreForwardedTogether(t *testing.T) {
	r := newTwoPeerRig(t)
	second, third := newEntry(key(2), EntryHealthReport, "second", 2), newEntry(key(2), EntryHealthReport, "third", 3)
	out := r.gossip(second)
	must.SliceEmpty(t, out.Sends)
	must.Len(t, 1, out.Timers, must.Sprint("one timer must be set for the batch"))
	must.SliceEmpty(t, r.gossip(third).Timers)
	sends := r.forwardTick().Sends
	must.Len(t, 2, sends)
	for _, s := range sends {
		must.Eq(t, secondPeer, s.Conn)
	}
	must.SliceEmpty(t, r.forwardTick().Sends, must.Sprint("each entry must be forwarded only once"))
}

func TestEntryIsNotForwardedToAPeerThatSentIt(t *testing.T) {
	r := newTwoPeerRig(t)
	entry := newEntry(key(2), EntryHealthReport, "second", 2)
	r.gossipFrom(firstPeer, entry)
	copied := *entry
	copied.Hops = 3
	r.gossipFrom(secondPeer, &copied)
	must.Eq(t, 1, r.count("mesh_forwards_spared"))
	must.SliceEmpty(t, r.forwardTick().Sends)
}

func TestStoppingProcessForwardsWithoutBatching(t *testing.T) {
	r := newTwoPeerRig(t)
	r.gossip(newEntry(key(2), EntryHealthReport, "second", 2))
	must.Len(t, 1, r.feed(kernel.Stopping{}).Sends)
	must.Len(t, 1, r.gossip(newEntry(key(2), EntryHealthReport, "third", 3)).Sends)
}

func TestDuplicatesAreRecognizedByFrameHash(t *testing.T) {
	r := newTwoPeerRig(t)
	entry := newEntry(key(2), EntryHealthReport, "second", 2)
	r.gossip(entry)
	for hops := range uint8(3) {
		copied := *entry
		copied.Hops = hops
		frame := r.m.seen.frameHash(wire.Encode(&copied))
		seen, ok := r.m.seen.entryOfFrame(frame, r.now)
		must.True(t, ok)
		must.Eq(t, seenKey(entry), seen)
	}
	changed := *entry
	changed.Body = []byte("y")
	_, ok := r.m.seen.entryOfFrame(r.m.seen.frameHash(wire.Encode(&changed)), r.now)
	must.False(t, ok, must.Sprint("a frame with another body must have another hash"))
}

func TestFrameHashesExpireWithTheirEntries(t *testing.T) {
	s := newSeenSet()
	for i := range uint64(MaxSeen + 10) {
		s.add(i, int64(i))
		s.addFrame(1000+i, i)
	}
	must.MapLen(t, MaxSeen, s.frames)
	must.MapLen(t, MaxSeen, s.framesOf)
	s.add(1<<40, SeenTTL+2*MaxSeen)
	must.MapEmpty(t, s.frames)
}

// Guards against a flood of duplicates when all processes of a fleet announce entries in a burst, for
// example when a configuration takes effect. Batching lets a process skip the peers that have sent the
// entry in the meantime.
func TestBurstOfAllProcessesSendsFewDuplicates(t *testing.T) {
	const processes, entries = 32, 5
	f := convergedFleet(t, processes, 4, 6)
	f.run(f.now + 20_000_000)
	var before int64
	for _, p := range f.procs {
		before += p.frames
	}
	for i := range entries {
		for _, p := range f.procs {
			f.after(f.rnd.Int64N(50_000), func() { f.announce(p, EntryHealthReport, string(rune('a'+i)), []byte("x")) })
		}
	}
	f.run(f.now + 900_000)
	var after int64
	for _, p := range f.procs {
		after += p.frames
		must.Eq(t, processes, int64(len(p.m.store.origins)))
		for _, origin := range p.m.store.origins {
			must.MapLen(t, 1+1+entries, origin.entries, must.Sprint("every process must have all entries of every origin"))
		}
	}
	copies := float64(after-before) / (processes * processes * entries)
	t.Logf("%.2f frames for each entry and process", copies)
	must.Less(t, 3.5, copies)
}
