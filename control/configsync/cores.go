// Which cores are known, and which of them are asked: mostly some of the own
// zone, now and then one of another, and none that does not answer while
// another does.

package configsync

import (
	"cmp"
	"hash/fnv"
	"slices"

	"wallport/runtime/kernel"
)

// Figures of the choice.
const (
	// nearMost is how many cores of the own zone are asked in turn; every farEvery-th pull goes
	// to a core of another zone.
	nearMost = 2
	farMost  = 2
	farEvery = 4
	// silentAfter is how long a core may leave a pull unanswered; then, as one without contact with a
	// majority, it is asked only by every silentEvery-th pull, or where no other is left.
	silentAfter = 900_000
	silentEvery = 6
	sentMost    = 64
)

// cores are those that were live of late. Where the mesh itself is cut they
// fade from it one by one, so the last known ones are kept while none is live.
// Before the mesh has told of any, or while nothing is confirmed, the seeds are asked, too: they tell of cores.
func (p *Sync) cores(now int64) []string {
	self := p.place.Mesh
	live := p.members.Live(now, "core")
	for _, r := range live {
		if r.Addr == self {
			continue
		}
		if _, ok := p.liveAt[r.Addr]; !ok {
			p.known = append(p.known, r.Addr)
			p.contact.knownAt = now
		}
		p.liveAt[r.Addr], p.zones[r.Addr] = now, r.Zone
	}
	p.known = slices.DeleteFunc(p.known, func(a string) bool {
		old := len(live) > 0 && now-p.liveAt[a] > keepFor
		if old {
			p.forget(a)
		}
		return old
	})
	p.bound()
	if len(p.known) > 0 && !p.empty() && !p.fresh(now) {
		return p.known
	}
	out := slices.Clone(p.known)
	for _, s := range p.place.Seeds {
		if s != self && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

func (p *Sync) forget(addr string) {
	delete(p.liveAt, addr)
	delete(p.zones, addr)
	delete(p.asked, addr)
	delete(p.contact.without, addr)
}

// bound forgets the cores that were live longest ago beyond so many, and of equals those asked last.
func (p *Sync) bound() {
	for len(p.known) > knownMost {
		last := slices.MinFunc(p.known, func(a, b string) int {
			return cmp.Or(cmp.Compare(p.liveAt[a], p.liveAt[b]), p.rank(b, a))
		})
		p.known = slices.DeleteFunc(p.known, func(a string) bool { return a == last })
		p.forget(last)
	}
}

// rank orders cores: those of the own zone first, then by a hash with the own address, so that
// the nodes spread over them.
func (p *Sync) rank(a, b string) int {
	far := func(a string) int {
		if p.zones[a] == p.place.Zone {
			return 0
		}
		return 1
	}
	score := func(a string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(p.place.Mesh + ">" + a))
		return h.Sum64()
	}
	return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(score(a), score(b)))
}

// choose picks the one core to ask now.
func (p *Sync) choose(ctx *kernel.Context, cores []string) []string {
	if len(cores) == 0 {
		return nil
	}
	p.turn++
	var near, far, silent []string
	for _, a := range slices.SortedFunc(slices.Values(cores), p.rank) {
		at, open := p.asked[a]
		switch {
		case open && ctx.Now-at > silentAfter, p.contact.without[a]:
			silent = append(silent, a)
		case p.zones[a] == p.place.Zone && len(near) < nearMost:
			near = append(near, a)
		case p.zones[a] != p.place.Zone && len(far) < farMost:
			far = append(far, a)
		}
	}
	from := near
	switch {
	case len(near)+len(far) == 0 || len(silent) > 0 && p.turn%silentEvery == 0:
		from = silent
	case len(near) == 0 || len(far) > 0 && p.turn%farEvery == 0:
		from = far
	}
	i := ctx.Rand.IntN(len(from))
	return from[i : i+1]
}
