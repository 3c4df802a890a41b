// The protocol of release 1, used while a process of that release is in the fleet: heartbeats carry
// the summary and the signed heartbeat count of every origin.

package mesh

import (
	"crypto/ed25519"
	"encoding/binary"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// hasLegacyProcesses reports whether a process of release 1 is connected or reachable.
func (m *Mesh) hasLegacyProcesses() bool {
	for _, peer := range m.peers {
		if peer.legacy {
			return true
		}
	}
	for _, origin := range m.store.origins {
		if origin.reached && origin.member != nil && origin.member.Mesh < Release {
			return true
		}
	}
	return false
}

// legacyHeartbeat returns a heartbeat in the form of release 1, with the summary and the signed
// heartbeat count of every origin.
func (m *Mesh) legacyHeartbeat() *wire.Heartbeat {
	hb := &wire.Heartbeat{Addrs: m.knownAddrs(), Partitions: m.versions(), Digest: m.digest(), Scope: allBuckets}
	for _, fp := range sortedKeys(m.store.origins) {
		origin := m.store.origins[fp]
		if origin.heartbeat == 0 {
			continue
		}
		hb.Summaries = append(hb.Summaries, wire.OriginSummary{Origin: fp, Max: origin.maxCount, Sum: origin.sum, Heartbeat: origin.heartbeat, Key: origin.key, Sig: origin.sig})
	}
	return hb
}

// applySignedHeartbeat stores the heartbeat count of an origin if it is higher than the stored one and
// its signature is valid. from is the fingerprint of the peer that sent the count: the origin itself or
// a peer that relays the count.
func (m *Mesh) applySignedHeartbeat(ctx *kernel.Context, from string, summary wire.OriginSummary) {
	if summary.Origin == m.self || summary.Heartbeat == 0 {
		return
	}
	if g, dead := m.store.forgotten[summary.Origin]; dead && summary.Heartbeat <= g.heartbeat {
		return
	}
	if origin := m.store.origins[summary.Origin]; origin != nil && summary.Heartbeat <= origin.heartbeat {
		return
	}
	if !m.verifySignedHeartbeat(summary) {
		ctx.Counts.Add("mesh_dropped_beat", 1)
		return
	}
	origin := m.store.origin(summary.Origin, ctx.Now)
	if origin == nil {
		return
	}
	first := origin.heartbeat == 0
	origin.heartbeat, origin.heartbeatAt, origin.key, origin.sig = summary.Heartbeat, ctx.Now, summary.Key, summary.Sig
	if first && summary.Origin != from {
		// The count was relayed by another process, so the origin may have stopped long ago. It counts
		// as live only after its heartbeat count increases.
		origin.heartbeatAt = ctx.Now - LivenessTimeout
	}
	delete(m.store.forgotten, summary.Origin)
}

// signedHeartbeatText returns the text that an origin signs for a heartbeat. The text contains the
// count, so a replayed signature cannot raise the count.
func signedHeartbeatText(beat uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte("wallport beat "), beat)
}

// verifySignedHeartbeat reports whether the origin itself signed a heartbeat count. Releases before
// 2 did not sign heartbeats; the setting UnsignedHeartbeats accepts unsigned ones during an upgrade
// from such a release.
func (m *Mesh) verifySignedHeartbeat(summary wire.OriginSummary) bool {
	if len(summary.Sig) == 0 {
		return m.k.Boot.Settings.UnsignedHeartbeats
	}
	return len(summary.Key) == ed25519.PublicKeySize && kernel.Fingerprint(summary.Key) == summary.Origin && ed25519.Verify(summary.Key, signedHeartbeatText(summary.Heartbeat), summary.Sig)
}

// knownAddrs returns the addresses of this process and its connected peers.
func (m *Mesh) knownAddrs() []string {
	addrs := []string{m.addr}
	for _, id := range sortedKeys(m.peers) {
		addrs = append(addrs, m.peers[id].addr)
	}
	return addrs
}
