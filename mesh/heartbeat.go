// Heartbeats keep channels alive and carry peer addresses; they also carry a
// mark per origin and a stamp per part, from which each side sees what the
// other lacks and sends it. An origin's beat travels in the marks, so that
// liveness costs no flood.
package mesh

import (
	"crypto/ed25519"
	"encoding/binary"

	"wallport/kernel"
	"wallport/wire"
)

func (m *Mesh) beat(t *kernel.Turn) {
	t.After(HeartbeatEvery, "mesh", "beat")
	self := m.store.origins[m.self]
	self.beat++
	self.beatAt = t.Now
	self.key, self.sig = m.k.Boot.Key.Public, ed25519.Sign(m.k.Boot.Key.Private, beatText(self.beat))
	for _, id := range sortedKeys(m.peers) {
		if p := m.peers[id]; t.Now-p.lastSeen > SilentAfter {
			t.Counts.Add("mesh_peers_silent", 1)
			m.lose(t, p)
			t.Drop(id)
		}
	}
	for _, fp := range sortedKeys(m.store.origins) {
		if fp != m.self && t.Now-m.store.origins[fp].beatAt > ForgetAfter {
			m.store.bury(fp)
			t.Emit(Forgotten{Origin: fp})
		}
	}
	hb := m.marks()
	for _, id := range sortedKeys(m.peers) {
		t.SendSlot(id, wire.KindHeartbeat, hb, "heartbeat")
	}
	m.dialMore(t)
	t.Counts.Set("mesh_peers", int64(len(m.peers)))
	t.Counts.Set("mesh_origins", int64(len(m.store.origins)))
	t.Emit(Pulse{})
}

func (m *Mesh) marks() *wire.Heartbeat {
	hb := &wire.Heartbeat{Addrs: m.knownAddrs()}
	for _, fp := range sortedKeys(m.store.origins) {
		o := m.store.origins[fp]
		if o.beat == 0 {
			continue
		}
		hb.Marks = append(hb.Marks, wire.Mark{Origin: fp, Max: o.max, Sum: o.sum, Beat: o.beat, Key: o.key, Sig: o.sig})
	}
	for _, part := range sortedKeys(m.store.parts) {
		hb.Parts = append(hb.Parts, m.store.parts[part].Stamp)
	}
	return hb
}

func (m *Mesh) heartbeat(t *kernel.Turn, p *peer, hb *wire.Heartbeat) {
	for _, a := range hb.Addrs {
		m.know(a)
	}
	theirs := make(map[string]wire.Mark, len(hb.Marks))
	for _, mk := range hb.Marks {
		theirs[mk.Origin] = mk
		m.takeBeat(t, p.key, mk)
	}
	for _, fp := range sortedKeys(m.store.origins) {
		m.catchUp(t, p, m.store.origins[fp], theirs[fp])
	}
	if !m.lacks(hb) {
		t.Emit(CaughtUp{})
	}
	stamps := map[int]wire.Stamp{}
	for _, s := range hb.Parts {
		stamps[s.Part] = s
	}
	for _, part := range sortedKeys(m.store.parts) {
		e := m.store.parts[part]
		if s, ok := stamps[part]; !ok || Newer(e.Stamp, s) {
			t.Counts.Add("mesh_caught_up", 1)
			m.send(t, p.chanID, e)
		}
	}
	if hb.Echo {
		// After what was lacking, on the same channel: whoever reads this has all.
		t.Send(p.chanID, wire.KindHeartbeat, 0, m.marks())
	}
}

// lacks tells whether the other side holds something that this one does not.
func (m *Mesh) lacks(hb *wire.Heartbeat) bool {
	for _, mk := range hb.Marks {
		if mk.Origin == m.self || mk.Max == 0 {
			continue
		}
		if _, dead := m.store.buried[mk.Origin]; dead {
			continue
		}
		o := m.store.origins[mk.Origin]
		if o == nil || o.max < mk.Max || o.max == mk.Max && o.sum != mk.Sum {
			return true
		}
	}
	for _, s := range hb.Parts {
		if e, ok := m.store.parts[s.Part]; !ok || Newer(s, e.Stamp) {
			return true
		}
	}
	return false
}

func (m *Mesh) takeBeat(t *kernel.Turn, from string, mk wire.Mark) {
	if mk.Origin == m.self || mk.Beat == 0 {
		return
	}
	if last, dead := m.store.buried[mk.Origin]; dead && mk.Beat <= last {
		return
	}
	if o := m.store.origins[mk.Origin]; o != nil && mk.Beat <= o.beat {
		return
	}
	if !m.proved(mk) {
		t.Counts.Add("mesh_dropped_beat", 1)
		return
	}
	o := m.store.origins[mk.Origin]
	first := o == nil || o.beat == 0
	if o == nil {
		o = m.store.origin(mk.Origin, t.Now)
	}
	o.beat, o.beatAt, o.key, o.sig = mk.Beat, t.Now, mk.Key, mk.Sig
	if first && mk.Origin != from {
		// Heard of from another: it may be long gone, and counts once its beat rises.
		o.beatAt = t.Now - LiveFor
	}
	delete(m.store.buried, mk.Origin)
}

// beatText is what an origin signs of each beat. The count binds it: it is signed when
// it is due and raises nothing a second time.
func beatText(beat uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte("wallport beat "), beat)
}

// proved tells whether the origin itself came to a beat. Releases before this one did
// not sign them; while a fleet is upgraded from one, a setting lets those pass.
func (m *Mesh) proved(mk wire.Mark) bool {
	if len(mk.Sig) == 0 {
		return m.k.Boot.Env.UnsignedBeats
	}
	return len(mk.Key) == ed25519.PublicKeySize && kernel.Fingerprint(mk.Key) == mk.Origin && ed25519.Verify(mk.Key, beatText(mk.Beat), mk.Sig)
}

// catchUp sends what the other side lacks of an origin: what is past its
// counter, or, where the counters agree and the sums do not, everything.
func (m *Mesh) catchUp(t *kernel.Turn, p *peer, o *origin, theirs wire.Mark) {
	if o.sum == theirs.Sum || len(o.entries) == 0 || o.max < theirs.Max {
		return
	}
	from := theirs.Max
	if o.max == theirs.Max {
		from = 0
	}
	for _, key := range sortedKeys(o.entries) {
		if e := o.entries[key]; e.Count > from {
			t.Counts.Add("mesh_caught_up", 1)
			m.send(t, p.chanID, e)
		}
	}
}
