// Heartbeats keep channels alive, carry peer addresses, and a digest from which each
// side sees whether the other holds the same. Processes of the release before carry
// instead a mark of every origin, with its signed beat; while one of them is there, all do.

package mesh

import (
	"crypto/ed25519"
	"encoding/binary"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

func (m *Mesh) sendHeartbeats(ctx *kernel.Context) {
	ctx.After(HeartbeatInterval, "mesh", "beat")
	self := m.store.origins[m.self]
	self.heartbeat++
	self.heartbeatAt = ctx.Now
	for _, id := range sortedKeys(m.peers) {
		p := m.peers[id]
		if p == nil {
			// Given up since the loop began.
			continue
		}
		silent := ctx.Now - p.lastSeen
		switch {
		case silent > PeerTimeout:
			ctx.Counts.Add("mesh_peers_silent", 1)
			m.losePeer(ctx, p)
			ctx.Drop(id)
		case silent > HeartbeatInterval && silent < LivenessTimeout:
			// At its moment, not at the next beat.
			ctx.After(LivenessTimeout-silent, "mesh", "links")
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

// forgetUnreachable drops those that nobody has reached for long, and what was taken back long ago.
func (m *Mesh) forgetUnreachable(ctx *kernel.Context) {
	for _, fp := range sortedKeys(m.store.origins) {
		o := m.store.origins[fp]
		o.pruneTombstones(ctx.Now)
		if m.Live(fp, ctx.Now) {
			o.lastLive = ctx.Now
		}
		if ctx.Now-max(o.lastLive, o.heartbeatAt) > ForgetAfter {
			m.store.forget(fp, ctx.Now)
			ctx.Emit(Forgotten{Origin: fp})
		}
	}
}

// hasLegacyProcesses tells that processes of the release before are there, which know of no digests.
func (m *Mesh) hasLegacyProcesses() bool {
	for _, p := range m.peers {
		if p.legacy {
			return true
		}
	}
	for _, o := range m.store.origins {
		if o.reached && o.member != nil && o.member.Mesh < Release {
			return true
		}
	}
	return false
}

// legacyHeartbeat is a heartbeat as the release before sends it.
func (m *Mesh) legacyHeartbeat() *wire.Heartbeat {
	hb := &wire.Heartbeat{Addrs: m.knownAddrs(), Partitions: m.versions(), Digest: m.digest(), Scope: allBuckets}
	for _, fp := range sortedKeys(m.store.origins) {
		o := m.store.origins[fp]
		if o.heartbeat == 0 {
			continue
		}
		hb.Summaries = append(hb.Summaries, wire.OriginSummary{Origin: fp, Max: o.maxCount, Sum: o.sum, Heartbeat: o.heartbeat, Key: o.key, Sig: o.sig})
	}
	return hb
}

func (m *Mesh) handleHeartbeat(ctx *kernel.Context, p *peerConn, hb *wire.Heartbeat) {
	for _, a := range hb.Addrs {
		m.addAddr(a)
	}
	for _, mk := range hb.Summaries {
		m.applySignedHeartbeat(ctx, p.key, mk)
	}
	if p.legacy = hb.Digest == 0; !p.legacy {
		m.compareDigest(ctx, p, hb)
		return
	}
	whole := *hb
	whole.Scope, whole.Echo = allBuckets, false
	m.handleWatermarks(ctx, p, &whole)
	if hb.Echo {
		// After what was lacking, on the same channel: whoever reads this has all.
		ctx.Send(p.conn, wire.KindHeartbeat, 0, m.legacyHeartbeat())
	}
}

func (m *Mesh) applySignedHeartbeat(ctx *kernel.Context, from string, mk wire.OriginSummary) {
	if mk.Origin == m.self || mk.Heartbeat == 0 {
		return
	}
	if g, dead := m.store.forgotten[mk.Origin]; dead && mk.Heartbeat <= g.heartbeat {
		return
	}
	if o := m.store.origins[mk.Origin]; o != nil && mk.Heartbeat <= o.heartbeat {
		return
	}
	if !m.verifySignedHeartbeat(mk) {
		ctx.Counts.Add("mesh_dropped_beat", 1)
		return
	}
	o := m.store.origin(mk.Origin, ctx.Now)
	if o == nil {
		return
	}
	first := o.heartbeat == 0
	o.heartbeat, o.heartbeatAt, o.key, o.sig = mk.Heartbeat, ctx.Now, mk.Key, mk.Sig
	if first && mk.Origin != from {
		// Heard of from another: it may be long gone, and counts once its beat rises.
		o.heartbeatAt = ctx.Now - LivenessTimeout
	}
	delete(m.store.forgotten, mk.Origin)
}

// signedHeartbeatText is what an origin signs of each beat. The count binds it: it is signed when
// it is due and raises nothing a second time.
func signedHeartbeatText(beat uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte("wallport beat "), beat)
}

// verifySignedHeartbeat reports whether the origin itself came to a beat. Releases before 2 did not sign
// them; while a fleet is upgraded from one, a setting lets those pass.
func (m *Mesh) verifySignedHeartbeat(mk wire.OriginSummary) bool {
	if len(mk.Sig) == 0 {
		return m.k.Boot.Settings.UnsignedHeartbeats
	}
	return len(mk.Key) == ed25519.PublicKeySize && kernel.Fingerprint(mk.Key) == mk.Origin && ed25519.Verify(mk.Key, signedHeartbeatText(mk.Heartbeat), mk.Sig)
}
