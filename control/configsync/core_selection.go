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
	// maxLocalCores is how many cores of the own zone are asked in turn; every remotePullEvery-th pull goes
	// to a core of another zone.
	maxLocalCores   = 2
	maxRemoteCores  = 2
	remotePullEvery = 4
	// unresponsiveAfter is how long a core may leave a pull unanswered; then, as one without contact with a
	// majority, it is asked only by every unresponsivePullEvery-th pull, or where no other is left.
	unresponsiveAfter     = 900_000
	unresponsivePullEvery = 6
	maxPendingPulls       = 64
)

// candidateCores are those that were live of late. Where the mesh itself is cut they
// fade from it one by one, so the last known ones are kept while none is live.
// Before the mesh has told of any, or while nothing is confirmed, the seeds are asked, too: they tell of cores.
func (p *Sync) candidateCores(now int64) []string {
	self := p.settings.Mesh
	live := p.members.Live(now, "core")
	for _, r := range live {
		if r.Addr == self {
			continue
		}
		if _, ok := p.liveAt[r.Addr]; !ok {
			p.known = append(p.known, r.Addr)
			p.contact.coreDiscoveredAt = now
		}
		p.liveAt[r.Addr], p.zones[r.Addr] = now, r.Zone
	}
	p.known = slices.DeleteFunc(p.known, func(a string) bool {
		old := len(live) > 0 && now-p.liveAt[a] > keepCoreFor
		if old {
			p.forget(a)
		}
		return old
	})
	p.forgetExcess()
	if len(p.known) > 0 && !p.hasNoState() && !p.starting(now) {
		return p.known
	}
	out := slices.Clone(p.known)
	for _, s := range p.settings.Seeds {
		if s != self && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

func (p *Sync) forget(addr string) {
	delete(p.liveAt, addr)
	delete(p.zones, addr)
	delete(p.unansweredSince, addr)
	delete(p.contact.withoutContact, addr)
}

// forgetExcess forgets the cores that were live longest ago beyond so many, and of equals those asked last.
func (p *Sync) forgetExcess() {
	for len(p.known) > maxKnownCores {
		last := slices.MinFunc(p.known, func(a, b string) int {
			return cmp.Or(cmp.Compare(p.liveAt[a], p.liveAt[b]), p.compareCores(b, a))
		})
		p.known = slices.DeleteFunc(p.known, func(a string) bool { return a == last })
		p.forget(last)
	}
}

// compareCores orders cores: those of the own zone first, then by a hash with the own address, so that
// the nodes spread over them.
func (p *Sync) compareCores(a, b string) int {
	far := func(a string) int {
		if p.zones[a] == p.settings.Zone {
			return 0
		}
		return 1
	}
	score := func(a string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(p.settings.Mesh + ">" + a))
		return h.Sum64()
	}
	return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(score(a), score(b)))
}

// chooseCore picks the one core to ask now.
func (p *Sync) chooseCore(ctx *kernel.Context, cores []string) []string {
	if len(cores) == 0 {
		return nil
	}
	p.pulls++
	var near, far, silent []string
	for _, a := range slices.SortedFunc(slices.Values(cores), p.compareCores) {
		at, open := p.unansweredSince[a]
		switch {
		case open && ctx.Now-at > unresponsiveAfter, p.contact.withoutContact[a]:
			silent = append(silent, a)
		case p.zones[a] == p.settings.Zone && len(near) < maxLocalCores:
			near = append(near, a)
		case p.zones[a] != p.settings.Zone && len(far) < maxRemoteCores:
			far = append(far, a)
		}
	}
	from := near
	switch {
	case len(near)+len(far) == 0 || len(silent) > 0 && p.pulls%unresponsivePullEvery == 0:
		from = silent
	case len(near) == 0 || len(far) > 0 && p.pulls%remotePullEvery == 0:
		from = far
	}
	i := ctx.Rand.IntN(len(from))
	return from[i : i+1]
}
