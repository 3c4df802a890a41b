package mesh

import (
	"cmp"
	"maps"
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// dialState is the dial and backoff state of one known address.
type dialState struct {
	// nextAt is the earliest time of the next dial, backoff the wait after that dial.
	backoff  clock.Micros
	nextAt   clock.Micros
	inFlight bool
	// failures counts the failed dials in a row.
	failures int
}

// addAddr adds an address to the known ones, unless there are already MaxAddrs.
func (m *Mesh) addAddr(addr string) {
	if addr == "" || addr == m.addr || m.dials[addr] != nil || len(m.dials) >= MaxAddrs {
		return
	}
	m.dials[addr] = &dialState{backoff: MinBackoff}
}

// forgetAddr drops a known address to make room for another one. Among the addresses that are neither
// connected, nor being dialled, nor seeds, it chooses the one with the most failed dials in a row.
func (m *Mesh) forgetAddr() {
	for _, a := range slices.SortedFunc(maps.Keys(m.dials), func(a, b string) int {
		return cmp.Or(cmp.Compare(m.dials[b].failures, m.dials[a].failures), cmp.Compare(a, b))
	}) {
		if !m.dials[a].inFlight && !m.connected(a) && !slices.Contains(m.seeds, a) {
			delete(m.dials, a)
			return
		}
	}
}

// Numbers of addresses that a message carries in addition to the sender's own address.
const (
	// heartbeatAddrs is the number in a periodic heartbeat.
	heartbeatAddrs = 2
	// greetingAddrs is the number in an anti-entropy request and in the last message before a surplus
	// connection is closed. An anti-entropy request is also the first message on a dialled connection.
	greetingAddrs = 12
)

// maxDialFailures is how many dials in a row may fail before an address that is not a seed is dropped.
const maxDialFailures = 20

// sampleAddrs returns this process's address and up to n addresses of reached processes. If a zone is
// given, processes of that zone come first.
func (m *Mesh) sampleAddrs(ctx *kernel.Context, zone string, n int) []string {
	out := []string{m.addr}
	all := sortedKeys(m.store.origins)
	from := ctx.Rand.IntN(max(1, len(all)))
	for pass := range 2 {
		for i := range all {
			origin := m.store.origins[all[(from+i)%len(all)]]
			if len(out) > n || zone == "" && pass == 0 {
				break
			}
			if origin.member != nil && origin.reached && (origin.member.Zone == zone) == (pass == 0) {
				out = append(out, origin.member.Addr)
			}
		}
	}
	return out
}

// connected reports whether a connection to an address is open.
func (m *Mesh) connected(addr string) bool {
	for _, peer := range m.peers {
		if peer.addr == addr {
			return true
		}
	}
	return false
}

// dialIfDue dials a known address, unless it is connected, being dialled or in backoff, and reports
// whether it did.
func (m *Mesh) dialIfDue(ctx *kernel.Context, addr string) bool {
	dial := m.dials[addr]
	if dial == nil || dial.inFlight || ctx.Now < dial.nextAt || m.connected(addr) {
		return false
	}
	dial.inFlight = true
	dial.nextAt = ctx.Now + dial.backoff + ctx.Rand.Int64N(dial.backoff/4+1)
	most := MaxBackoff
	if slices.Contains(m.seeds, addr) {
		most = MaxSeedBackoff
	}
	dial.backoff = min(2*dial.backoff, most)
	ctx.Counts.Add("mesh_dials", 1)
	ctx.Dial(addr)
	return true
}

// handleConnUp handles a new connection. A connection of this process to itself is closed. Of two
// connections between the same processes, the one dialled by the process with the lower fingerprint is
// kept.
func (m *Mesh) handleConnUp(ctx *kernel.Context, v kernel.ConnUp) {
	if v.Dialed {
		if dial := m.dials[v.Addr]; dial != nil {
			dial.inFlight, dial.failures = false, 0
		}
	}
	if v.Peer == m.self {
		delete(m.dials, v.Addr)
		ctx.Drop(v.Conn)
		return
	}
	m.addAddr(v.Addr)
	for _, id := range sortedKeys(m.peers) {
		old := m.peers[id]
		if old.key != v.Peer {
			continue
		}
		if v.Dialed == (m.self < v.Peer) {
			delete(m.peers, id)
			ctx.Drop(id)
			break
		}
		ctx.Drop(v.Conn)
		return
	}
	peer := &peerConn{conn: v.Conn, addr: v.Addr, zone: v.Zone, key: v.Peer, since: ctx.Now, lastSeen: ctx.Now}
	m.peers[v.Conn] = peer
	ctx.Log(kernel.LevelDebug, "mesh_peer_up", "peer", v.Peer, "addr", v.Addr, "peers", len(m.peers))
	m.closeExcessPeers(ctx, v.Conn)
	back := m.store.restore(v.Peer)
	m.links.reannounce = m.links.reannounce || back
	m.updateLinks(ctx)
	if v.Dialed || back {
		m.requestSync(ctx, peer)
	}
}

// closeExcessPeers closes the connections beyond MaxPeers, starting with the one whose last message is
// the oldest. It never closes the newest connection.
func (m *Mesh) closeExcessPeers(ctx *kernel.Context, newest uint64) {
	for len(m.peers) > MaxPeers {
		ids := sortedKeys(m.peers)
		oldest := slices.MinFunc(ids, func(a, b uint64) int {
			return int(m.peers[a].lastSeen - m.peers[b].lastSeen)
		})
		if oldest == newest {
			return
		}
		ctx.Counts.Add("mesh_peers_evicted", 1)
		m.closePeer(ctx, m.peers[oldest])
	}
}

// handleConnDown handles a closed connection or a failed dial.
func (m *Mesh) handleConnDown(ctx *kernel.Context, v kernel.ConnDown) {
	if peer := m.peers[v.Conn]; peer != nil {
		m.losePeer(ctx, peer)
		return
	}
	if dial := m.dials[v.Addr]; dial != nil && dial.inFlight && v.Conn == 0 {
		dial.inFlight = false
		dial.failures++
		if dial.failures > maxDialFailures && !slices.Contains(m.seeds, v.Addr) {
			delete(m.dials, v.Addr)
		}
	}
}

// losePeer handles the loss of a connection whose peer may be down. The link remains for
// LinkGracePeriod after the loss.
func (m *Mesh) losePeer(ctx *kernel.Context, peer *peerConn) {
	delete(m.peers, peer.conn)
	ctx.Log(kernel.LevelDebug, "mesh_peer_down", "peer", peer.key, "addr", peer.addr, "peers", len(m.peers))
	count := uint64(0)
	if origin := m.store.origins[peer.key]; origin != nil {
		count = origin.maxCount
	}
	m.links.closed[peer.key] = closedConn{closedAt: ctx.Now, lastSeen: peer.lastSeen, maxCount: count}
	ctx.After(LinkGracePeriod, pluginName, timerLinks)
	if dial := m.dials[peer.addr]; dial != nil && ctx.Now-peer.since > MaxBackoff {
		dial.backoff, dial.nextAt = MinBackoff, ctx.Now
	}
	m.maintainLinks(ctx)
}

// closePeer closes a surplus connection. The last heartbeat on it carries addresses that the peer can
// dial instead.
func (m *Mesh) closePeer(ctx *kernel.Context, peer *peerConn) {
	delete(m.peers, peer.conn)
	ctx.Log(kernel.LevelDebug, "mesh_peer_left", "peer", peer.key, "addr", peer.addr, "peers", len(m.peers))
	m.flushPeer(ctx, peer)
	ctx.SendLatest(peer.conn, wire.KindHeartbeat, &wire.Heartbeat{Addrs: m.sampleAddrs(ctx, peer.zone, greetingAddrs), Digest: m.digest()}, "heartbeat")
	ctx.Drop(peer.conn)
}
