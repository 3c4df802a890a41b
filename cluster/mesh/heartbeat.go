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

func (m *Mesh) beat(ctx *kernel.Context) {
	ctx.After(HeartbeatEvery, "mesh", "beat")
	self := m.store.origins[m.self]
	self.beat++
	self.beatAt = ctx.Now
	for _, id := range sortedKeys(m.peers) {
		p := m.peers[id]
		if p == nil {
			// Given up since the loop began.
			continue
		}
		silent := ctx.Now - p.lastSeen
		switch {
		case silent > SilentAfter:
			ctx.Counts.Add("mesh_peers_silent", 1)
			m.lose(ctx, p)
			ctx.Drop(id)
		case silent > HeartbeatEvery && silent < LiveFor:
			// At its moment, not at the next beat.
			ctx.After(LiveFor-silent, "mesh", "links")
		}
	}
	m.relink(ctx)
	m.forget(ctx)
	hb := &wire.Heartbeat{Addrs: m.someAddrs(ctx, "", beatAddrs), Digest: m.digest()}
	if m.old = m.upgrading(); m.old {
		self.key, self.sig = m.k.Boot.Key.Public, ed25519.Sign(m.k.Boot.Key.Private, beatText(self.beat))
		hb = m.marks()
	}
	for _, id := range sortedKeys(m.peers) {
		ctx.SendLatest(id, wire.KindHeartbeat, hb, "heartbeat")
	}
	m.tend(ctx)
	ctx.Counts.Set("mesh_peers", int64(len(m.peers)))
	ctx.Counts.Set("mesh_origins", int64(len(m.store.origins)))
	ctx.Emit(Pulse{})
}

// forget drops those that nobody has reached for long, and what was taken back long ago.
func (m *Mesh) forget(ctx *kernel.Context) {
	for _, fp := range sortedKeys(m.store.origins) {
		o := m.store.origins[fp]
		o.prune(ctx.Now)
		if m.Live(fp, ctx.Now) {
			o.liveAt = ctx.Now
		}
		if ctx.Now-max(o.liveAt, o.beatAt) > ForgetAfter {
			m.store.bury(fp, ctx.Now)
			ctx.Emit(Forgotten{Origin: fp})
		}
	}
}

// upgrading tells that processes of the release before are there, which know of no digests.
func (m *Mesh) upgrading() bool {
	for _, p := range m.peers {
		if p.old {
			return true
		}
	}
	for _, o := range m.store.origins {
		if o.reached && o.row != nil && o.row.Mesh < Release {
			return true
		}
	}
	return false
}

// marks is a heartbeat as the release before sends it.
func (m *Mesh) marks() *wire.Heartbeat {
	hb := &wire.Heartbeat{Addrs: m.knownAddrs(), Partitions: m.stamps(), Digest: m.digest(), Scope: wholeMask}
	for _, fp := range sortedKeys(m.store.origins) {
		o := m.store.origins[fp]
		if o.beat == 0 {
			continue
		}
		hb.Marks = append(hb.Marks, wire.Mark{Origin: fp, Max: o.max, Sum: o.sum, Beat: o.beat, Key: o.key, Sig: o.sig})
	}
	return hb
}

func (m *Mesh) heartbeat(ctx *kernel.Context, p *peer, hb *wire.Heartbeat) {
	for _, a := range hb.Addrs {
		m.know(a)
	}
	for _, mk := range hb.Marks {
		m.takeBeat(ctx, p.key, mk)
	}
	if p.old = hb.Digest == 0; !p.old {
		m.compare(ctx, p, hb)
		return
	}
	whole := *hb
	whole.Scope, whole.Echo = wholeMask, false
	m.marked(ctx, p, &whole)
	if hb.Echo {
		// After what was lacking, on the same channel: whoever reads this has all.
		ctx.Send(p.chanID, wire.KindHeartbeat, 0, m.marks())
	}
}

func (m *Mesh) takeBeat(ctx *kernel.Context, from string, mk wire.Mark) {
	if mk.Origin == m.self || mk.Beat == 0 {
		return
	}
	if g, dead := m.store.buried[mk.Origin]; dead && mk.Beat <= g.beat {
		return
	}
	if o := m.store.origins[mk.Origin]; o != nil && mk.Beat <= o.beat {
		return
	}
	if !m.proved(mk) {
		ctx.Counts.Add("mesh_dropped_beat", 1)
		return
	}
	o := m.store.origin(mk.Origin, ctx.Now)
	if o == nil {
		return
	}
	first := o.beat == 0
	o.beat, o.beatAt, o.key, o.sig = mk.Beat, ctx.Now, mk.Key, mk.Sig
	if first && mk.Origin != from {
		// Heard of from another: it may be long gone, and counts once its beat rises.
		o.beatAt = ctx.Now - LiveFor
	}
	delete(m.store.buried, mk.Origin)
}

// beatText is what an origin signs of each beat. The count binds it: it is signed when
// it is due and raises nothing a second time.
func beatText(beat uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte("wallport beat "), beat)
}

// proved reports whether the origin itself came to a beat. Releases before 2 did not sign
// them; while a fleet is upgraded from one, a setting lets those pass.
func (m *Mesh) proved(mk wire.Mark) bool {
	if len(mk.Sig) == 0 {
		return m.k.Boot.Settings.UnsignedBeats
	}
	return len(mk.Key) == ed25519.PublicKeySize && kernel.Fingerprint(mk.Key) == mk.Origin && ed25519.Verify(mk.Key, beatText(mk.Beat), mk.Sig)
}
