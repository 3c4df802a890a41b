// Whom to be linked with: a few of the own zone, and across zones only as many as bridges
// are needed, whatever the size of the fleet. Seeds that no one is linked with, and members
// that are no longer reached, are tried by a few only: those of the highest rank.

package mesh

import (
	"slices"

	"wallport/runtime/kernel"
)

// Figures of the overlay.
const (
	// MinPeers is how many links a process sees to; MinZonePeers how many of them in its zone.
	MinPeers     = 4
	MinZonePeers = 3
	// SoftMaxPeers is how many it keeps without need.
	SoftMaxPeers = 7
	// Bridges is how many processes of a zone see to a link to each other zone.
	Bridges = 2
	// BridgeDelay is how long a process that has a link leaves bridges to others after its start:
	// until it knows its zone it takes itself for the first of it.
	BridgeDelay = 3_000_000
	// LostDialers is how many try what is not reached.
	LostDialers = 3
	// PruneInterval is the least time between two links given up, MinPeerAge that after a link came.
	PruneInterval = 2_000_000
	MinPeerAge    = 8_000_000
	// SecondSeedDelay is when a process that starts tries the other seeds as well.
	SecondSeedDelay = 250_000
)

// start dials one of the seeds, and the others soon after if that leads nowhere.
func (m *Mesh) start(ctx *kernel.Context) {
	m.startedAt = ctx.Now
	m.seeds = slices.Clone(m.k.Boot.Settings.Seeds)
	for _, s := range m.seeds {
		m.addAddr(s)
	}
	if len(m.seeds) > 0 {
		m.dialIfDue(ctx, m.seeds[ctx.Rand.IntN(len(m.seeds))])
		ctx.After(SecondSeedDelay, "mesh", "dial")
	}
}

// setSeeds takes the list of seeds and dials them. Those of before stay known as
// addresses of processes like any other.
func (m *Mesh) setSeeds(ctx *kernel.Context, seeds []string) {
	m.seeds = slices.Clone(seeds)
	for _, s := range m.seeds {
		if m.dials[s] == nil && len(m.dials) >= MaxAddrs {
			m.forgetAddr()
		}
		m.addAddr(s)
		if d := m.dials[s]; d != nil {
			d.nextAt, d.backoff = 0, MinBackoff
		}
	}
	m.lastSeed = ctx.Now - SeedInterval
	m.maintainLinks(ctx)
}

// fleetView is the fleet as it is known when links are looked after.
type fleetView struct {
	zone    string
	zones   map[string][]*originState
	byAddr  map[string]*originState // by address
	reached []*originState
	lost    []*originState
}

func (m *Mesh) fleetView() fleetView {
	v := fleetView{zone: m.k.Boot.Settings.Zone, zones: map[string][]*originState{}, byAddr: map[string]*originState{}}
	for _, fp := range sortedKeys(m.store.origins) {
		o := m.store.origins[fp]
		if fp == m.self || o.member == nil || o.member.Addr == m.addr {
			continue
		}
		if !o.reached {
			v.lost = append(v.lost, o)
			continue
		}
		v.reached = append(v.reached, o)
		v.byAddr[o.member.Addr] = o
		v.zones[o.member.Zone] = append(v.zones[o.member.Zone], o)
	}
	return v
}

// ranksAmong reports whether this process is among the first so many of some by rank in a matter.
func (m *Mesh) ranksAmong(of []*originState, topic uint64, most int) bool {
	own, above := mix(hash(m.self)^topic), 0
	for _, o := range of {
		if mix(o.hash^topic) > own {
			above++
		}
	}
	return above < most
}

// maintainLinks sees to the links: dials what is lacking, gives up what is too many.
func (m *Mesh) maintainLinks(ctx *kernel.Context) {
	v := m.fleetView()
	m.dialSeeds(ctx, v)
	linksByZone := map[string]int{}
	n := 0
	for _, p := range m.peers {
		linksByZone[m.zoneOf(p)]++
		n++
	}
	for a, d := range m.dials {
		if d.inFlight {
			n++
			if o := v.byAddr[a]; o != nil {
				linksByZone[o.member.Zone]++
			}
		}
	}
	for linksByZone[v.zone] < MinZonePeers && (n < SoftMaxPeers || linksByZone[v.zone] == 0) && m.dialOne(ctx, v.zones[v.zone]) {
		linksByZone[v.zone]++
		n++
	}
	knows := n == 0 || ctx.Now-m.startedAt >= BridgeDelay
	for _, z := range sortedKeys(v.zones) {
		if knows && z != v.zone && linksByZone[z] == 0 && m.ranksAmong(v.zones[v.zone], hash(z), Bridges) && m.dialOne(ctx, v.zones[z]) {
			n++
		}
	}
	for n < MinPeers && (m.dialOne(ctx, v.zones[v.zone]) || m.dialOne(ctx, v.reached) || m.dialAny(ctx)) {
		n++
	}
	m.dialLost(ctx, v)
	m.pruneLinks(ctx, v, linksByZone)
}

func (m *Mesh) zoneOf(p *peerConn) string {
	if o := m.store.origins[p.key]; o != nil && o.member != nil {
		return o.member.Zone
	}
	return p.zone
}

// dialOne dials one of some: of three drawn by chance the one with the fewest links.
func (m *Mesh) dialOne(ctx *kernel.Context, of []*originState) bool {
	var best *originState
	from := ctx.Rand.IntN(max(1, len(of)))
	drawn := 0
	for i := range of {
		o := of[(from+i)%len(of)]
		d := m.dials[o.member.Addr]
		if d != nil && (d.inFlight || ctx.Now < d.nextAt) || m.connected(o.member.Addr) {
			continue
		}
		if best == nil || len(o.links) < len(best.links) {
			best = o
		}
		if drawn++; drawn == 3 {
			break
		}
	}
	if best == nil {
		return false
	}
	m.dialKnown(ctx, best.member.Addr)
	return true
}

func (m *Mesh) dialKnown(ctx *kernel.Context, addr string) bool {
	if m.dials[addr] == nil && len(m.dials) >= MaxAddrs {
		m.forgetAddr()
	}
	m.addAddr(addr)
	return m.dialIfDue(ctx, addr)
}

// dialAny dials an address of which nothing more is known.
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

// dialSeeds: seeds that are not linked with the fleet are tried again and again by a few,
// now and then by all: whoever comes back there, with an empty disk perhaps, has to hear of
// this fleet before it takes itself for the first.
func (m *Mesh) dialSeeds(ctx *kernel.Context, v fleetView) {
	all := ctx.Now-m.lastSeed >= SeedInterval || len(m.peers) == 0
	if all {
		m.lastSeed = ctx.Now
	}
	for _, s := range m.seeds {
		if o := v.byAddr[s]; o != nil && len(m.peers) > 0 {
			continue
		}
		if all || m.ranksAmong(v.reached, hash(s), LostDialers) {
			m.dialKnown(ctx, s)
		}
	}
}

// dialLost tries one of the members that are known but not reached: it may have been cut off.
func (m *Mesh) dialLost(ctx *kernel.Context, v fleetView) {
	from := ctx.Rand.IntN(max(1, len(v.lost)))
	for i := range v.lost {
		o := v.lost[(from+i)%len(v.lost)]
		if v.byAddr[o.member.Addr] == nil && m.ranksAmong(v.reached, o.hash, LostDialers) && m.dialKnown(ctx, o.member.Addr) {
			return
		}
	}
}
