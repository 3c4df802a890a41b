package discovery

import (
	"cmp"
	"hash/fnv"
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// changed reports whether a list says anything that the last announced one did not. A slow start
// that only runs down is no change.
func (p *Lister) changed(now clock.Micros, l *wire.BackendList) bool {
	slices.SortFunc(l.Backends, func(a, b wire.Backend) int { return cmp.Compare(a.ID, b.ID) })
	was, fresh := p.slowStartUntil, false
	p.slowStartUntil = map[string]clock.Micros{}
	plain := wire.BackendList{LeaseID: l.LeaseID, Complete: l.Complete, Backends: slices.Clone(l.Backends)}
	for i := range plain.Backends {
		s := &plain.Backends[i]
		if s.WarmUpRemaining == 0 {
			fresh = fresh || was[s.ID]-now >= SlowStartTolerance
			continue
		}
		to := now + s.WarmUpRemaining
		if old, ok := was[s.ID]; ok && to-old < SlowStartTolerance && old-to < SlowStartTolerance {
			to = old
		} else {
			fresh = true
		}
		p.slowStartUntil[s.ID], s.WarmUpRemaining = to, 0
	}
	h := fnv.New64a()
	h.Write(wire.Encode(&plain))
	sum := p.announcedHash
	p.announcedHash = h.Sum64()
	return fresh || sum != p.announcedHash
}
