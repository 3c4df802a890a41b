package mesh

import (
	"crypto/ed25519"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// deliveryPath identifies the mechanism by which an entry was sent. It is sent as the message id in the
// frame's envelope.
//
// A process floods an entry that it received by anti-entropy only if it was in sync before. A process
// that has not yet been in sync has just started or thawed, and its neighbours already have the entry.
type deliveryPath uint64

const (
	byFlood deliveryPath = 0
	bySync  deliveryPath = 1
)

// signedBytes returns the bytes that an entry's signature covers: everything but the signature
// itself and the hop count, which changes at each hop.
func signedBytes(entry *wire.Entry) []byte {
	unsigned := *entry
	unsigned.Sig, unsigned.Hops = nil, 0
	return wire.Encode(&unsigned)
}

// sign sets the signature of an entry.
func sign(entry *wire.Entry, key kernel.Key) {
	entry.Sig = ed25519.Sign(key.Private, signedBytes(entry))
}

// handleMessage handles a frame from a peer: a heartbeat, an entry or a notice.
func (m *Mesh) handleMessage(ctx *kernel.Context, v kernel.Message) {
	peer := m.peers[v.Conn]
	if peer == nil {
		ctx.Counts.Add("mesh_dropped_stranger", 1)
		return
	}
	peer.lastSeen = ctx.Now
	switch v.Kind {
	case wire.KindHeartbeat:
		var hb wire.Heartbeat
		if wire.Decode(v.Body, &hb) != nil {
			m.dropMalformed(ctx, peer, "heartbeat")
			return
		}
		ctx.Counts.Add("mesh_heartbeats_in", 1)
		m.handleHeartbeat(ctx, peer, &hb)
	case wire.KindGossip:
		m.handleGossip(ctx, peer, v)
	case wire.KindNotice:
		var n wire.Notice
		if wire.Decode(v.Body, &n) != nil {
			m.dropMalformed(ctx, peer, "notice")
			return
		}
		m.handleNotice(ctx, peer, n)
	}
}

// handleGossip handles a frame that carries an entry. If the frame's hash is in the seen-set, the
// frame is dropped as a duplicate without being decoded.
func (m *Mesh) handleGossip(ctx *kernel.Context, peer *peerConn, v kernel.Message) {
	ctx.Counts.Add("mesh_entries_in", 1)
	frame := m.seen.frameHash(v.Body)
	if key, ok := m.seen.entryOfFrame(frame, ctx.Now); ok {
		m.dropDuplicate(ctx, peer, key)
		return
	}
	entry := new(wire.Entry)
	if wire.Decode(v.Body, entry) != nil {
		m.dropMalformed(ctx, peer, "entry")
		return
	}
	m.handleEntry(ctx, peer, entry, deliveryPath(v.ID))
	m.seen.addFrame(frame, seenKey(entry))
}

// handleEntry checks an entry received from a peer, stores it and floods it. The checks are in the
// order of the paper: seen-set, signature, origin, hop bound. The rate limit follows. An entry that
// the rate limit drops is not added to the seen-set, so that anti-entropy can deliver it later.
func (m *Mesh) handleEntry(ctx *kernel.Context, peer *peerConn, entry *wire.Entry, delivery deliveryPath) {
	key := seenKey(entry)
	if m.seen.has(key, ctx.Now) {
		m.dropDuplicate(ctx, peer, key)
		return
	}
	if len(entry.Origin) != ed25519.PublicKeySize || !ed25519.Verify(entry.Origin, signedBytes(entry), entry.Sig) {
		ctx.Counts.Add("mesh_dropped_signature", 1)
		ctx.Log(kernel.LevelWarn, "mesh_signature", "peer", peer.key, "type", entry.Type, "id", entry.ID)
		return
	}
	fp := kernel.Fingerprint(entry.Origin)
	if !m.checkOrigin(ctx, entry, fp) {
		return
	}
	if entry.Hops >= MaxHops {
		ctx.Counts.Add("mesh_dropped_hops", 1)
		return
	}
	origin := m.store.origin(fp, ctx.Now)
	if origin == nil || !origin.takeToken(ctx.Now) {
		ctx.Counts.Add("mesh_dropped_rate", 1)
		return
	}
	m.seen.add(key, ctx.Now)
	if !m.storeEntry(ctx, entry, fp) {
		ctx.Counts.Add("mesh_dropped_old", 1)
		return
	}
	peer.progressed = peer.progressed || delivery == bySync
	m.observeEntry(ctx, origin, entry)
	ctx.Emit(Stored{Entry: entry, Origin: fp})
	if delivery == byFlood || m.inSync {
		m.flood(ctx, entry, peer.conn)
	}
}

// checkOrigin reports whether the signer may announce an entry, and counts the entry as dropped if not.
// A process may announce a description and links only for itself, and a received entry must not carry
// this process's own key. Entries of a forgotten origin are dropped until a higher heartbeat count, a
// link or a connection shows that the origin is running again. Otherwise a peer that has not forgotten
// the origin yet would restore it.
func (m *Mesh) checkOrigin(ctx *kernel.Context, entry *wire.Entry, fp string) bool {
	if fp == m.self || (entry.Type == EntryMember || entry.Type == EntryLinks) && entry.ID != fp {
		ctx.Counts.Add("mesh_dropped_origin", 1)
		return false
	}
	if last, ok := m.store.forgotten[fp]; ok && entry.Type != EntryPartition {
		if origin := m.store.origins[fp]; origin == nil || origin.heartbeat <= last.heartbeat {
			ctx.Counts.Add("mesh_dropped_buried", 1)
			return false
		}
	}
	return true
}

// storeEntry stores an entry and reports whether it was newer than the stored one.
func (m *Mesh) storeEntry(ctx *kernel.Context, entry *wire.Entry, fp string) bool {
	m.changedAt = ctx.Now
	if entry.Type != EntryPartition {
		return m.store.put(entry, fp, ctx.Now)
	}
	return m.store.putVersion(entry)
}

// observeEntry updates the mesh's own state from a stored entry: the pending request for the entry, the
// origin's links and the origin's description.
func (m *Mesh) observeEntry(ctx *kernel.Context, origin *originState, entry *wire.Entry) {
	if len(entry.Body) > NoticeThreshold {
		n := noticeOf(entry)
		n.Want = true
		delete(m.requests, n)
	}
	switch entry.Type {
	case EntryLinks:
		m.handleLinks(ctx, origin, entry)
	case EntryMember:
		row := new(wire.Member)
		if wire.Decode(entry.Body, row) == nil {
			origin.member = row
		}
	}
}

// dropDuplicate counts an entry that was seen before, and cancels its pending forward to the peer
// that sent it.
func (m *Mesh) dropDuplicate(ctx *kernel.Context, peer *peerConn, key uint64) {
	ctx.Counts.Add("mesh_dropped_seen", 1)
	if peer.outbox.remove(key) {
		ctx.Counts.Add("mesh_forwards_spared", 1)
	}
}

// dropMalformed counts and logs a frame that cannot be decoded, and closes the connection to the peer
// that sent it.
func (m *Mesh) dropMalformed(ctx *kernel.Context, peer *peerConn, frame string) {
	ctx.Counts.Add("mesh_dropped_malformed", 1)
	ctx.Log(kernel.LevelWarn, "mesh_malformed", "frame", frame, "peer", peer.key)
	ctx.Drop(peer.conn)
}

// flood sends an entry, or a notice of a large entry, to all peers except the one on the connection with
// the id except; 0 excludes no peer.
func (m *Mesh) flood(ctx *kernel.Context, entry *wire.Entry, except uint64) {
	if entry.Hops+1 > MaxHops {
		return
	}
	if len(entry.Body) <= NoticeThreshold {
		m.forward(ctx, entry, except)
		return
	}
	for _, id := range sortedKeys(m.peers) {
		if id != except {
			m.sendNotice(ctx, id, entry)
		}
	}
}

// send sends an entry on a connection, with its hop count increased, and returns the size of the
// frame in bytes.
func (m *Mesh) send(ctx *kernel.Context, conn uint64, entry *wire.Entry, delivery deliveryPath) int {
	forwarded := *entry
	forwarded.Hops++
	ctx.Counts.Add("mesh_entries_out", 1)
	s := kernel.Send{Conn: conn, Data: wire.Seal(wire.KindGossip, uint64(delivery), &forwarded), ReplaceKey: replaceKey(entry)}
	ctx.Output.Sends = append(ctx.Output.Sends, s)
	return len(s.Data)
}

// replaceKey returns the key under which a newer entry replaces an older one in a connection's send
// queue.
func replaceKey(entry *wire.Entry) string {
	if entry.Type == EntryPartition {
		return "part\x00" + string(rune(entry.Version.Partition))
	}
	return entryKey(entry) + "\x00" + string(entry.Origin)
}
