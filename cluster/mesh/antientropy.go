package mesh

import (
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Digest buckets and request intervals of the anti-entropy synchronization.
const (
	// DigestBuckets is the number of buckets into which origins are hashed. A scope is a bit set: one
	// bit for each bucket and, above these, partitionsBit for the versions of the partitions.
	DigestBuckets = 63
	partitionsBit = 1 << DigestBuckets
	allBuckets    = ^uint64(0)
	// SyncInterval is the least time between two anti-entropy requests, to the same peer or to different
	// peers.
	SyncInterval = 400 * clock.Millisecond
	// SyncIntervalReceiving replaces SyncInterval while a large message is being received, since that
	// message may contain the entries that this process lacks.
	SyncIntervalReceiving = 4 * clock.Second
	// SyncRetryInterval is the least time between two requests to one peer while its replies still
	// bring new entries.
	SyncRetryInterval = 60 * clock.Millisecond
	// QuietPeriod is how long the store must have been unchanged before the first difference from a
	// peer's digest causes a request. Before that, the difference is probably due to a new entry that is
	// still being flooded.
	QuietPeriod = 300 * clock.Millisecond
	// MaxSyncBytes bounds the bytes of entries sent in reply to one message of summaries.
	MaxSyncBytes = 96 << 10
	// SyncBytesPerSecond bounds the bytes per second that anti-entropy sends to all peers together.
	SyncBytesPerSecond = 512 << 10
)

// syncState is the progress of anti-entropy with one peer.
type syncState struct {
	requestedAt clock.Micros
	// differed reports whether the digest in the peer's last heartbeat differed from this process's.
	differed bool
	// progressed reports whether anti-entropy with this peer brought a new entry since the last
	// request, retryDue whether a timer for another request is set.
	progressed, retryDue bool
	// syncedLocal and syncedRemote are the digests of this process and of the peer when their summaries
	// last showed that neither lacked an entry that the other had. While both digests are unchanged, a
	// difference between them causes no request.
	syncedLocal, syncedRemote uint64
}

// digest returns the digest of the store that heartbeats carry. It is never 0, since 0 in a heartbeat
// means that there is no digest.
func (m *Mesh) digest() uint64 {
	d := mix(m.store.versionsHash) | 1
	for _, b := range m.store.buckets {
		d = d*0x9e3779b97f4a7c15 + b
	}
	return d | 1
}

// bucketBit returns the scope bit of an origin's bucket.
func bucketBit(fp string) uint64 { return 1 << (hash(fp) % DigestBuckets) }

// compareDigest handles the anti-entropy part of a heartbeat: a digest alone, a digest with bucket
// sums, or the summaries of some buckets.
func (m *Mesh) compareDigest(ctx *kernel.Context, peer *peerConn, hb *wire.Heartbeat) {
	mine := m.digest()
	switch {
	case hb.Scope != 0:
		m.handleSummaries(ctx, peer, hb)
	case hb.Digest == mine:
		peer.differed = false
		m.markInSync(ctx)
		if hb.WantReply {
			ctx.SendLatest(peer.conn, wire.KindHeartbeat, &wire.Heartbeat{Digest: mine}, "answer")
		}
	case len(hb.Buckets) == DigestBuckets:
		scope := uint64(partitionsBit)
		for i, b := range m.store.buckets {
			if b != hb.Buckets[i] {
				scope |= 1 << i
			}
		}
		m.sendSummaries(ctx, peer, scope, true)
	default:
		m.digestDiffers(ctx, peer, hb.Digest)
	}
}

// digestDiffers requests anti-entropy from a peer whose digest differs. It sends no request if an
// earlier comparison of these two digests showed that neither process lacks an entry, if the missing
// entries are probably being sent already, or if the last request was too recent.
func (m *Mesh) digestDiffers(ctx *kernel.Context, peer *peerConn, theirs uint64) {
	first := !peer.differed
	peer.differed = true
	switch {
	case peer.syncedLocal == m.digest() && peer.syncedRemote == theirs:
	case first && ctx.Now-m.changedAt < QuietPeriod:
	case ctx.Now-peer.requestedAt < SyncInterval || ctx.Now-m.syncRequestedAt < SyncInterval:
	case m.k.ReceivingAny() && ctx.Now-m.syncRequestedAt < SyncIntervalReceiving:
	default:
		m.requestSync(ctx, peer)
	}
}

// requestSync sends the bucket sums to a peer, which replies with the summaries of the buckets that
// differ.
func (m *Mesh) requestSync(ctx *kernel.Context, peer *peerConn) {
	peer.requestedAt, m.syncRequestedAt, peer.progressed, peer.retryDue = ctx.Now, ctx.Now, false, false
	ctx.Counts.Add("mesh_asked", 1)
	hb := &wire.Heartbeat{Addrs: m.sampleAddrs(ctx, peer.zone, greetingAddrs), Digest: m.digest(), Buckets: m.store.buckets[:], WantReply: true}
	ctx.SendLatest(peer.conn, wire.KindHeartbeat, hb, "buckets")
}

// handleSummaries sends the entries that the peer lacks according to its summaries. If the peer set
// WantReply, this process's summaries are sent after the entries, so a peer that receives the summaries
// has received all of the entries.
func (m *Mesh) handleSummaries(ctx *kernel.Context, peer *peerConn, hb *wire.Heartbeat) {
	theirs := make(map[string]wire.OriginSummary, len(hb.Summaries))
	for _, summary := range hb.Summaries {
		theirs[summary.Origin] = summary
	}
	allowance := min(MaxSyncBytes, m.syncAllowance(ctx.Now))
	left := allowance
	for _, fp := range sortedKeys(m.store.origins) {
		if left > 0 && hb.Scope&bucketBit(fp) != 0 {
			left -= m.sendMissingEntries(ctx, peer, m.store.origins[fp], theirs[fp], left)
		}
	}
	left -= m.sendMissingVersions(ctx, peer, hb.Partitions)
	m.syncTokens -= allowance - left
	behind := m.isBehind(hb)
	if !behind {
		m.markInSync(ctx)
		if left == allowance {
			peer.syncedLocal, peer.syncedRemote = m.digest(), hb.Digest
		}
	}
	switch {
	case hb.WantReply:
		m.sendSummaries(ctx, peer, hb.Scope, behind)
	case behind && peer.progressed && !peer.legacy:
		m.requestSyncSoon(ctx, peer)
	}
}

// requestSyncSoon sends another request to a peer whose last reply was incomplete, but not before
// SyncRetryInterval has passed since the last request. Without that interval, requests would directly
// follow each other during a flood, when some entry is always missing.
func (m *Mesh) requestSyncSoon(ctx *kernel.Context, peer *peerConn) {
	wait := peer.requestedAt + SyncRetryInterval - ctx.Now
	switch {
	case wait <= 0:
		m.requestSync(ctx, peer)
	case !peer.retryDue:
		peer.retryDue = true
		ctx.After(wait, pluginName, timerSyncRetry)
	}
}

// requestDueSyncs sends the requests that requestSyncSoon delayed and that are now due.
func (m *Mesh) requestDueSyncs(ctx *kernel.Context) {
	for _, id := range sortedKeys(m.peers) {
		if peer := m.peers[id]; peer.retryDue && ctx.Now >= peer.requestedAt+SyncRetryInterval {
			m.requestSync(ctx, peer)
		}
	}
}

// sendSummaries sends the highest count and the sum of each origin in the scope's buckets, and the
// versions of all partitions. With wantReply set, the peer replies with its own summaries.
func (m *Mesh) sendSummaries(ctx *kernel.Context, peer *peerConn, scope uint64, wantReply bool) {
	hb := &wire.Heartbeat{Digest: m.digest(), Scope: scope, WantReply: wantReply, Partitions: m.versions()}
	for _, fp := range sortedKeys(m.store.origins) {
		if origin := m.store.origins[fp]; scope&bucketBit(fp) != 0 && origin.maxCount > 0 {
			hb.Summaries = append(hb.Summaries, wire.OriginSummary{Origin: fp, Max: origin.maxCount, Sum: origin.sum})
		}
	}
	ctx.Counts.Add("mesh_marks_out", int64(len(hb.Summaries)))
	ctx.Send(peer.conn, wire.KindHeartbeat, 0, hb)
}

// markInSync records that a peer has no entry that this process lacks.
func (m *Mesh) markInSync(ctx *kernel.Context) {
	m.inSync = true
	ctx.Emit(CaughtUp{})
}

// syncAllowance refills the token bucket of anti-entropy and returns the number of bytes that may be
// sent.
func (m *Mesh) syncAllowance(now clock.Micros) int {
	m.syncTokens = min(SyncBytesPerSecond, m.syncTokens+int((now-m.syncTokensAt)*SyncBytesPerSecond/clock.Second))
	m.syncTokensAt = now
	return max(0, m.syncTokens)
}

// versions returns the versions of all partitions, by partition.
func (m *Mesh) versions() []wire.Version {
	out := make([]wire.Version, 0, len(m.store.partitions))
	for _, partition := range sortedKeys(m.store.partitions) {
		out = append(out, m.store.partitions[partition].Version)
	}
	return out
}

// sendMissingVersions sends the versions that a peer lacks and returns their size in bytes. For a
// large version it sends only a notice: the peer requests the version if no other process is already
// sending it.
func (m *Mesh) sendMissingVersions(ctx *kernel.Context, peer *peerConn, theirs []wire.Version) (sent int) {
	known := map[int]wire.Version{}
	for _, version := range theirs {
		known[version.Partition] = version
	}
	for _, partition := range sortedKeys(m.store.partitions) {
		entry := m.store.partitions[partition]
		if version, ok := known[partition]; !ok || Newer(entry.Version, version) {
			if isLarge(entry) {
				m.sendNotice(ctx, peer.conn, entry)
				continue
			}
			ctx.Counts.Add("mesh_caught_up", 1)
			sent += m.send(ctx, peer.conn, entry, bySync)
		}
	}
	return sent
}

// isBehind reports whether a peer's summaries show an entry or a version that this process lacks.
func (m *Mesh) isBehind(hb *wire.Heartbeat) bool {
	for _, summary := range hb.Summaries {
		if summary.Origin == m.self || summary.Max == 0 {
			continue
		}
		if _, dead := m.store.forgotten[summary.Origin]; dead {
			continue
		}
		origin := m.store.origins[summary.Origin]
		if origin == nil || origin.sum != summary.Sum && origin.maxCount <= summary.Max {
			return true
		}
	}
	for _, version := range hb.Partitions {
		if entry, ok := m.store.partitions[version.Partition]; !ok || Newer(version, entry.Version) {
			return true
		}
	}
	return false
}

// sendMissingEntries sends the entries of an origin that a peer lacks and returns their size in bytes.
// It stops when that size reaches the limit most. If the peer's highest count is lower, it sends the
// entries above that count; if the counts are equal but the sums differ, it sends all entries. If the
// peer's highest count is higher, it sends none, since the peer has the newer entries.
func (m *Mesh) sendMissingEntries(ctx *kernel.Context, peer *peerConn, origin *originState, theirs wire.OriginSummary, most int) (sent int) {
	if origin.sum == theirs.Sum || len(origin.entries) == 0 || origin.maxCount < theirs.Max {
		return 0
	}
	from := theirs.Max
	if origin.maxCount == theirs.Max {
		from = 0
	}
	for _, key := range sortedKeys(origin.entries) {
		if entry := origin.entries[key]; entry.Count > from && sent < most {
			ctx.Counts.Add("mesh_caught_up", 1)
			sent += m.send(ctx, peer.conn, entry, bySync)
		}
	}
	return sent
}
