package mesh

import (
	"cmp"
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

// Numbers of connections that a process maintains, and times between changes of the overlay.
const (
	// MinPeers is the least number of connections that a process tries to maintain, MinZonePeers the
	// least number of them within its zone.
	MinPeers     = 4
	MinZonePeers = 3
	// SoftMaxPeers is the number of connections up to which a process dials further processes of its
	// zone and keeps surplus connections to them.
	SoftMaxPeers = 7
	// Bridges is the number of processes of a zone that maintain a connection to each of the other zones.
	Bridges = 2
	// BridgeDelay is how long after its start a process that has a connection dials no bridges to other
	// zones. Until it knows the other processes of its own zone, it would rank itself first among them.
	BridgeDelay = 3 * clock.Second
	// LostDialers is how many processes dial the same address when the process there is not reached.
	LostDialers = 3
	// PruneInterval is the least time between closing two surplus connections, MinPeerAge the least
	// age of a connection that is closed as surplus.
	PruneInterval = 2 * clock.Second
	MinPeerAge    = 8 * clock.Second
	// SecondSeedDelay is how long after its start a process dials the other seeds if the first one
	// has not connected.
	SecondSeedDelay = 250 * clock.Millisecond
	// dialCandidates is the number of candidates from which dialOne chooses.
	dialCandidates = 3
)

// start dials a random seed. If that yields no connection, the others are dialled after
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

// setSeeds replaces the seeds and dials the new ones. The former seeds remain known as ordinary
// addresses.
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

// fleetView is a snapshot of the known fleet, taken when the overlay is maintained: the reached
// origins as a list, by zone and by address, and the origins that are known but not reached (lost).
// zone is the zone of this process.
type fleetView struct {
	zone    string
	zones   map[string][]*originState
	byAddr  map[string]*originState
	reached []*originState
	lost    []*originState
}

// fleetView returns a view of the other processes whose Member entry is known.
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

// ranksAmong reports whether fewer than most of the given processes precede this process in the
// rendezvous order for a topic.
func (m *Mesh) ranksAmong(of []*originState, topic uint64, most int) bool {
	own, above := mix(hash(m.self)^topic), 0
	for _, origin := range of {
		if mix(origin.hash^topic) > own {
			above++
		}
	}
	return above < most
}

// maintainLinks dials the connections that the overlay lacks and closes a surplus one.
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

// countLinks counts the connections that are open or being dialled, by zone and in total.
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

// zoneOf returns the zone of a peer: the one in its Member entry if known, otherwise the one that it
// stated in the connection's handshake.
func (m *Mesh) zoneOf(peer *peerConn) string {
	if origin := m.store.origins[peer.key]; origin != nil && origin.member != nil {
		return origin.member.Zone
	}
	return peer.zone
}

// dialOne dials one process of a set. Starting at a random position, it considers up to dialCandidates
// processes that may be dialled, and chooses the one with the fewest links. It reports whether it
// dialled.
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

// dialKnown adds an address to the known ones, if necessary in place of another, and dials it if its
// backoff allows. It reports whether it dialled.
func (m *Mesh) dialKnown(ctx *kernel.Context, addr string) bool {
	if m.dials[addr] == nil && len(m.dials) >= MaxAddrs {
		m.forgetAddr()
	}
	m.addAddr(addr)
	return m.dialIfDue(ctx, addr)
}

// dialAny dials one of the known addresses that are due, and reports whether it did.
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

// dialSeeds dials the seeds at whose address no process is reached. LostDialers processes do so at each
// call, and every process does so once per SeedInterval: a process that restarts at a seed's address,
// perhaps with an empty disk, must connect to this fleet before it bootstraps another fleet.
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

// dialLost dials one of the processes that are known but not reached. Such a process may be on the other
// side of a network partition that has healed.
func (m *Mesh) dialLost(ctx *kernel.Context, view fleetView) {
	from := ctx.Rand.IntN(max(1, len(view.lost)))
	for i := range view.lost {
		origin := view.lost[(from+i)%len(view.lost)]
		if view.byAddr[origin.member.Addr] == nil && m.ranksAmong(view.reached, origin.hash, LostDialers) && m.dialKnown(ctx, origin.member.Addr) {
			return
		}
	}
}

// pruneLinks closes one surplus connection. It keeps the connections that the other end needs and
// those that bridge two zones.
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

// rankOf returns how many origins of a set rank before a given one in the rendezvous order for a topic.
func rankOf(of []*originState, origin *originState, topic uint64) (above int) {
	for _, q := range of {
		if mix(q.hash^topic) > mix(origin.hash^topic) {
			above++
		}
	}
	return above
}
