package mesh

import (
	"crypto/ed25519"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// sendHeartbeats closes the connections of silent peers, evaluates the links, forgets unreachable
// origins, sends a heartbeat to each peer and maintains the overlay.
func (m *Mesh) sendHeartbeats(ctx *kernel.Context) {
	ctx.After(HeartbeatInterval, pluginName, timerHeartbeat)
	self := m.store.origins[m.self]
	self.heartbeat++
	self.heartbeatAt = ctx.Now
	for _, id := range sortedKeys(m.peers) {
		peer := m.peers[id]
		if peer == nil {
			// The loss of another peer has closed this connection: losePeer maintains the overlay, which
			// may close a surplus connection.
			continue
		}
		silence := ctx.Now - peer.lastSeen
		switch {
		case silence > PeerTimeout:
			ctx.Counts.Add("mesh_peers_silent", 1)
			m.losePeer(ctx, peer)
			ctx.Drop(id)
		case silence > HeartbeatInterval && silence < LivenessTimeout:
			// Evaluate the link when LivenessTimeout expires instead of at the next heartbeat.
			ctx.After(LivenessTimeout-silence, pluginName, timerLinks)
		}
	}
	m.updateLinks(ctx)
	m.forgetUnreachable(ctx)
	hb := &wire.Heartbeat{Addrs: m.sampleAddrs(ctx, "", heartbeatAddrs), Digest: m.digest()}
	if m.legacy = m.hasLegacyProcesses(); m.legacy {
		self.key, self.sig = m.k.Boot.Key.Public, ed25519.Sign(m.k.Boot.Key.Private, signedHeartbeatText(self.heartbeat))
		hb = m.legacyHeartbeat()
	}
	for _, id := range sortedKeys(m.peers) {
		ctx.SendLatest(id, wire.KindHeartbeat, hb, "heartbeat")
	}
	m.maintainLinks(ctx)
	ctx.Counts.Set("mesh_peers", int64(len(m.peers)))
	ctx.Counts.Set("mesh_origins", int64(len(m.store.origins)))
	ctx.Emit(LivenessUpdated{})
}

// forgetUnreachable drops the entries of origins that have not been live for ForgetAfter, and expired
// tombstones.
func (m *Mesh) forgetUnreachable(ctx *kernel.Context) {
	for _, fp := range sortedKeys(m.store.origins) {
		origin := m.store.origins[fp]
		origin.pruneTombstones(ctx.Now)
		if m.Live(fp, ctx.Now) {
			origin.lastLive = ctx.Now
		}
		if ctx.Now-max(origin.lastLive, origin.heartbeatAt) > ForgetAfter {
			m.store.forget(fp, ctx.Now)
			ctx.Emit(Forgotten{Origin: fp})
		}
	}
}

// handleHeartbeat handles a peer's heartbeat. A heartbeat without a digest comes from a process of
// release 1 and carries the summaries of all origins.
func (m *Mesh) handleHeartbeat(ctx *kernel.Context, peer *peerConn, hb *wire.Heartbeat) {
	for _, a := range hb.Addrs {
		m.addAddr(a)
	}
	for _, summary := range hb.Summaries {
		m.applySignedHeartbeat(ctx, peer.key, summary)
	}
	if peer.legacy = hb.Digest == 0; !peer.legacy {
		m.compareDigest(ctx, peer, hb)
		return
	}
	complete := *hb
	complete.Scope, complete.WantReply = allBuckets, false
	m.handleSummaries(ctx, peer, &complete)
	if hb.WantReply {
		// The reply is sent after the missing entries on the same connection, so a peer that has
		// received the reply has received all of these entries.
		ctx.Send(peer.conn, wire.KindHeartbeat, 0, m.legacyHeartbeat())
	}
}
