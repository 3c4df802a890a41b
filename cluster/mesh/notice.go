package mesh

import (
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Sizes, times and bounds of notices and of requests for large entries.
const (
	// NoticeThreshold is the size of a body, in bytes, beyond which a notice is flooded instead of
	// the entry.
	NoticeThreshold = 1024
	// EntryRequestTimeout is how long a peer has to send a requested entry before the entry may be
	// requested from another peer.
	EntryRequestTimeout = 400 * clock.Millisecond
	// MaxEntryRequests bounds the requests that a process remembers. It forgets all of them when the
	// bound is reached.
	MaxEntryRequests = 256
	// MaxLargeSends is the number of destinations to which a process sends large messages at the same
	// time. It ignores requests for large entries beyond that, since other neighbours of the requester
	// will soon have the entry.
	MaxLargeSends = 3
)

// isLarge reports whether an entry is too large for a single frame.
func isLarge(entry *wire.Entry) bool { return len(entry.Body) > wire.MaxSingleFrame }

// entryRequest records when and on which connection an entry was requested.
type entryRequest struct {
	sentAt clock.Micros
	conn   uint64
}

// sendNotice sends a notice of an entry.
func (m *Mesh) sendNotice(ctx *kernel.Context, conn uint64, entry *wire.Entry) {
	n := noticeOf(entry)
	n.Hops = entry.Hops + 1
	ctx.Counts.Add("mesh_notices_out", 1)
	ctx.SendLatest(conn, wire.KindNotice, &n, "notice\x00"+replaceKey(entry))
}

// noticeOf returns the notice that identifies an entry. The notice of a partition's version has no
// origin, so the notices of one version are equal regardless of which process announced it.
func noticeOf(entry *wire.Entry) wire.Notice {
	if entry.Type == EntryPartition {
		return wire.Notice{Type: entry.Type, Version: entry.Version}
	}
	return wire.Notice{Type: entry.Type, ID: entry.ID, Origin: kernel.Fingerprint(entry.Origin), Count: entry.Count}
}

// handleNotice handles a notice: it requests the entry if this process lacks it or, if the notice is a
// peer's request, sends the entry.
func (m *Mesh) handleNotice(ctx *kernel.Context, peer *peerConn, n wire.Notice) {
	entry := m.lookup(n)
	if n.Want {
		if entry != nil && !(isLarge(entry) && m.k.Sending() >= MaxLargeSends) {
			m.send(ctx, peer.conn, entry, byFlood)
		}
		return
	}
	if entry != nil || n.Origin == m.self || n.Hops >= MaxHops {
		return
	}
	if _, dead := m.store.forgotten[n.Origin]; dead && n.Type != EntryPartition {
		return
	}
	n.Hops, n.Want = 0, true
	if w, ok := m.requests[n]; ok && (ctx.Now-w.sentAt < EntryRequestTimeout || m.k.ReceivingOn(w.conn)) {
		return
	}
	if len(m.requests) >= MaxEntryRequests {
		clear(m.requests)
	}
	m.requests[n] = entryRequest{ctx.Now, peer.conn}
	ctx.Send(peer.conn, wire.KindNotice, 0, &n)
}

// lookup returns the stored entry that a notice identifies, or a newer stored entry of the same id or
// partition. It returns nil if there is neither.
func (m *Mesh) lookup(n wire.Notice) *wire.Entry {
	if n.Type == EntryPartition {
		if entry := m.store.partitions[n.Version.Partition]; entry != nil && !Newer(n.Version, entry.Version) {
			return entry
		}
		return nil
	}
	if origin := m.store.origins[n.Origin]; origin != nil {
		if entry := origin.entries[n.Type+"\x00"+n.ID]; entry != nil && entry.Count >= n.Count {
			return entry
		}
	}
	return nil
}
