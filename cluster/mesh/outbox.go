// Forwarding in batches. The first entry after a pause goes out at once; what follows within
// ForwardEvery waits and leaves together, and what a peer has itself sent meanwhile is not
// sent back to it. A flood of many entries so costs each link few wake-ups and few duplicates.

package mesh

import (
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// ForwardEvery is the least time between two batches of forwarded entries.
const ForwardEvery = 20_000

// outbox is the entries that wait to be sent to one peer, by their key in the seen-set.
type outbox struct {
	order   []uint64
	waiting map[uint64]*wire.Entry
}

func (b *outbox) add(key uint64, e *wire.Entry) {
	if b.waiting == nil {
		b.waiting = map[uint64]*wire.Entry{}
	}
	if _, ok := b.waiting[key]; !ok {
		b.order = append(b.order, key)
	}
	b.waiting[key] = e
}

// has notes that the peer holds an entry by its own word.
func (b *outbox) has(key uint64) bool {
	_, ok := b.waiting[key]
	delete(b.waiting, key)
	return ok
}

// forward sends an entry to all peers but one, now or with the next batch.
func (m *Mesh) forward(ctx *kernel.Context, e *wire.Entry, except uint64) {
	now := m.stopping || ctx.Now-m.forwardedAt >= ForwardEvery
	key := seenKey(e)
	for _, id := range sortedKeys(m.peers) {
		switch {
		case id == except:
		case now:
			m.send(ctx, id, e, news)
		default:
			m.peers[id].outbox.add(key, e)
		}
	}
	if now {
		m.forwardedAt = ctx.Now
		return
	}
	if !m.forwardArmed {
		m.forwardArmed = true
		ctx.After(m.forwardedAt+ForwardEvery-ctx.Now, "mesh", "forward")
	}
}

// forwardAll sends what waits for every peer.
func (m *Mesh) forwardAll(ctx *kernel.Context) {
	m.forwardedAt = ctx.Now
	for _, id := range sortedKeys(m.peers) {
		m.empty(ctx, m.peers[id])
	}
}

// empty sends what waits for one peer, in its order.
func (m *Mesh) empty(ctx *kernel.Context, p *peer) {
	for _, key := range p.outbox.order {
		if e := p.outbox.waiting[key]; e != nil {
			m.send(ctx, p.chanID, e, news)
		}
	}
	p.outbox = outbox{}
}
