package mesh

import (
	"cmp"
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

// Constants of the overlay.
const (
	// MinPeers is how many connections a process sees to, MinZonePeers how many of them within its
	// zone.
	MinPeers     = 4
	MinZonePeers = 3
	// SoftMaxPeers is how many connections a process keeps without need.
	SoftMaxPeers = 7
	// Bridges is how many processes of a zone see to a connection to each other zone.
	Bridges = 2
	// BridgeDelay is how long after its start a process that has a connection leaves bridges to
	// others: until it knows its zone it takes itself for the first process of it.
	BridgeDelay = 3 * clock.Second
	// LostDialers is how many processes dial an address that is not reached.
	LostDialers = 3
	// PruneInterval is the least time between two closed surplus connections, MinPeerAge the age
	// that a connection must have to be closed as surplus.
	PruneInterval = 2 * clock.Second
	MinPeerAge    = 8 * clock.Second
	// SecondSeedDelay is when a process that starts dials the other seeds as well.
	SecondSeedDelay = 250 * clock.Millisecond
	// dialCandidates is how many candidates dialOne draws.
	dialCandidates = 3
)

// start dials one of the seeds. If nothing comes of that, the others are dialled after
// SecondSeedDelay.
func (m *Mesh) start(ctx *kernel.Context) {
	m.startedAt = ctx.Now
	m.seeds = slices.Clone(m.k.Boot.Settings.Seeds)
	for _, s := range m.seeds {
		m.addAddr(s)
	}
	if len(m.seeds) > 0 {
		m.dialIfDue(ctx, m.seeds[ctx.Rand.IntN(len(m.seeds))])
		ctx.After(SecondSeedDelay, pluginName, timerDial)
	}
}

// setSeeds replaces the seeds and dials them. The former seeds stay known as ordinary addresses.
func (m *Mesh) setSeeds(ctx *kernel.Context, seeds []string) {
	m.seeds = slices.Clone(seeds)
	for _, s := range m.seeds {
		if m.dials[s] == nil && len(m.dials) >= MaxAddrs {
			m.forgetAddr()
		}
		m.addAddr(s)
		if dial := m.dials[s]; dial != nil {
			dial.nextAt, dial.backoff = 0, MinBackoff
		}
	}
	m.lastSeed = ctx.Now - SeedInterval
	m.maintainLinks(ctx)
}

// fleetView is the fleet as it is known when the overlay is maintained: the reached origins in all,
// by zone and by address, and the lost ones. zone is this process's.
type fleetView struct {
	zone    string
	zones   map[string][]*originState
	byAddr  map[string]*originState
	reached []*originState
	lost    []*originState
}

// fleetView collects the other processes whose description is known.
func (m *Mesh) fleetView() fleetView {
	view := fleetView{zone: m.k.Boot.Settings.Zone, zones: map[string][]*originState{}, byAddr: map[string]*originState{}}
	for _, fp := range sortedKeys(m.store.origins) {
		origin := m.store.origins[fp]
		if fp == m.self || origin.member == nil || origin.member.Addr == m.addr {
			continue
		}
		if !origin.reached {
			view.lost = append(view.lost, origin)
			continue
		}
		view.reached = append(view.reached, origin)
		view.byAddr[origin.member.Addr] = origin
		view.zones[origin.member.Zone] = append(view.zones[origin.member.Zone], origin)
	}
	return view
}

// ranksAmong reports whether this process is among the first most of a set of processes, itself
// included, in the rendezvous order for a topic.
func (m *Mesh) ranksAmong(of []*originState, topic uint64, most int) bool {
	own, above := mix(hash(m.self)^topic), 0
	for _, origin := range of {
		if mix(origin.hash^topic) > own {
			above++
		}
	}
	return above < most
}

// maintainLinks dials what is missing from the overlay and closes what is too many.
func (m *Mesh) maintainLinks(ctx *kernel.Context) {
	view := m.fleetView()
	m.dialSeeds(ctx, view)
	linksByZone, total := m.countLinks(view)
	ownZone := view.zones[view.zone]
	for linksByZone[view.zone] < MinZonePeers && (total < SoftMaxPeers || linksByZone[view.zone] == 0) && m.dialOne(ctx, ownZone) {
		linksByZone[view.zone]++
		total++
	}
	mayBridge := total == 0 || ctx.Now-m.startedAt >= BridgeDelay
	for _, zone := range sortedKeys(view.zones) {
		if mayBridge && zone != view.zone && linksByZone[zone] == 0 && m.ranksAmong(ownZone, hash(zone), Bridges) && m.dialOne(ctx, view.zones[zone]) {
			total++
		}
	}
	for total < MinPeers && (m.dialOne(ctx, ownZone) || m.dialOne(ctx, view.reached) || m.dialAny(ctx)) {
		total++
	}
	m.dialLost(ctx, view)
	m.pruneLinks(ctx, view, linksByZone)
}

// countLinks counts the connections that are open or being dialled, by zone and in all.
func (m *Mesh) countLinks(view fleetView) (byZone map[string]int, total int) {
	byZone = map[string]int{}
	for _, peer := range m.peers {
		byZone[m.zoneOf(peer)]++
		total++
	}
	for addr, dial := range m.dials {
		if !dial.inFlight {
			continue
		}
		total++
		if origin := view.byAddr[addr]; origin != nil {
			byZone[origin.member.Zone]++
		}
	}
	return byZone, total
}

// zoneOf returns the zone of a peer: as its entry says, or else as the connection's handshake said.
func (m *Mesh) zoneOf(peer *peerConn) string {
	if origin := m.store.origins[peer.key]; origin != nil && origin.member != nil {
		return origin.member.Zone
	}
	return peer.zone
}

// dialOne dials a process of a set: of a few that are drawn by chance, the one with the fewest
// links. It reports whether it dialled.
func (m *Mesh) dialOne(ctx *kernel.Context, of []*originState) bool {
	var best *originState
	from := ctx.Rand.IntN(max(1, len(of)))
	drawn := 0
	for i := range of {
		origin := of[(from+i)%len(of)]
		dial := m.dials[origin.member.Addr]
		if dial != nil && (dial.inFlight || ctx.Now < dial.nextAt) || m.connected(origin.member.Addr) {
			continue
		}
		if best == nil || len(origin.links) < len(best.links) {
			best = origin
		}
		if drawn++; drawn == dialCandidates {
			break
		}
	}
	if best == nil {
		return false
	}
	m.dialKnown(ctx, best.member.Addr)
	return true
}

// dialKnown dials an address if its backoff allows, and reports whether it did.
func (m *Mesh) dialKnown(ctx *kernel.Context, addr string) bool {
	if m.dials[addr] == nil && len(m.dials) >= MaxAddrs {
		m.forgetAddr()
	}
	m.addAddr(addr)
	return m.dialIfDue(ctx, addr)
}

// dialAny dials any known address, and reports whether it did.
func (m *Mesh) dialAny(ctx *kernel.Context) bool {
	addrs := sortedKeys(m.dials)
	from := ctx.Rand.IntN(max(1, len(addrs)))
	for i := range addrs {
		if m.dialIfDue(ctx, addrs[(from+i)%len(addrs)]) {
			return true
		}
	}
	return false
}

// dialSeeds dials the seeds that are not part of the fleet. A few processes do so all the time and
// every process does so each SeedInterval: a process that comes back at a seed's address, perhaps
// with an empty disk, must hear of this fleet before it bootstraps another.
func (m *Mesh) dialSeeds(ctx *kernel.Context, view fleetView) {
	all := ctx.Now-m.lastSeed >= SeedInterval || len(m.peers) == 0
	if all {
		m.lastSeed = ctx.Now
	}
	for _, s := range m.seeds {
		if origin := view.byAddr[s]; origin != nil && len(m.peers) > 0 {
			continue
		}
		if all || m.ranksAmong(view.reached, hash(s), LostDialers) {
			m.dialKnown(ctx, s)
		}
	}
}

// dialLost dials one of the processes that are known but not reached; it may be on the other side
// of a healed partition.
func (m *Mesh) dialLost(ctx *kernel.Context, view fleetView) {
	from := ctx.Rand.IntN(max(1, len(view.lost)))
	for i := range view.lost {
		origin := view.lost[(from+i)%len(view.lost)]
		if view.byAddr[origin.member.Addr] == nil && m.ranksAmong(view.reached, origin.hash, LostDialers) && m.dialKnown(ctx, origin.member.Addr) {
			return
		}
	}
}

// pruneLinks closes one surplus connection, none that the other end or a bridge needs.
func (m *Mesh) pruneLinks(ctx *kernel.Context, view fleetView, linksByZone map[string]int) {
	if len(m.peers) <= MinPeers || ctx.Now-m.prunedAt < PruneInterval {
		return
	}
	var surplus []*peerConn
	for _, id := range sortedKeys(m.peers) {
		peer := m.peers[id]
		origin := m.store.origins[peer.key]
		if origin == nil || origin.member == nil || ctx.Now-peer.since < MinPeerAge || len(origin.links) <= MinPeers {
			continue
		}
		zone := origin.member.Zone
		crossZone := zone != view.zone && view.zone != ""
		switch {
		case !crossZone && (len(m.peers) <= SoftMaxPeers || linksByZone[view.zone] <= MinZonePeers):
		case crossZone && m.ranksAmong(view.zones[view.zone], hash(zone), Bridges) && linksByZone[zone] <= 1:
		case crossZone && rankOf(view.zones[zone], origin, hash(view.zone)) < Bridges:
		default:
			surplus = append(surplus, peer)
		}
	}
	if len(surplus) == 0 {
		return
	}
	m.prunedAt = ctx.Now
	ctx.Counts.Add("mesh_peers_pruned", 1)
	m.closePeer(ctx, slices.MaxFunc(surplus, func(a, b *peerConn) int {
		return cmp.Compare(len(m.store.origins[a.key].links), len(m.store.origins[b.key].links))
	}))
	m.updateLinks(ctx)
}

// rankOf returns how many of a set come before an origin in the rendezvous order for a topic.
func rankOf(of []*originState, origin *originState, topic uint64) (above int) {
	for _, q := range of {
		if mix(q.hash^topic) > mix(origin.hash^topic) {
			above++
		}
	}
	return above
}
