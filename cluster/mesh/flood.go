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
	byFlood uint64 = 0
	bySync  uint64 = 1
)

func signedBytes(e *wire.Entry) []byte {
	c := *e
	c.Sig, c.Hops = nil, 0
	return wire.Encode(&c)
}

func sign(e *wire.Entry, key kernel.Key) { e.Sig = ed25519.Sign(key.Private, signedBytes(e)) }

func (m *Mesh) handleEntry(ctx *kernel.Context, p *peerConn, e *wire.Entry, delivery uint64) {
	k := seenKey(e)
	if m.seen.has(k, ctx.Now) {
		m.dropDuplicate(ctx, p, k)
		return
	}
	if len(e.Origin) != ed25519.PublicKeySize || !ed25519.Verify(e.Origin, signedBytes(e), e.Sig) {
		ctx.Counts.Add("mesh_dropped_signature", 1)
		ctx.Log(kernel.LevelWarn, "mesh_signature", "peer", p.key, "type", e.Type, "id", e.ID)
		return
	}
	fp := kernel.Fingerprint(e.Origin)
	if !m.checkOrigin(ctx, e, fp) {
		return
	}
	if e.Hops >= MaxHops {
		ctx.Counts.Add("mesh_dropped_hops", 1)
		return
	}
	o := m.store.origin(fp, ctx.Now)
	if o == nil || !o.takeToken(ctx.Now) {
		ctx.Counts.Add("mesh_dropped_rate", 1)
		return
	}
	m.seen.add(k, ctx.Now)
	if !m.storeEntry(ctx, e, fp) {
		ctx.Counts.Add("mesh_dropped_old", 1)
		return
	}
	p.progressed = p.progressed || delivery == bySync
	m.observeEntry(ctx, o, e)
	ctx.Emit(Stored{Entry: e, Origin: fp})
	if delivery == byFlood || m.inSync {
		m.flood(ctx, e, p.conn)
	}
}

// checkOrigin is the origin check. An entry's id belongs to the origin that signed
// it, for its key is part of the id; a process's word about itself must come
// under its own key; and nobody may speak with this process's key.
func (m *Mesh) checkOrigin(ctx *kernel.Context, e *wire.Entry, fp string) bool {
	if fp == m.self || (e.Type == "member" || e.Type == "links") && e.ID != fp {
		ctx.Counts.Add("mesh_dropped_origin", 1)
		return false
	}
	if g, dead := m.store.forgotten[fp]; dead && e.Type != "part" {
		if o := m.store.origins[fp]; o == nil || o.heartbeat <= g.heartbeat {
			ctx.Counts.Add("mesh_dropped_buried", 1)
			return false
		}
	}
	return true
}

func (m *Mesh) storeEntry(ctx *kernel.Context, e *wire.Entry, fp string) bool {
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
	if len(e.Body) <= NoticeThreshold {
		m.forward(ctx, e, except)
		return
	}
	for _, id := range sortedKeys(m.peers) {
		if id != except {
			m.sendNotice(ctx, id, e)
		}
	}
}

// send gives the size of the frame that it sends.
func (m *Mesh) send(ctx *kernel.Context, ch uint64, e *wire.Entry, delivery uint64) int {
	c := *e
	c.Hops++
	ctx.Counts.Add("mesh_entries_out", 1)
	s := kernel.Send{Conn: ch, Data: wire.Seal(wire.KindGossip, delivery, &c), ReplaceKey: replaceKey(e)}
	ctx.Output.Sends = append(ctx.Output.Sends, s)
	return len(s.Data)
}

func replaceKey(e *wire.Entry) string {
	if e.Type == "part" {
		return "part\x00" + string(rune(e.Version.Partition))
	}
	return entryKey(e) + "\x00" + string(e.Origin)
}
