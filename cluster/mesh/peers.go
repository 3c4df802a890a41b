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

type dial struct {
	wait  int64
	next  int64
	under bool
	tries int
	// failed is that nobody answered at the last try.
	failed bool
}

func (m *Mesh) know(addr string) {
	if addr == "" || addr == m.addr || m.dials[addr] != nil || len(m.dials) >= AddrMost {
		return
	}
	m.dials[addr] = &dial{wait: BackoffFirst}
}

// forgetAddr makes room among the known addresses: one that nobody answers at, if any.
func (m *Mesh) forgetAddr() {
	for _, a := range slices.SortedFunc(maps.Keys(m.dials), func(a, b string) int {
		return cmp.Or(cmp.Compare(m.dials[b].tries, m.dials[a].tries), cmp.Compare(a, b))
	}) {
		if !m.dials[a].under && !m.connected(a) && !slices.Contains(m.seeds, a) {
			delete(m.dials, a)
			return
		}
	}
}

// Addresses that a heartbeat carries besides the own, and the frames with which a channel begins.
const (
	beatAddrs  = 2
	greetAddrs = 12
)

func (m *Mesh) knownAddrs() []string {
	addrs := []string{m.addr}
	for _, id := range sortedKeys(m.peers) {
		addrs = append(addrs, m.peers[id].addr)
	}
	return addrs
}

// someAddrs are the own address and some of those reached, of a zone first.
func (m *Mesh) someAddrs(ctx *kernel.Context, zone string, n int) []string {
	out := []string{m.addr}
	all := sortedKeys(m.store.origins)
	from := ctx.Rand.IntN(max(1, len(all)))
	for pass := range 2 {
		for i := range all {
			o := m.store.origins[all[(from+i)%len(all)]]
			if len(out) > n || zone == "" && pass == 0 {
				break
			}
			if o.row != nil && o.reached && (o.row.Zone == zone) == (pass == 0) {
				out = append(out, o.row.Addr)
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

func (m *Mesh) tryDial(ctx *kernel.Context, addr string) bool {
	d := m.dials[addr]
	if d == nil || d.under || ctx.Now < d.next || m.connected(addr) {
		return false
	}
	d.under = true
	d.next = ctx.Now + d.wait + ctx.Rand.Int64N(d.wait/4+1)
	most := int64(BackoffMost)
	if slices.Contains(m.seeds, addr) {
		most = SeedBackoff
	}
	d.wait = min(2*d.wait, most)
	ctx.Counts.Add("mesh_dials", 1)
	ctx.Dial(addr)
	return true
}

func (m *Mesh) up(ctx *kernel.Context, v kernel.ConnUp) {
	if v.Dialed {
		if d := m.dials[v.Addr]; d != nil {
			d.under, d.tries, d.failed = false, 0, false
		}
	}
	if v.Peer == m.self {
		delete(m.dials, v.Addr)
		ctx.Drop(v.Conn)
		return
	}
	m.know(v.Addr)
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
	p := &peer{chanID: v.Conn, addr: v.Addr, zone: v.Zone, key: v.Peer, dialed: v.Dialed, since: ctx.Now, lastSeen: ctx.Now}
	m.peers[v.Conn] = p
	ctx.Log(kernel.LevelDebug, "mesh_peer_up", "peer", v.Peer, "addr", v.Addr, "peers", len(m.peers))
	m.evict(ctx, v.Conn)
	back := m.store.lift(v.Peer)
	m.links.again = m.links.again || back
	m.relink(ctx)
	if v.Dialed || back {
		m.ask(ctx, p)
	}
}

func (m *Mesh) evict(ctx *kernel.Context, newest uint64) {
	for len(m.peers) > PeerCap {
		ids := sortedKeys(m.peers)
		oldest := slices.MinFunc(ids, func(a, b uint64) int {
			return int(m.peers[a].lastSeen - m.peers[b].lastSeen)
		})
		if oldest == newest {
			return
		}
		ctx.Counts.Add("mesh_peers_evicted", 1)
		m.leave(ctx, m.peers[oldest])
	}
}

func (m *Mesh) down(ctx *kernel.Context, v kernel.ConnDown) {
	if p := m.peers[v.Conn]; p != nil {
		m.lose(ctx, p)
		return
	}
	if d := m.dials[v.Addr]; d != nil && d.under && v.Conn == 0 {
		d.under, d.failed = false, true
		d.tries++
		if d.tries > 20 && !slices.Contains(m.seeds, v.Addr) {
			delete(m.dials, v.Addr)
		}
	}
}

// lose ends a channel whose peer may be gone: the link holds on for a grace.
func (m *Mesh) lose(ctx *kernel.Context, p *peer) {
	delete(m.peers, p.chanID)
	ctx.Log(kernel.LevelDebug, "mesh_peer_down", "peer", p.key, "addr", p.addr, "peers", len(m.peers))
	count := uint64(0)
	if o := m.store.origins[p.key]; o != nil {
		count = o.max
	}
	m.links.ended[p.key] = ended{at: ctx.Now, seen: p.lastSeen, count: count}
	ctx.After(LinkGrace, "mesh", "links")
	if d := m.dials[p.addr]; d != nil && ctx.Now-p.since > BackoffMost {
		d.wait, d.next = BackoffFirst, ctx.Now
	}
	m.tend(ctx)
}

// leave ends a channel that is one too many; its peer is there.
func (m *Mesh) leave(ctx *kernel.Context, p *peer) {
	delete(m.peers, p.chanID)
	ctx.Log(kernel.LevelDebug, "mesh_peer_left", "peer", p.key, "addr", p.addr, "peers", len(m.peers))
	m.empty(ctx, p)
	ctx.SendLatest(p.chanID, wire.KindHeartbeat, &wire.Heartbeat{Addrs: m.someAddrs(ctx, p.zone, greetAddrs), Digest: m.digest()}, "heartbeat")
	ctx.Drop(p.chanID)
}
