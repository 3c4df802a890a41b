// Large entries: of these a notice is flooded, and whoever lacks the entry asks the first
// that told of it. So a large one crosses each process's channels once, not once from each
// neighbour.

package mesh

import (
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of large entries.
const (
	// NoticeThreshold is the size of a body beyond which a notice is sent, in bytes.
	NoticeThreshold = 1024
	// EntryRequestTimeout is how long one that was asked has to send the entry before another is asked.
	EntryRequestTimeout = 400_000
	// MaxEntryRequests bounds the entries that are waited for.
	MaxEntryRequests = 256
	// MaxLargeSends is how many large messages a process sends at once before it leaves those who
	// ask for a large entry to others, who have it soon.
	MaxLargeSends = 3
)

// isLarge reports whether an entry travels in pieces.
func isLarge(e *wire.Entry) bool { return len(e.Body) > wire.MaxSingleFrame }

// entryRequest is when an entry was asked for, and on which connection.
type entryRequest struct {
	sentAt int64
	conn   uint64
}

func (m *Mesh) sendNotice(ctx *kernel.Context, ch uint64, e *wire.Entry) {
	n := noticeOf(e)
	n.Hops = e.Hops + 1
	ctx.Counts.Add("mesh_notices_out", 1)
	ctx.SendLatest(ch, wire.KindNotice, &n, "notice\x00"+replaceKey(e))
}

// noticeOf names an entry. A partition's version is the same whoever tells of it.
func noticeOf(e *wire.Entry) wire.Notice {
	if e.Type == "part" {
		return wire.Notice{Type: e.Type, Version: e.Version}
	}
	return wire.Notice{Type: e.Type, ID: e.ID, Origin: kernel.Fingerprint(e.Origin), Count: e.Count}
}

// handleNotice asks for an entry that is lacking, or sends one that is asked for.
func (m *Mesh) handleNotice(ctx *kernel.Context, p *peerConn, n wire.Notice) {
	e := m.lookup(n)
	if n.Want {
		if e != nil && !(isLarge(e) && m.k.Sending() >= MaxLargeSends) {
			m.send(ctx, p.conn, e, byFlood)
		}
		return
	}
	if e != nil || n.Origin == m.self || n.Hops >= MaxHops {
		return
	}
	if _, dead := m.store.forgotten[n.Origin]; dead && n.Type != "part" {
		return
	}
	n.Hops, n.Want = 0, true
	if w, ok := m.requests[n]; ok && (ctx.Now-w.sentAt < EntryRequestTimeout || m.k.ReceivingOn(w.conn)) {
		return
	}
	if len(m.requests) >= MaxEntryRequests {
		clear(m.requests)
	}
	m.requests[n] = entryRequest{ctx.Now, p.conn}
	ctx.Send(p.conn, wire.KindNotice, 0, &n)
}

// lookup is the entry of a notice, or a newer one; nil where this process lacks it.
func (m *Mesh) lookup(n wire.Notice) *wire.Entry {
	if n.Type == "part" {
		if e := m.store.partitions[n.Version.Partition]; e != nil && !Newer(n.Version, e.Version) {
			return e
		}
		return nil
	}
	if o := m.store.origins[n.Origin]; o != nil {
		if e := o.entries[n.Type+"\x00"+n.ID]; e != nil && e.Count >= n.Count {
			return e
		}
	}
	return nil
}
