package configsync

import (
	"cmp"
	"hash/fnv"
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
)

// Bounds of the selection of a core.
const (
	// maxKnownCores bounds the cores that are remembered, and keepCoreFor how long one is that is not live.
	maxKnownCores = 16
	keepCoreFor   = 20 * clock.Second
	// maxLocalCores and maxRemoteCores are how many cores of the own zone and of other zones are pulled from.
	maxLocalCores  = 2
	maxRemoteCores = 2
	// remotePullEvery is how often a pull goes to another zone: every fourth one.
	remotePullEvery = 4
	// unresponsiveAfter is how long a core may leave a pull unanswered. Then, like one without contact with a majority,
	// it gets only every unresponsivePullEvery-th pull, unless no other core is left.
	unresponsiveAfter     = 900 * clock.Millisecond
	unresponsivePullEvery = 6
)

// candidateCores returns the addresses of the cores that may be pulled from: those that were live lately. When the
// network is partitioned the members expire one by one, so the last known cores are kept while none is live. The
// seeds are among the candidates before any core is known and while nothing is confirmed, since seeds
// know of cores.
func (p *Sync) candidateCores(now clock.Micros) []string {
	p.updateKnown(now)
	if len(p.known) > 0 && !p.hasNoState() && !p.starting(now) {
		return p.known
	}
	candidates := slices.Clone(p.known)
	for _, seed := range p.settings.Seeds {
		if seed != p.settings.Mesh && !slices.Contains(candidates, seed) {
			candidates = append(candidates, seed)
		}
	}
	return candidates
}

// updateKnown adds the live cores to the known ones and forgets those that were not live for long, or are too many.
func (p *Sync) updateKnown(now clock.Micros) {
	live := p.members.Live(now, settings.RoleCore)
	for _, core := range live {
		if core.Addr == p.settings.Mesh {
			continue
		}
		if _, known := p.liveAt[core.Addr]; !known {
			p.known = append(p.known, core.Addr)
			p.contact.coreDiscoveredAt = now
		}
		p.liveAt[core.Addr], p.zones[core.Addr] = now, core.Zone
	}
	p.known = slices.DeleteFunc(p.known, func(addr string) bool {
		expired := len(live) > 0 && now-p.liveAt[addr] > keepCoreFor
		if expired {
			p.forget(addr)
		}
		return expired
	})
	p.forgetExcess()
}

func (p *Sync) forget(addr string) {
	delete(p.liveAt, addr)
	delete(p.zones, addr)
	delete(p.unansweredSince, addr)
	delete(p.contact.withoutContact, addr)
}

// forgetExcess forgets cores beyond maxKnownCores: those first that were live longest ago, and among equals
// those last in the order of compareCores.
func (p *Sync) forgetExcess() {
	for len(p.known) > maxKnownCores {
		last := slices.MinFunc(p.known, func(a, b string) int {
			return cmp.Or(cmp.Compare(p.liveAt[a], p.liveAt[b]), p.compareCores(b, a))
		})
		p.known = slices.DeleteFunc(p.known, func(addr string) bool { return addr == last })
		p.forget(last)
	}
}

// compareCores orders cores: those of the own zone first, then by a hash of the own and the core's address, so that the
// processes spread over the cores.
func (p *Sync) compareCores(a, b string) int {
	distance := func(addr string) int {
		if p.zones[addr] == p.settings.Zone {
			return 0
		}
		return 1
	}
	score := func(addr string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(p.settings.Mesh + ">" + addr))
		return h.Sum64()
	}
	return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(score(a), score(b)))
}

// chooseCore selects the core for the next pull: mostly one of the own zone, now and then one of another zone, and
// seldom one that does not answer while another does. It returns none where there is no candidate.
func (p *Sync) chooseCore(ctx *kernel.Context, candidates []string) []string {
	if len(candidates) == 0 {
		return nil
	}
	p.selections++
	var local, remote, avoided []string
	for _, addr := range slices.SortedFunc(slices.Values(candidates), p.compareCores) {
		since, unanswered := p.unansweredSince[addr]
		switch {
		case unanswered && ctx.Now-since > unresponsiveAfter, p.contact.withoutContact[addr]:
			avoided = append(avoided, addr)
		case p.zones[addr] == p.settings.Zone && len(local) < maxLocalCores:
			local = append(local, addr)
		case p.zones[addr] != p.settings.Zone && len(remote) < maxRemoteCores:
			remote = append(remote, addr)
		}
	}
	from := local
	switch {
	case len(local)+len(remote) == 0 || len(avoided) > 0 && p.selections%unresponsivePullEvery == 0:
		from = avoided
	case len(local) == 0 || len(remote) > 0 && p.selections%remotePullEvery == 0:
		from = remote
	}
	i := ctx.Rand.IntN(len(from))
	return from[i : i+1]
}
