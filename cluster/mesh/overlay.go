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
	// PeersLeast is how many links a process sees to; ZonePeers how many of them in its zone.
	PeersLeast = 4
	ZonePeers  = 3
	// PeersEasy is how many it keeps without need.
	PeersEasy = 7
	// Bridges is how many processes of a zone see to a link to each other zone.
	Bridges = 2
	// BridgeAfter is how long a process that has a link leaves bridges to others after its start:
	// until it knows its zone it takes itself for the first of it.
	BridgeAfter = 3_000_000
	// Watchers is how many try what is not reached.
	Watchers = 3
	// PruneEvery is the least time between two links given up, PruneAfter that after a link came.
	PruneEvery = 2_000_000
	PruneAfter = 8_000_000
	// SecondSeed is when a process that starts tries the other seeds as well.
	SecondSeed = 250_000
)

// begin dials one of the seeds, and the others soon after if that leads nowhere.
func (m *Mesh) begin(ctx *kernel.Context) {
	m.beganAt = ctx.Now
	m.seeds = slices.Clone(m.k.Boot.Settings.Seeds)
	for _, s := range m.seeds {
		m.know(s)
	}
	if len(m.seeds) > 0 {
		m.tryDial(ctx, m.seeds[ctx.Rand.IntN(len(m.seeds))])
		ctx.After(SecondSeed, "mesh", "dial")
	}
}

// seedsAre takes the list of seeds and dials them. Those of before stay known as
// addresses of processes like any other.
func (m *Mesh) seedsAre(ctx *kernel.Context, seeds []string) {
	m.seeds = slices.Clone(seeds)
	for _, s := range m.seeds {
		if m.dials[s] == nil && len(m.dials) >= AddrMost {
			m.forgetAddr()
		}
		m.know(s)
		if d := m.dials[s]; d != nil {
			d.next, d.wait = 0, BackoffFirst
		}
	}
	m.lastSeed = ctx.Now - SeedEvery
	m.tend(ctx)
}

// view is the fleet as it is known when links are looked after.
type view struct {
	zone    string
	zones   map[string][]*origin
	there   map[string]*origin // by address
	reached []*origin
	lost    []*origin
}

func (m *Mesh) view() view {
	v := view{zone: m.k.Boot.Settings.Zone, zones: map[string][]*origin{}, there: map[string]*origin{}}
	for _, fp := range sortedKeys(m.store.origins) {
		o := m.store.origins[fp]
		if fp == m.self || o.row == nil || o.row.Addr == m.addr {
			continue
		}
		if !o.reached {
			v.lost = append(v.lost, o)
			continue
		}
		v.reached = append(v.reached, o)
		v.there[o.row.Addr] = o
		v.zones[o.row.Zone] = append(v.zones[o.row.Zone], o)
	}
	return v
}

// first reports whether this process is among the first so many of some by rank in a matter.
func (m *Mesh) first(of []*origin, matter uint64, most int) bool {
	own, above := mix(hash(m.self)^matter), 0
	for _, o := range of {
		if mix(o.hash^matter) > own {
			above++
		}
	}
	return above < most
}

// tend sees to the links: dials what is lacking, gives up what is too many.
func (m *Mesh) tend(ctx *kernel.Context) {
	v := m.view()
	m.tendSeeds(ctx, v)
	open := map[string]int{}
	n := 0
	for _, p := range m.peers {
		open[m.zoneOf(p)]++
		n++
	}
	for a, d := range m.dials {
		if d.under {
			n++
			if o := v.there[a]; o != nil {
				open[o.row.Zone]++
			}
		}
	}
	for open[v.zone] < ZonePeers && (n < PeersEasy || open[v.zone] == 0) && m.dialOne(ctx, v.zones[v.zone]) {
		open[v.zone]++
		n++
	}
	knows := n == 0 || ctx.Now-m.beganAt >= BridgeAfter
	for _, z := range sortedKeys(v.zones) {
		if knows && z != v.zone && open[z] == 0 && m.first(v.zones[v.zone], hash(z), Bridges) && m.dialOne(ctx, v.zones[z]) {
			n++
		}
	}
	for n < PeersLeast && (m.dialOne(ctx, v.zones[v.zone]) || m.dialOne(ctx, v.reached) || m.dialAny(ctx)) {
		n++
	}
	m.tendLost(ctx, v)
	m.prune(ctx, v, open)
}

func (m *Mesh) zoneOf(p *peer) string {
	if o := m.store.origins[p.key]; o != nil && o.row != nil {
		return o.row.Zone
	}
	return p.zone
}

// dialOne dials one of some: of three drawn by chance the one with the fewest links.
func (m *Mesh) dialOne(ctx *kernel.Context, of []*origin) bool {
	var best *origin
	from := ctx.Rand.IntN(max(1, len(of)))
	drawn := 0
	for i := range of {
		o := of[(from+i)%len(of)]
		d := m.dials[o.row.Addr]
		if d != nil && (d.under || ctx.Now < d.next) || m.connected(o.row.Addr) {
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
	m.dialKnown(ctx, best.row.Addr)
	return true
}

func (m *Mesh) dialKnown(ctx *kernel.Context, addr string) bool {
	if m.dials[addr] == nil && len(m.dials) >= AddrMost {
		m.forgetAddr()
	}
	m.know(addr)
	return m.tryDial(ctx, addr)
}

// dialAny dials an address of which nothing more is known.
func (m *Mesh) dialAny(ctx *kernel.Context) bool {
	addrs := sortedKeys(m.dials)
	from := ctx.Rand.IntN(max(1, len(addrs)))
	for i := range addrs {
		if m.tryDial(ctx, addrs[(from+i)%len(addrs)]) {
			return true
		}
	}
	return false
}

// tendSeeds: seeds that are not linked with the fleet are tried again and again by a few,
// now and then by all: whoever comes back there, with an empty disk perhaps, has to hear of
// this fleet before it takes itself for the first.
func (m *Mesh) tendSeeds(ctx *kernel.Context, v view) {
	all := ctx.Now-m.lastSeed >= SeedEvery || len(m.peers) == 0
	if all {
		m.lastSeed = ctx.Now
	}
	for _, s := range m.seeds {
		if o := v.there[s]; o != nil && len(m.peers) > 0 {
			continue
		}
		if all || m.first(v.reached, hash(s), Watchers) {
			m.dialKnown(ctx, s)
		}
	}
}

// tendLost tries one of the members that are known but not reached: it may have been cut off.
func (m *Mesh) tendLost(ctx *kernel.Context, v view) {
	from := ctx.Rand.IntN(max(1, len(v.lost)))
	for i := range v.lost {
		o := v.lost[(from+i)%len(v.lost)]
		if v.there[o.row.Addr] == nil && m.first(v.reached, o.hash, Watchers) && m.dialKnown(ctx, o.row.Addr) {
			return
		}
	}
}
