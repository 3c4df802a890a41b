package discovery

import (
	"cmp"
	"hash/fnv"
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// changed reports whether a list differs from the list that was announced last. That the remaining time of a
// slow start has decreased does not count as a difference.
func (p *Lister) changed(now clock.Micros, l *wire.BackendList) bool {
	slices.SortFunc(l.Backends, func(a, b wire.Backend) int { return cmp.Compare(a.ID, b.ID) })
	announced, changed := p.slowStartUntil, false
	p.slowStartUntil = map[string]clock.Micros{}
	// content is the part of the list that is compared by its hash: all but the remaining slow start times.
	content := wire.BackendList{LeaseID: l.LeaseID, Complete: l.Complete, Backends: slices.Clone(l.Backends)}
	for i := range content.Backends {
		backend := &content.Backends[i]
		if backend.WarmUpRemaining == 0 {
			// The slow start ended earlier than announced.
			changed = changed || announced[backend.ID]-now >= SlowStartTolerance
			continue
		}
		until := now + backend.WarmUpRemaining
		if old, ok := announced[backend.ID]; ok && until-old < SlowStartTolerance && old-until < SlowStartTolerance {
			until = old
		} else {
			changed = true
		}
		p.slowStartUntil[backend.ID], backend.WarmUpRemaining = until, 0
	}
	h := fnv.New64a()
	h.Write(wire.Encode(&content))
	last := p.announcedHash
	p.announcedHash = h.Sum64()
	return changed || last != p.announcedHash
}
