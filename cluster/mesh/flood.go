// The way of an announcement through a receiver: seen-set, signature, origin,
// hop bound, store, forward. The signature covers all but itself and the hops.

package mesh

import (
	"crypto/ed25519"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Which frames of an entry are news and which come of catching up; the number travels in the
// envelope. What was caught up with is passed on only by those that had all before: to the
// neighbours of a process that has just come it is nothing new.
const (
	news     uint64 = 0
	caughtUp uint64 = 1
)

func signed(e *wire.Entry) []byte {
	c := *e
	c.Sig, c.Hops = nil, 0
	return wire.Encode(&c)
}

func sign(e *wire.Entry, key kernel.Key) { e.Sig = ed25519.Sign(key.Private, signed(e)) }

func (m *Mesh) receive(ctx *kernel.Context, p *peer, e *wire.Entry, way uint64) {
	k := seenKey(e)
	if m.seen.has(k, ctx.Now) {
		m.duplicate(ctx, p, k)
		return
	}
	if len(e.Origin) != ed25519.PublicKeySize || !ed25519.Verify(e.Origin, signed(e), e.Sig) {
		ctx.Counts.Add("mesh_dropped_signature", 1)
		ctx.Log(kernel.LevelWarn, "mesh_signature", "peer", p.key, "type", e.Type, "id", e.ID)
		return
	}
	fp := kernel.Fingerprint(e.Origin)
	if !m.lawful(ctx, e, fp) {
		return
	}
	if e.Hops >= MaxHops {
		ctx.Counts.Add("mesh_dropped_hops", 1)
		return
	}
	o := m.store.origin(fp, ctx.Now)
	if o == nil || !o.spend(ctx.Now) {
		ctx.Counts.Add("mesh_dropped_rate", 1)
		return
	}
	m.seen.add(k, ctx.Now)
	if !m.keep(ctx, e, fp) {
		ctx.Counts.Add("mesh_dropped_old", 1)
		return
	}
	p.gained = p.gained || way == caughtUp
	m.learn(ctx, o, e)
	ctx.Emit(Stored{Entry: e, Origin: fp})
	if way == news || m.caught {
		m.flood(ctx, e, p.chanID)
	}
}

// lawful is the origin check. An entry's id belongs to the origin that signed
// it, for its key is part of the id; a process's word about itself must come
// under its own key; and nobody may speak with this process's key.
func (m *Mesh) lawful(ctx *kernel.Context, e *wire.Entry, fp string) bool {
	if fp == m.self || (e.Type == "member" || e.Type == "links") && e.ID != fp {
		ctx.Counts.Add("mesh_dropped_origin", 1)
		return false
	}
	if g, dead := m.store.buried[fp]; dead && e.Type != "part" {
		if o := m.store.origins[fp]; o == nil || o.beat <= g.beat {
			ctx.Counts.Add("mesh_dropped_buried", 1)
			return false
		}
	}
	return true
}

func (m *Mesh) keep(ctx *kernel.Context, e *wire.Entry, fp string) bool {
	m.changedAt = ctx.Now
	if e.Type != "part" {
		return m.store.put(e, fp, ctx.Now)
	}
	return m.store.putVersion(e)
}

func (m *Mesh) flood(ctx *kernel.Context, e *wire.Entry, except uint64) {
	if e.Hops+1 > MaxHops {
		return
	}
	if len(e.Body) <= NoticeOver {
		m.forward(ctx, e, except)
		return
	}
	for _, id := range sortedKeys(m.peers) {
		if id != except {
			m.notify(ctx, id, e)
		}
	}
}

// send gives the size of the frame that it sends.
func (m *Mesh) send(ctx *kernel.Context, ch uint64, e *wire.Entry, way uint64) int {
	c := *e
	c.Hops++
	ctx.Counts.Add("mesh_entries_out", 1)
	s := kernel.Send{Conn: ch, Data: wire.Seal(wire.KindGossip, way, &c), ReplaceKey: slot(e)}
	ctx.Out.Sends = append(ctx.Out.Sends, s)
	return len(s.Data)
}

func slot(e *wire.Entry) string {
	if e.Type == "part" {
		return "part\x00" + string(rune(e.Version.Partition))
	}
	return entryKey(e) + "\x00" + string(e.Origin)
}
