package mesh

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

func key(b byte) kernel.Key {
	seed := make([]byte, 32)
	seed[0] = b
	return kernel.KeyFrom(seed)
}

// rig is a mesh under test with one peer, on connection 7.
type rig struct {
	k   *kernel.Kernel
	m   *Mesh
	now clock.Micros
}

func newRig(t testing.TB) *rig {
	t.Helper()
	k := kernel.New(kernel.Boot{Settings: settings.Settings{Mesh: "10.0.0.1:1"}, Role: "node", Seed: 1, Key: key(1)})
	r := &rig{k: k, m: kernel.Find[*Mesh](k), now: 1_000_000}
	r.feed(kernel.Start{})
	r.feed(kernel.ConnUp{Conn: 7, Addr: "10.0.0.2:1", Peer: kernel.Fingerprint(key(2).Public), Mesh: true})
	return r
}

func (r *rig) feed(in kernel.Input) kernel.Output { return r.k.Step(r.now, r.now, in) }

func (r *rig) gossip(entry *wire.Entry) kernel.Output {
	return r.feed(kernel.Received{Conn: 7, Data: wire.Seal(wire.KindGossip, 0, entry)})
}

func newEntry(k kernel.Key, typ, id string, count uint64) *wire.Entry {
	entry := &wire.Entry{Type: typ, ID: id, Origin: k.Public, Count: count, At: int64(count), Body: []byte("x")}
	sign(entry, k)
	return entry
}

func (r *rig) count(name string) int64 { return r.k.Counts.Of(name).Load() }

func (r *rig) storedEntries(typ string) (n int) {
	r.m.Each(typ, func(*wire.Entry, string) { n++ })
	return n
}

func TestGoodEntryIsStoredAndForwarded(t *testing.T) {
	r := newRig(t)
	r.feed(kernel.ConnUp{Conn: 8, Addr: "10.0.0.3:1", Peer: kernel.Fingerprint(key(3).Public), Mesh: true})
	out := r.gossip(newEntry(key(2), EntryHealthReport, "s1", 1))
	must.Eq(t, 1, r.storedEntries(EntryHealthReport))
	must.Len(t, 1, out.Sends)
	must.Eq(t, uint64(8), out.Sends[0].Conn, must.Sprint("the entry must be forwarded to all peers except its sender"))
}

func TestBadEntriesAreDroppedAndCounted(t *testing.T) {
	cases := map[string]struct {
		makeEntry func(r *rig) *wire.Entry
		count     string
	}{
		"bad signature": {func(*rig) *wire.Entry {
			entry := newEntry(key(2), EntryHealthReport, "s1", 1)
			entry.Body = []byte("y")
			return entry
		}, "mesh_dropped_signature"},
		"no origin": {func(*rig) *wire.Entry { return &wire.Entry{Type: EntryHealthReport, ID: "s1"} }, "mesh_dropped_signature"},
		"member entry with another origin's id": {func(*rig) *wire.Entry {
			return newEntry(key(2), EntryMember, kernel.Fingerprint(key(3).Public), 1)
		}, "mesh_dropped_origin"},
		"signed with this process's own key": {func(*rig) *wire.Entry { return newEntry(key(1), EntryHealthReport, "s1", 9) }, "mesh_dropped_origin"},
		"hop bound": {func(*rig) *wire.Entry {
			entry := newEntry(key(2), EntryHealthReport, "s1", 1)
			entry.Hops = MaxHops
			return entry
		}, "mesh_dropped_hops"},
		"replay": {func(r *rig) *wire.Entry {
			entry := newEntry(key(2), EntryHealthReport, "s1", 5)
			r.gossip(entry)
			return entry
		}, "mesh_dropped_seen"},
		"older entry of the same id": {func(r *rig) *wire.Entry {
			r.gossip(newEntry(key(2), EntryHealthReport, "s1", 5))
			return newEntry(key(2), EntryHealthReport, "s1", 4)
		}, "mesh_dropped_old"},
		"older version of a partition, from another origin": {func(r *rig) *wire.Entry {
			for _, seq := range []uint64{5, 4} {
				entry := &wire.Entry{Type: EntryPartition, Origin: key(byte(seq)).Public, Version: wire.Version{Term: 2, Seq: seq}}
				sign(entry, key(byte(seq)))
				if seq == 4 {
					return entry
				}
				r.gossip(entry)
			}
			return nil
		}, "mesh_dropped_old"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			entry := c.makeEntry(r)
			before := r.storedEntries(EntryHealthReport)
			out := r.gossip(entry)
			must.Eq(t, 1, r.count(c.count))
			must.Eq(t, before, r.storedEntries(EntryHealthReport))
			must.SliceEmpty(t, out.Sends, must.Sprint("a dropped entry must not be forwarded"))
		})
	}
}

func TestMalformedFramesOnlyCloseTheConnection(t *testing.T) {
	good := wire.Seal(wire.KindGossip, 0, newEntry(key(2), EntryHealthReport, "s1", 1))
	for name, data := range map[string][]byte{
		"empty": {}, "future format": append([]byte{wire.Format + 1}, good[1:]...),
		"truncated": good[:len(good)-40], "garbage": append(good[:10:10], 0xff, 0x00, 0xc1), "oversize": make([]byte, wire.MaxFrame+1),
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			out := r.feed(kernel.Received{Conn: 7, Data: data})
			must.Eq(t, []uint64{7}, out.Drops)
			must.Eq(t, 1, r.count("frames_malformed")+r.count("mesh_dropped_malformed"))
			must.Eq(t, 0, r.storedEntries(EntryHealthReport))
		})
	}
}

func TestOriginRateLimitIsRepairedByAntiEntropy(t *testing.T) {
	r := newRig(t)
	for n := uint64(1); n <= OriginBurst+50; n++ {
		r.gossip(newEntry(key(2), EntryHealthReport, string(rune('a'+n)), n))
	}
	must.Eq(t, OriginBurst, r.storedEntries(EntryHealthReport))
	must.Eq(t, 50, r.count("mesh_dropped_rate"))
	r.now += 10_000_000
	for n := uint64(OriginBurst + 1); n <= OriginBurst+50; n++ {
		r.gossip(newEntry(key(2), EntryHealthReport, string(rune('a'+n)), n))
	}
	must.Eq(t, OriginBurst+50, r.storedEntries(EntryHealthReport), must.Sprint("entries dropped by the rate limit must be accepted when they are sent again"))
}

func TestAntiEntropySendsMissingEntries(t *testing.T) {
	r := newRig(t)
	for n := uint64(1); n <= 3; n++ {
		r.gossip(newEntry(key(3), EntryHealthReport, string(rune('a'+n)), n))
	}
	fp := kernel.Fingerprint(key(3).Public)
	entriesSentFor := func(max, sum uint64) int {
		out := r.feed(kernel.Received{Conn: 7, Data: wire.Seal(wire.KindHeartbeat, 0, &wire.Heartbeat{Summaries: []wire.OriginSummary{{Origin: fp, Max: max, Sum: sum, Heartbeat: 1}}})})
		return len(out.Sends)
	}
	origin := r.m.store.origins[fp]
	must.Eq(t, 0, entriesSentFor(3, origin.sum), must.Sprint("if the sums are equal, no entry must be sent"))
	must.Eq(t, 1, entriesSentFor(2, origin.sum+1), must.Sprint("if the peer's count is lower, the entries above it must be sent"))
	must.Eq(t, 3, entriesSentFor(3, origin.sum+1), must.Sprint("if the counts are equal and the sums differ, all entries must be sent"))
	must.Eq(t, 0, entriesSentFor(9, 0), must.Sprint("if the peer's count is higher, no entry must be sent"))
}

func TestForgottenOriginIsNotRestoredByStalePeer(t *testing.T) {
	r := newRig(t)
	fp := kernel.Fingerprint(key(3).Public)
	heartbeat := func(n uint64) { r.receiveSummary(summary(key(3), n)) }
	heartbeat(4)
	heartbeat(5)
	r.gossip(newEntry(key(3), EntryHealthReport, "s1", 1))
	must.True(t, r.m.Live(fp, r.now))
	r.now += ForgetAfter + 1
	r.m.peers[7].lastSeen = r.now
	r.feed(kernel.Tick{Plugin: pluginName, Key: timerHeartbeat})
	must.Eq(t, 0, r.storedEntries(EntryHealthReport))
	heartbeat(5)
	r.gossip(newEntry(key(3), EntryHealthReport, "s1", 2))
	must.Eq(t, 0, r.storedEntries(EntryHealthReport))
	must.False(t, r.m.Live(fp, r.now))
	heartbeat(6)
	r.gossip(newEntry(key(3), EntryHealthReport, "s1", 3))
	must.Eq(t, 1, r.storedEntries(EntryHealthReport), must.Sprint("a higher heartbeat count must restore the origin"))
}

func TestMaxPeersEvictsLeastRecentlySeen(t *testing.T) {
	r := newRig(t)
	for i := range MaxPeers {
		r.now += 1000
		r.feed(kernel.ConnUp{Conn: uint64(100 + i), Addr: "x", Peer: kernel.Fingerprint(key(byte(10 + i)).Public), Mesh: true})
	}
	must.Eq(t, MaxPeers, r.m.Peers())
	must.Eq(t, 1, r.count("mesh_peers_evicted"))
	must.MapNotContainsKey(t, r.m.peers, uint64(7))
}

func TestSelfAndDuplicateConnectionsAreClosed(t *testing.T) {
	r := newRig(t)
	out := r.feed(kernel.ConnUp{Conn: 9, Addr: "self", Peer: r.m.self, Dialed: true, Mesh: true})
	must.Eq(t, []uint64{9}, out.Drops)
	out = r.feed(kernel.ConnUp{Conn: 10, Addr: "10.0.0.2:1", Peer: kernel.Fingerprint(key(2).Public), Dialed: true, Mesh: true})
	must.Len(t, 1, out.Drops, must.Sprint("one of two connections to the same peer must be closed"))
	must.Eq(t, 1, r.m.Peers())
}

func FuzzReceived(f *testing.F) {
	f.Add(wire.Seal(wire.KindGossip, 0, newEntry(key(2), EntryHealthReport, "s1", 1)))
	f.Add(wire.Seal(wire.KindHeartbeat, 0, &wire.Heartbeat{Addrs: []string{"a"}, Summaries: []wire.OriginSummary{{Origin: "o", Max: 1, Heartbeat: 2}}}))
	f.Add([]byte{1, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newRig(t)
		r.feed(kernel.Received{Conn: 7, Data: data})
		must.LessEq(t, 1, r.storedEntries(EntryHealthReport))
	})
}
