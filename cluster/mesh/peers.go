// Peers: channels that come and go. Above the cap the peer seen longest ago is evicted;
// of two channels between one pair one stays.

package mesh

import (
	"cmp"
	"maps"
	"slices"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

type dialState struct {
	backoff  int64
	nextAt   int64
	inFlight bool
	attempts int
	// failed is that nobody answered at the last try.
	failed bool
}

func (m *Mesh) addAddr(addr string) {
	if addr == "" || addr == m.addr || m.dials[addr] != nil || len(m.dials) >= MaxAddrs {
		return
	}
	m.dials[addr] = &dialState{backoff: MinBackoff}
}

// forgetAddr makes room among the known addresses: one that nobody answers at, if any.
func (m *Mesh) forgetAddr() {
	for _, a := range slices.SortedFunc(maps.Keys(m.dials), func(a, b string) int {
		return cmp.Or(cmp.Compare(m.dials[b].attempts, m.dials[a].attempts), cmp.Compare(a, b))
	}) {
		if !m.dials[a].inFlight && !m.connected(a) && !slices.Contains(m.seeds, a) {
			delete(m.dials, a)
			return
		}
	}
}

// Addresses that a heartbeat carries besides the own, and the frames with which a channel begins.
const (
	heartbeatAddrs = 2
	greetingAddrs  = 12
)

func (m *Mesh) knownAddrs() []string {
	addrs := []string{m.addr}
	for _, id := range sortedKeys(m.peers) {
		addrs = append(addrs, m.peers[id].addr)
	}
	return addrs
}

// sampleAddrs are the own address and some of those reached, of a zone first.
func (m *Mesh) sampleAddrs(ctx *kernel.Context, zone string, n int) []string {
	out := []string{m.addr}
	all := sortedKeys(m.store.origins)
	from := ctx.Rand.IntN(max(1, len(all)))
	for pass := range 2 {
		for i := range all {
			o := m.store.origins[all[(from+i)%len(all)]]
			if len(out) > n || zone == "" && pass == 0 {
				break
			}
			if o.member != nil && o.reached && (o.member.Zone == zone) == (pass == 0) {
				out = append(out, o.member.Addr)
			}
		}
	}
	return out
}

func (m *Mesh) connected(addr string) bool {
	for _, p := range m.peers {
		if p.addr == addr {
			return true
		}
	}
	return false
}

func (m *Mesh) dialIfDue(ctx *kernel.Context, addr string) bool {
	d := m.dials[addr]
	if d == nil || d.inFlight || ctx.Now < d.nextAt || m.connected(addr) {
		return false
	}
	d.inFlight = true
	d.nextAt = ctx.Now + d.backoff + ctx.Rand.Int64N(d.backoff/4+1)
	most := int64(MaxBackoff)
	if slices.Contains(m.seeds, addr) {
		most = MaxSeedBackoff
	}
	d.backoff = min(2*d.backoff, most)
	ctx.Counts.Add("mesh_dials", 1)
	ctx.Dial(addr)
	return true
}

func (m *Mesh) handleConnUp(ctx *kernel.Context, v kernel.ConnUp) {
	if v.Dialed {
		if d := m.dials[v.Addr]; d != nil {
			d.inFlight, d.attempts, d.failed = false, 0, false
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
		// Of two channels between one pair, the one that the lesser key dialled stays.
		if v.Dialed == (m.self < v.Peer) {
			delete(m.peers, id)
			ctx.Drop(id)
			break
		}
		ctx.Drop(v.Conn)
		return
	}
	p := &peerConn{conn: v.Conn, addr: v.Addr, zone: v.Zone, key: v.Peer, dialed: v.Dialed, since: ctx.Now, lastSeen: ctx.Now}
	m.peers[v.Conn] = p
	ctx.Log(kernel.LevelDebug, "mesh_peer_up", "peer", v.Peer, "addr", v.Addr, "peers", len(m.peers))
	m.evictPeers(ctx, v.Conn)
	back := m.store.restore(v.Peer)
	m.links.reannounce = m.links.reannounce || back
	m.updateLinks(ctx)
	if v.Dialed || back {
		m.requestSync(ctx, p)
	}
}

func (m *Mesh) evictPeers(ctx *kernel.Context, newest uint64) {
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

func (m *Mesh) handleConnDown(ctx *kernel.Context, v kernel.ConnDown) {
	if p := m.peers[v.Conn]; p != nil {
		m.losePeer(ctx, p)
		return
	}
	if d := m.dials[v.Addr]; d != nil && d.inFlight && v.Conn == 0 {
		d.inFlight, d.failed = false, true
		d.attempts++
		if d.attempts > 20 && !slices.Contains(m.seeds, v.Addr) {
			delete(m.dials, v.Addr)
		}
	}
}

// losePeer ends a channel whose peer may be gone: the link holds on for a grace.
func (m *Mesh) losePeer(ctx *kernel.Context, p *peerConn) {
	delete(m.peers, p.conn)
	ctx.Log(kernel.LevelDebug, "mesh_peer_down", "peer", p.key, "addr", p.addr, "peers", len(m.peers))
	count := uint64(0)
	if o := m.store.origins[p.key]; o != nil {
		count = o.maxCount
	}
	m.links.closed[p.key] = closedConn{closedAt: ctx.Now, lastSeen: p.lastSeen, maxCount: count}
	ctx.After(LinkGracePeriod, "mesh", "links")
	if d := m.dials[p.addr]; d != nil && ctx.Now-p.since > MaxBackoff {
		d.backoff, d.nextAt = MinBackoff, ctx.Now
	}
	m.maintainLinks(ctx)
}

// closePeer ends a channel that is one too many; its peer is there.
func (m *Mesh) closePeer(ctx *kernel.Context, p *peerConn) {
	delete(m.peers, p.conn)
	ctx.Log(kernel.LevelDebug, "mesh_peer_left", "peer", p.key, "addr", p.addr, "peers", len(m.peers))
	m.flushPeer(ctx, p)
	ctx.SendLatest(p.conn, wire.KindHeartbeat, &wire.Heartbeat{Addrs: m.sampleAddrs(ctx, p.zone, greetingAddrs), Digest: m.digest()}, "heartbeat")
	ctx.Drop(p.conn)
}
