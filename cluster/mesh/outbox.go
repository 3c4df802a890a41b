package mesh

import (
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// ForwardInterval is the least time between two batches of forwarded entries. The first entry after
// a pause is forwarded immediately. Later entries within the interval wait for the next batch, and are
// not sent to a peer that sends them in the meantime. This keeps the number of wake-ups and duplicates
// on each connection low during a flood of many entries.
const ForwardInterval = 20 * clock.Millisecond

// outbox holds the entries that wait to be forwarded to one peer, by their key in the seen-set. keys
// lists the keys in the order in which they were added; it may contain keys of entries that are no
// longer waiting.
type outbox struct {
	keys    []uint64
	waiting map[uint64]*wire.Entry
}

func (b *outbox) add(key uint64, entry *wire.Entry) {
	if b.waiting == nil {
		b.waiting = map[uint64]*wire.Entry{}
	}
	if _, ok := b.waiting[key]; !ok {
		b.keys = append(b.keys, key)
	}
	b.waiting[key] = entry
}

// remove removes an entry that the peer already has, and reports whether it was waiting.
func (b *outbox) remove(key uint64) bool {
	_, ok := b.waiting[key]
	delete(b.waiting, key)
	return ok
}

// forward sends an entry to all peers except the one on the connection with the id except, either
// immediately or with the next batch.
func (m *Mesh) forward(ctx *kernel.Context, entry *wire.Entry, except uint64) {
	now := m.stopping || ctx.Now-m.forwardedAt >= ForwardInterval
	key := seenKey(entry)
	for _, id := range sortedKeys(m.peers) {
		switch {
		case id == except:
		case now:
			m.send(ctx, id, entry, byFlood)
		default:
			m.peers[id].outbox.add(key, entry)
		}
	}
	if now {
		m.forwardedAt = ctx.Now
		return
	}
	if !m.forwardScheduled {
		m.forwardScheduled = true
		ctx.After(m.forwardedAt+ForwardInterval-ctx.Now, pluginName, timerForward)
	}
}

// flushAll sends the waiting entries of all peers.
func (m *Mesh) flushAll(ctx *kernel.Context) {
	m.forwardedAt = ctx.Now
	for _, id := range sortedKeys(m.peers) {
		m.flushPeer(ctx, m.peers[id])
	}
}

// flushPeer sends the waiting entries of one peer, in the order in which they were added.
func (m *Mesh) flushPeer(ctx *kernel.Context, peer *peerConn) {
	for _, key := range peer.outbox.keys {
		if entry := peer.outbox.waiting[key]; entry != nil {
			m.send(ctx, peer.conn, entry, byFlood)
		}
	}
	peer.outbox = outbox{}
}
