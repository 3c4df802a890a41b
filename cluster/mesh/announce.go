// What this process tells, and the frames that others send it.

package mesh

import (
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Announce signs, stores and floods an entry of this process's own.
func (m *Mesh) Announce(ctx *kernel.Context, typ, id string, body []byte, withdrawn bool) {
	m.count++
	e := &wire.Entry{Type: typ, ID: id, Origin: m.k.Boot.Key.Public, Count: m.count, At: ctx.Wall, Tombstone: withdrawn, Body: body}
	sign(e, m.k.Boot.Key)
	m.seen.add(seenKey(e), ctx.Now)
	m.store.put(e, m.self, ctx.Now)
	m.changedAt = ctx.Now
	ctx.Emit(Stored{Entry: e, Origin: m.self, Local: true})
	m.flood(ctx, e, 0)
}

// AnnounceVersion floods a committed version of a partition; any process may do so.
func (m *Mesh) AnnounceVersion(ctx *kernel.Context, v wire.Versioned) {
	if e := m.storeVersion(ctx, v); e != nil {
		m.flood(ctx, e, 0)
	}
}

// StoreVersion takes a version that came another way; heartbeats hand it on.
func (m *Mesh) StoreVersion(ctx *kernel.Context, v wire.Versioned) { m.storeVersion(ctx, v) }

func (m *Mesh) storeVersion(ctx *kernel.Context, v wire.Versioned) *wire.Entry {
	if held, ok := m.store.partitions[v.Version.Partition]; ok && !Newer(v.Version, held.Version) {
		return nil
	}
	m.count++
	e := &wire.Entry{Type: "part", Origin: m.k.Boot.Key.Public, Count: m.count, At: ctx.Wall, Version: v.Version, Body: v.Body}
	sign(e, m.k.Boot.Key)
	m.seen.add(seenKey(e), ctx.Now)
	m.store.putVersion(e)
	m.changedAt = ctx.Now
	ctx.Emit(Stored{Entry: e, Origin: m.self, Local: true})
	return e
}

func (m *Mesh) handleMessage(ctx *kernel.Context, v kernel.Message) {
	p := m.peers[v.Conn]
	if p == nil {
		ctx.Counts.Add("mesh_dropped_stranger", 1)
		return
	}
	p.lastSeen = ctx.Now
	switch v.Kind {
	case wire.KindHeartbeat:
		var hb wire.Heartbeat
		if wire.Decode(v.Body, &hb) != nil {
			m.dropMalformed(ctx, p, "heartbeat")
			return
		}
		ctx.Counts.Add("mesh_heartbeats_in", 1)
		m.handleHeartbeat(ctx, p, &hb)
	case wire.KindGossip:
		m.handleGossip(ctx, p, v)
	case wire.KindNotice:
		var n wire.Notice
		if wire.Decode(v.Body, &n) != nil {
			m.dropMalformed(ctx, p, "notice")
			return
		}
		m.handleNotice(ctx, p, n)
	}
}

// handleGossip takes an entry's frame; one that was seen is not decoded again.
func (m *Mesh) handleGossip(ctx *kernel.Context, p *peerConn, v kernel.Message) {
	ctx.Counts.Add("mesh_entries_in", 1)
	frame := m.seen.frameHash(v.Body)
	if key, ok := m.seen.entryOfFrame(frame, ctx.Now); ok {
		m.dropDuplicate(ctx, p, key)
		return
	}
	e := new(wire.Entry)
	if wire.Decode(v.Body, e) != nil {
		m.dropMalformed(ctx, p, "entry")
		return
	}
	m.handleEntry(ctx, p, e, v.ID)
	m.seen.addFrame(frame, seenKey(e))
}

// dropDuplicate drops an entry that was seen; its sender needs it no more.
func (m *Mesh) dropDuplicate(ctx *kernel.Context, p *peerConn, key uint64) {
	ctx.Counts.Add("mesh_dropped_seen", 1)
	if p.outbox.remove(key) {
		ctx.Counts.Add("mesh_forwards_spared", 1)
	}
}

func (m *Mesh) dropMalformed(ctx *kernel.Context, p *peerConn, what string) {
	ctx.Counts.Add("mesh_dropped_malformed", 1)
	ctx.Log(kernel.LevelWarn, "mesh_malformed", "what", what, "peer", p.key)
	ctx.Drop(p.conn)
}
