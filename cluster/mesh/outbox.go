// Forwarding in batches. The first entry after a pause goes out at once; what follows within
// ForwardInterval waits and leaves together, and what a peer has itself sent meanwhile is not
// sent back to it. A flood of many entries so costs each link few wake-ups and few duplicates.

package mesh

import (
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// ForwardInterval is the least time between two batches of forwarded entries.
const ForwardInterval = 20_000

// outbox is the entries that wait to be sent to one peer, by their key in the seen-set.
type outbox struct {
	keys    []uint64
	waiting map[uint64]*wire.Entry
}

func (b *outbox) add(key uint64, e *wire.Entry) {
	if b.waiting == nil {
		b.waiting = map[uint64]*wire.Entry{}
	}
	if _, ok := b.waiting[key]; !ok {
		b.keys = append(b.keys, key)
	}
	b.waiting[key] = e
}

// remove notes that the peer holds an entry by its own word.
func (b *outbox) remove(key uint64) bool {
	_, ok := b.waiting[key]
	delete(b.waiting, key)
	return ok
}

// forward sends an entry to all peers but one, now or with the next batch.
func (m *Mesh) forward(ctx *kernel.Context, e *wire.Entry, except uint64) {
	now := m.stopping || ctx.Now-m.forwardedAt >= ForwardInterval
	key := seenKey(e)
	for _, id := range sortedKeys(m.peers) {
		switch {
		case id == except:
		case now:
			m.send(ctx, id, e, byFlood)
		default:
			m.peers[id].outbox.add(key, e)
		}
	}
	if now {
		m.forwardedAt = ctx.Now
		return
	}
	if !m.forwardScheduled {
		m.forwardScheduled = true
		ctx.After(m.forwardedAt+ForwardInterval-ctx.Now, "mesh", "forward")
	}
}

// flushAll sends what waits for every peer.
func (m *Mesh) flushAll(ctx *kernel.Context) {
	m.forwardedAt = ctx.Now
	for _, id := range sortedKeys(m.peers) {
		m.flushPeer(ctx, m.peers[id])
	}
}

// flushPeer sends what waits for one peer, in its order.
func (m *Mesh) flushPeer(ctx *kernel.Context, p *peerConn) {
	for _, key := range p.outbox.keys {
		if e := p.outbox.waiting[key]; e != nil {
			m.send(ctx, p.conn, e, byFlood)
		}
	}
	p.outbox = outbox{}
}
