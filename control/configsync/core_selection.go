package configsync

import (
	"cmp"
	"hash/fnv"
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
)

// Bounds of the set of known cores, and how the pulls are distributed over them.
const (
	// maxKnownCores bounds the number of known cores. A core that is no longer live is forgotten after keepCoreFor.
	maxKnownCores = 16
	keepCoreFor   = 20 * clock.Second
	// maxLocalCores and maxRemoteCores are the numbers of cores in this process's zone and in other zones that pulls
	// are sent to.
	maxLocalCores  = 2
	maxRemoteCores = 2
	// Every remotePullEvery-th pull, that is every fourth one, goes to another zone.
	remotePullEvery = 4
	// A core that has left a pull unanswered for unresponsiveAfter is avoided, like a core without contact with a
	// majority: avoided cores get only every unresponsivePullEvery-th pull, unless there are no others.
	unresponsiveAfter     = 900 * clock.Millisecond
	unresponsivePullEvery = 6
)

// candidateCores returns the addresses that pulls may be sent to: those of the known cores, which were live recently.
// During a network partition all members expire, so the known cores are kept while no core is live. The seeds are also
// candidates while no core is known, while this process is a core without state or while it is starting, because seeds
// know of other cores.
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

// updateKnown adds the live cores to the known ones, forgets cores that have not been live for keepCoreFor, and keeps
// at most maxKnownCores.
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

// forgetExcess removes the least recently live cores until maxKnownCores are left. Of cores that were last live at the
// same time it first removes the last in the order of compareCores.
func (p *Sync) forgetExcess() {
	for len(p.known) > maxKnownCores {
		last := slices.MinFunc(p.known, func(a, b string) int {
			return cmp.Or(cmp.Compare(p.liveAt[a], p.liveAt[b]), p.compareCores(b, a))
		})
		p.known = slices.DeleteFunc(p.known, func(addr string) bool { return addr == last })
		p.forget(last)
	}
}

// compareCores orders cores: those in this process's zone first, then by a hash of this process's and the core's
// address, which distributes the processes over the cores.
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

// chooseCore selects the core for the next pull: usually one in this process's zone, every remotePullEvery-th time one
// in another zone, and every unresponsivePullEvery-th time an avoided one. It returns one address, or nil if there is no
// candidate.
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
