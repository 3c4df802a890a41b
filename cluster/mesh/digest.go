// Catching up. Heartbeats carry one digest over all that a process holds. Where two
// differ, one side sends the sums of its buckets, the other its marks of those that
// differ, the first its own marks of the same, and each sends what the other lacks.
// What is sent at a time is bounded; the next heartbeat shows what is still missing.

package mesh

import (
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of catching up.
const (
	// Buckets of origins; the bit beyond them stands for the partitions.
	Buckets   = 63
	partsBit  = 1 << Buckets
	wholeMask = ^uint64(0)
	// AskEvery is the least time between two askings of one peer, and how long an asking of
	// one holds back those of others.
	AskEvery = 400_000
	// AgainEvery is the least time between two askings of one peer that brings what is lacking.
	AgainEvery = 60_000
	// StillFor is how long nothing must have changed before two digests are compared at their
	// first difference: what is new is under way by itself.
	StillFor = 300_000
	// PushMost bounds what is sent on one frame of marks, in bytes.
	PushMost = 96 << 10
	// AskReceiving takes the place of AskEvery while a large message comes in: that may be what differs.
	AskReceiving = 4_000_000
	// ServeMost bounds it for all peers together, in bytes a second.
	ServeMost = 512 << 10
)

// catching is how far a process has caught up with a peer.
type catching struct {
	askedAt int64
	// differed is that the last heartbeat already showed another digest.
	differed bool
	// gained is that something came by catching up since the last asking; again that another
	// asking is due.
	gained, again bool
	// mine and theirs are two digests of which it is known that neither side lacks anything.
	mine, theirs uint64
}

func (m *Mesh) digest() uint64 {
	d := mix(m.store.stamps) | 1
	for _, b := range m.store.buckets {
		d = d*0x9e3779b97f4a7c15 + b
	}
	return d | 1
}

func bucketBit(fp string) uint64 { return 1 << (hash(fp) % Buckets) }

// compare looks at a peer's digest, and does what its frame asks for.
func (m *Mesh) compare(ctx *kernel.Context, p *peer, hb *wire.Heartbeat) {
	mine := m.digest()
	switch {
	case hb.Scope != 0:
		m.marked(ctx, p, hb)
	case hb.Digest == mine:
		p.differed = false
		m.inStep(ctx)
		if hb.Echo {
			ctx.SendLatest(p.chanID, wire.KindHeartbeat, &wire.Heartbeat{Digest: mine}, "answer")
		}
	case len(hb.Buckets) == Buckets:
		scope := uint64(partsBit)
		for i, b := range m.store.buckets {
			if b != hb.Buckets[i] {
				scope |= 1 << i
			}
		}
		m.sendMarks(ctx, p, scope, true)
	default:
		m.differs(ctx, p, hb.Digest)
	}
}

// differs asks a peer whose digest is another, unless what differs is still under way, or
// is known to be of no use to either.
func (m *Mesh) differs(ctx *kernel.Context, p *peer, theirs uint64) {
	first := !p.differed
	p.differed = true
	switch {
	case p.mine == m.digest() && p.theirs == theirs:
	case first && ctx.Now-m.changedAt < StillFor:
	case ctx.Now-p.askedAt < AskEvery || ctx.Now-m.askedAt < AskEvery:
	case m.k.Receiving() && ctx.Now-m.askedAt < AskReceiving:
	default:
		m.ask(ctx, p)
	}
}

// ask sends the sums of the buckets.
func (m *Mesh) ask(ctx *kernel.Context, p *peer) {
	p.askedAt, m.askedAt, p.gained, p.again = ctx.Now, ctx.Now, false, false
	ctx.Counts.Add("mesh_asked", 1)
	hb := &wire.Heartbeat{Addrs: m.someAddrs(ctx, p.zone, greetAddrs), Digest: m.digest(), Buckets: m.store.buckets[:], Echo: true}
	ctx.SendLatest(p.chanID, wire.KindHeartbeat, hb, "buckets")
}

// marked takes the marks of some buckets: what the other side lacks of them is sent, and, if
// it asks, then this side's marks, so that whoever has read them has all.
func (m *Mesh) marked(ctx *kernel.Context, p *peer, hb *wire.Heartbeat) {
	theirs := make(map[string]wire.Mark, len(hb.Marks))
	for _, mk := range hb.Marks {
		theirs[mk.Origin] = mk
	}
	left := min(PushMost, m.mayServe(ctx.Now))
	was := left
	for _, fp := range sortedKeys(m.store.origins) {
		if left > 0 && hb.Scope&bucketBit(fp) != 0 {
			left -= m.catchUp(ctx, p, m.store.origins[fp], theirs[fp], left)
		}
	}
	left -= m.pushParts(ctx, p, hb.Partitions)
	m.served -= was - left
	lacks := m.lacks(hb)
	if !lacks {
		m.inStep(ctx)
		if left == was {
			p.mine, p.theirs = m.digest(), hb.Digest
		}
	}
	switch {
	case hb.Echo:
		m.sendMarks(ctx, p, hb.Scope, lacks)
	case lacks && p.gained && !p.old:
		m.askAgain(ctx, p)
	}
}

// askAgain asks a peer for what one round did not bring, not at once but soon: while a flood
// goes on, something is always lacking.
func (m *Mesh) askAgain(ctx *kernel.Context, p *peer) {
	wait := p.askedAt + AgainEvery - ctx.Now
	switch {
	case wait <= 0:
		m.ask(ctx, p)
	case !p.again:
		p.again = true
		ctx.After(wait, "mesh", "again")
	}
}

// askDue asks the peers that are due to be asked again.
func (m *Mesh) askDue(ctx *kernel.Context) {
	for _, id := range sortedKeys(m.peers) {
		if p := m.peers[id]; p.again && ctx.Now >= p.askedAt+AgainEvery {
			m.ask(ctx, p)
		}
	}
}

func (m *Mesh) sendMarks(ctx *kernel.Context, p *peer, scope uint64, echo bool) {
	hb := &wire.Heartbeat{Digest: m.digest(), Scope: scope, Echo: echo, Partitions: m.stamps()}
	for _, fp := range sortedKeys(m.store.origins) {
		if o := m.store.origins[fp]; scope&bucketBit(fp) != 0 && o.max > 0 {
			hb.Marks = append(hb.Marks, wire.Mark{Origin: fp, Max: o.max, Sum: o.sum})
		}
	}
	ctx.Counts.Add("mesh_marks_out", int64(len(hb.Marks)))
	ctx.Send(p.chanID, wire.KindHeartbeat, 0, hb)
}

// inStep notes that nothing is lacking here that a peer has.
func (m *Mesh) inStep(ctx *kernel.Context) {
	m.caught = true
	ctx.Emit(CaughtUp{})
}

// mayServe is how much may be sent to those that catch up, in bytes.
func (m *Mesh) mayServe(now int64) int {
	m.served = min(ServeMost, m.served+int((now-m.servedAt)*ServeMost/1_000_000))
	m.servedAt = now
	return max(0, m.served)
}

func (m *Mesh) stamps() []wire.Version {
	out := make([]wire.Version, 0, len(m.store.parts))
	for _, partition := range sortedKeys(m.store.parts) {
		out = append(out, m.store.parts[partition].Version)
	}
	return out
}

// pushParts sends the versions that the other side lacks. Of a large one it is told, and asks for it
// unless another already sends it.
func (m *Mesh) pushParts(ctx *kernel.Context, p *peer, theirs []wire.Version) (sent int) {
	stamps := map[int]wire.Version{}
	for _, s := range theirs {
		stamps[s.Partition] = s
	}
	for _, partition := range sortedKeys(m.store.parts) {
		e := m.store.parts[partition]
		if s, ok := stamps[partition]; !ok || Newer(e.Version, s) {
			if isLarge(e) {
				m.notify(ctx, p.chanID, e)
				continue
			}
			ctx.Counts.Add("mesh_caught_up", 1)
			sent += m.send(ctx, p.chanID, e, caughtUp)
		}
	}
	return sent
}

// lacks reports whether the other side holds something that this one does not.
func (m *Mesh) lacks(hb *wire.Heartbeat) bool {
	for _, mk := range hb.Marks {
		if mk.Origin == m.self || mk.Max == 0 {
			continue
		}
		if _, dead := m.store.buried[mk.Origin]; dead {
			continue
		}
		o := m.store.origins[mk.Origin]
		if o == nil || o.sum != mk.Sum && o.max <= mk.Max {
			return true
		}
	}
	for _, s := range hb.Partitions {
		if e, ok := m.store.parts[s.Partition]; !ok || Newer(s, e.Version) {
			return true
		}
	}
	return false
}

// catchUp sends what the other side lacks of an origin: what is past its counter, or, where
// the counters agree and the sums do not, everything.
func (m *Mesh) catchUp(ctx *kernel.Context, p *peer, o *origin, theirs wire.Mark, most int) (sent int) {
	if o.sum == theirs.Sum || len(o.entries) == 0 || o.max < theirs.Max {
		return 0
	}
	from := theirs.Max
	if o.max == theirs.Max {
		from = 0
	}
	for _, key := range sortedKeys(o.entries) {
		if e := o.entries[key]; e.Count > from && sent < most {
			ctx.Counts.Add("mesh_caught_up", 1)
			sent += m.send(ctx, p.chanID, e, caughtUp)
		}
	}
	return sent
}
