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
	// DigestBuckets of origins; the bit beyond them stands for the partitions.
	DigestBuckets = 63
	partitionsBit = 1 << DigestBuckets
	allBuckets    = ^uint64(0)
	// SyncInterval is the least time between two askings of one peer, and how long an asking of
	// one holds back those of others.
	SyncInterval = 400_000
	// SyncRetryInterval is the least time between two askings of one peer that brings what is lacking.
	SyncRetryInterval = 60_000
	// QuietPeriod is how long nothing must have changed before two digests are compared at their
	// first difference: what is new is under way by itself.
	QuietPeriod = 300_000
	// MaxSyncBytes bounds what is sent on one frame of marks, in bytes.
	MaxSyncBytes = 96 << 10
	// SyncIntervalReceiving takes the place of SyncInterval while a large message comes in: that may be what differs.
	SyncIntervalReceiving = 4_000_000
	// SyncBytesPerSecond bounds it for all peers together, in bytes a second.
	SyncBytesPerSecond = 512 << 10
)

// syncState is how far a process has caught up with a peer.
type syncState struct {
	requestedAt int64
	// differed is that the last heartbeat already showed another digest.
	differed bool
	// progressed is that something came by catching up since the last asking; again that another
	// asking is due.
	progressed, retryDue bool
	// syncedLocal and theirs are two digests of which it is known that neither side lacks anything.
	syncedLocal, syncedRemote uint64
}

func (m *Mesh) digest() uint64 {
	d := mix(m.store.versionsHash) | 1
	for _, b := range m.store.buckets {
		d = d*0x9e3779b97f4a7c15 + b
	}
	return d | 1
}

func bucketBit(fp string) uint64 { return 1 << (hash(fp) % DigestBuckets) }

// compareDigest looks at a peer's digest, and does what its frame asks for.
func (m *Mesh) compareDigest(ctx *kernel.Context, p *peerConn, hb *wire.Heartbeat) {
	mine := m.digest()
	switch {
	case hb.Scope != 0:
		m.handleWatermarks(ctx, p, hb)
	case hb.Digest == mine:
		p.differed = false
		m.markInSync(ctx)
		if hb.Echo {
			ctx.SendLatest(p.conn, wire.KindHeartbeat, &wire.Heartbeat{Digest: mine}, "answer")
		}
	case len(hb.Buckets) == DigestBuckets:
		scope := uint64(partitionsBit)
		for i, b := range m.store.buckets {
			if b != hb.Buckets[i] {
				scope |= 1 << i
			}
		}
		m.sendWatermarks(ctx, p, scope, true)
	default:
		m.digestDiffers(ctx, p, hb.Digest)
	}
}

// digestDiffers asks a peer whose digest is another, unless what differs is still under way, or
// is known to be of no use to either.
func (m *Mesh) digestDiffers(ctx *kernel.Context, p *peerConn, theirs uint64) {
	first := !p.differed
	p.differed = true
	switch {
	case p.syncedLocal == m.digest() && p.syncedRemote == theirs:
	case first && ctx.Now-m.changedAt < QuietPeriod:
	case ctx.Now-p.requestedAt < SyncInterval || ctx.Now-m.syncRequestedAt < SyncInterval:
	case m.k.ReceivingAny() && ctx.Now-m.syncRequestedAt < SyncIntervalReceiving:
	default:
		m.requestSync(ctx, p)
	}
}

// requestSync sends the sums of the buckets.
func (m *Mesh) requestSync(ctx *kernel.Context, p *peerConn) {
	p.requestedAt, m.syncRequestedAt, p.progressed, p.retryDue = ctx.Now, ctx.Now, false, false
	ctx.Counts.Add("mesh_asked", 1)
	hb := &wire.Heartbeat{Addrs: m.sampleAddrs(ctx, p.zone, greetingAddrs), Digest: m.digest(), Buckets: m.store.buckets[:], Echo: true}
	ctx.SendLatest(p.conn, wire.KindHeartbeat, hb, "buckets")
}

// handleWatermarks takes the marks of some buckets: what the other side lacks of them is sent, and, if
// it asks, then this side's marks, so that whoever has read them has all.
func (m *Mesh) handleWatermarks(ctx *kernel.Context, p *peerConn, hb *wire.Heartbeat) {
	theirs := make(map[string]wire.OriginSummary, len(hb.Summaries))
	for _, mk := range hb.Summaries {
		theirs[mk.Origin] = mk
	}
	left := min(MaxSyncBytes, m.syncAllowance(ctx.Now))
	was := left
	for _, fp := range sortedKeys(m.store.origins) {
		if left > 0 && hb.Scope&bucketBit(fp) != 0 {
			left -= m.sendMissingEntries(ctx, p, m.store.origins[fp], theirs[fp], left)
		}
	}
	left -= m.sendMissingVersions(ctx, p, hb.Partitions)
	m.syncTokens -= was - left
	lacks := m.isBehind(hb)
	if !lacks {
		m.markInSync(ctx)
		if left == was {
			p.syncedLocal, p.syncedRemote = m.digest(), hb.Digest
		}
	}
	switch {
	case hb.Echo:
		m.sendWatermarks(ctx, p, hb.Scope, lacks)
	case lacks && p.progressed && !p.legacy:
		m.requestSyncSoon(ctx, p)
	}
}

// requestSyncSoon asks a peer for what one round did not bring, not at once but soon: while a flood
// goes on, something is always lacking.
func (m *Mesh) requestSyncSoon(ctx *kernel.Context, p *peerConn) {
	wait := p.requestedAt + SyncRetryInterval - ctx.Now
	switch {
	case wait <= 0:
		m.requestSync(ctx, p)
	case !p.retryDue:
		p.retryDue = true
		ctx.After(wait, "mesh", "again")
	}
}

// requestDueSyncs asks the peers that are due to be asked again.
func (m *Mesh) requestDueSyncs(ctx *kernel.Context) {
	for _, id := range sortedKeys(m.peers) {
		if p := m.peers[id]; p.retryDue && ctx.Now >= p.requestedAt+SyncRetryInterval {
			m.requestSync(ctx, p)
		}
	}
}

func (m *Mesh) sendWatermarks(ctx *kernel.Context, p *peerConn, scope uint64, echo bool) {
	hb := &wire.Heartbeat{Digest: m.digest(), Scope: scope, Echo: echo, Partitions: m.versions()}
	for _, fp := range sortedKeys(m.store.origins) {
		if o := m.store.origins[fp]; scope&bucketBit(fp) != 0 && o.maxCount > 0 {
			hb.Summaries = append(hb.Summaries, wire.OriginSummary{Origin: fp, Max: o.maxCount, Sum: o.sum})
		}
	}
	ctx.Counts.Add("mesh_marks_out", int64(len(hb.Summaries)))
	ctx.Send(p.conn, wire.KindHeartbeat, 0, hb)
}

// markInSync notes that nothing is lacking here that a peer has.
func (m *Mesh) markInSync(ctx *kernel.Context) {
	m.inSync = true
	ctx.Emit(CaughtUp{})
}

// syncAllowance is how much may be sent to those that catch up, in bytes.
func (m *Mesh) syncAllowance(now int64) int {
	m.syncTokens = min(SyncBytesPerSecond, m.syncTokens+int((now-m.syncTokensAt)*SyncBytesPerSecond/1_000_000))
	m.syncTokensAt = now
	return max(0, m.syncTokens)
}

func (m *Mesh) versions() []wire.Version {
	out := make([]wire.Version, 0, len(m.store.partitions))
	for _, partition := range sortedKeys(m.store.partitions) {
		out = append(out, m.store.partitions[partition].Version)
	}
	return out
}

// sendMissingVersions sends the versions that the other side lacks. Of a large one it is told, and asks for it
// unless another already sends it.
func (m *Mesh) sendMissingVersions(ctx *kernel.Context, p *peerConn, theirs []wire.Version) (sent int) {
	stamps := map[int]wire.Version{}
	for _, s := range theirs {
		stamps[s.Partition] = s
	}
	for _, partition := range sortedKeys(m.store.partitions) {
		e := m.store.partitions[partition]
		if s, ok := stamps[partition]; !ok || Newer(e.Version, s) {
			if isLarge(e) {
				m.sendNotice(ctx, p.conn, e)
				continue
			}
			ctx.Counts.Add("mesh_caught_up", 1)
			sent += m.send(ctx, p.conn, e, bySync)
		}
	}
	return sent
}

// isBehind reports whether the other side holds something that this one does not.
func (m *Mesh) isBehind(hb *wire.Heartbeat) bool {
	for _, mk := range hb.Summaries {
		if mk.Origin == m.self || mk.Max == 0 {
			continue
		}
		if _, dead := m.store.forgotten[mk.Origin]; dead {
			continue
		}
		o := m.store.origins[mk.Origin]
		if o == nil || o.sum != mk.Sum && o.maxCount <= mk.Max {
			return true
		}
	}
	for _, s := range hb.Partitions {
		if e, ok := m.store.partitions[s.Partition]; !ok || Newer(s, e.Version) {
			return true
		}
	}
	return false
}

// sendMissingEntries sends what the other side lacks of an origin: what is past its counter, or, where
// the counters agree and the sums do not, everything.
func (m *Mesh) sendMissingEntries(ctx *kernel.Context, p *peerConn, o *originState, theirs wire.OriginSummary, most int) (sent int) {
	if o.sum == theirs.Sum || len(o.entries) == 0 || o.maxCount < theirs.Max {
		return 0
	}
	from := theirs.Max
	if o.maxCount == theirs.Max {
		from = 0
	}
	for _, key := range sortedKeys(o.entries) {
		if e := o.entries[key]; e.Count > from && sent < most {
			ctx.Counts.Add("mesh_caught_up", 1)
			sent += m.send(ctx, p.conn, e, bySync)
		}
	}
	return sent
}
