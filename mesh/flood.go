// The way of an announcement through a receiver: seen-set, signature, origin,
// hop bound, store, forward. The signature covers all but itself and the hops.
package mesh

import (
	"crypto/ed25519"

	"wallport/kernel"
	"wallport/wire"
)

func signed(e *wire.Entry) []byte {
	c := *e
	c.Sig, c.Hops = nil, 0
	return wire.Encode(&c)
}

func sign(e *wire.Entry, key kernel.Key) { e.Sig = ed25519.Sign(key.Private, signed(e)) }

func (m *Mesh) receive(t *kernel.Turn, p *peer, e *wire.Entry) {
	k := seenKey(e)
	if m.seen.has(k, t.Now) {
		t.Counts.Add("mesh_dropped_seen", 1)
		return
	}
	if len(e.Origin) != ed25519.PublicKeySize || !ed25519.Verify(e.Origin, signed(e), e.Sig) {
		t.Counts.Add("mesh_dropped_signature", 1)
		t.Note(1, "mesh_signature", "peer", p.key, "type", e.Type, "id", e.ID)
		return
	}
	fp := kernel.Fingerprint(e.Origin)
	if !m.lawful(t, e, fp) {
		return
	}
	if e.Hops >= MaxHops {
		t.Counts.Add("mesh_dropped_hops", 1)
		return
	}
	o := m.store.origin(fp, t.Now)
	if !o.spend(t.Now) {
		t.Counts.Add("mesh_dropped_rate", 1)
		return
	}
	m.seen.add(k, t.Now)
	if !m.keep(t, e, fp) {
		t.Counts.Add("mesh_dropped_old", 1)
		return
	}
	t.Emit(Stored{Entry: e, Origin: fp})
	m.flood(t, e, p.chanID)
}

// lawful is the origin check. An entry's id belongs to the origin that signed
// it, for its key is part of the id; a process's word about itself must come
// under its own key; and nobody may speak with this process's key.
func (m *Mesh) lawful(t *kernel.Turn, e *wire.Entry, fp string) bool {
	if fp == m.self || e.Type == "member" && e.ID != fp {
		t.Counts.Add("mesh_dropped_origin", 1)
		return false
	}
	if beat, dead := m.store.buried[fp]; dead && e.Type != "part" {
		if o := m.store.origins[fp]; o == nil || o.beat <= beat {
			t.Counts.Add("mesh_dropped_buried", 1)
			return false
		}
	}
	return true
}

func (m *Mesh) keep(t *kernel.Turn, e *wire.Entry, fp string) bool {
	if e.Type != "part" {
		return m.store.put(e, fp, t.Now)
	}
	held, ok := m.store.parts[e.Stamp.Part]
	if ok && !Newer(e.Stamp, held.Stamp) {
		return false
	}
	m.store.parts[e.Stamp.Part] = e
	return true
}

func (m *Mesh) flood(t *kernel.Turn, e *wire.Entry, except uint64) {
	if e.Hops+1 > MaxHops {
		return
	}
	for _, id := range sortedKeys(m.peers) {
		if id != except {
			m.send(t, id, e)
		}
	}
}

func (m *Mesh) send(t *kernel.Turn, ch uint64, e *wire.Entry) {
	c := *e
	c.Hops++
	slot := entryKey(e) + "\x00" + string(e.Origin)
	if e.Type == "part" {
		slot = "part\x00" + string(rune(e.Stamp.Part))
	}
	t.Counts.Add("mesh_entries_out", 1)
	t.SendSlot(ch, wire.KindGossip, &c, slot)
}
