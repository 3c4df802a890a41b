package search

import (
	"slices"

	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/random"
)

// Selection is the backend selected for an attempt, with the details that the explain API shows.
type Selection struct {
	Backend *snapshot.Backend
	// Sampled lists the ids of the two backends that were sampled.
	Sampled []string
	// Tier is the name of the best non-empty tier, from which the backend was selected.
	Tier      string
	WarmingUp bool
}

// tier ranks backends by health. Backends are selected from the lowest tier that is not empty.
type tier int

const (
	tierExcluded tier = iota - 1
	tierHealthy
	tierSlow
	tierSuspect
	tierUnreachable
	tierCorrupt
	tierCount
)

// tierNames holds the names of the tiers in traces.
var tierNames = [tierCount]string{"usable", "slow", "doubtful", "lost", "garbage"}

// tierOf returns the tier of a backend. Draining backends and backends in drained zones are excluded.
func tierOf(s *snapshot.Backend, now clock.Micros) tier {
	switch {
	case s.Health == snapshot.Draining || s.Health == snapshot.ZoneDrained:
		return tierExcluded
	case s.Health == snapshot.Corrupt:
		return tierCorrupt
	case s.Health == snapshot.Unreachable:
		return tierUnreachable
	case s.Health == snapshot.Suspect || s.Gauge.EjectedUntil.Load() > now:
		return tierSuspect
	case s.Health == snapshot.Slow:
		return tierSlow
	}
	return tierHealthy
}

// selectBackend selects a backend for an attempt by the power of two choices: it samples two backends
// from the best tier and takes the backend with the shorter expected wait. If possible, one of the two is
// in the node's own zone. Backends in attempted are skipped. The second result reports whether a
// backend was found.
//
// A backend in slow start is a candidate only with the probability of its slow-start share. That
// bounds its load across the whole fleet without coordination. If all backends of the tier are in slow
// start, the probabilities are relative to the largest share.
func selectBackend(snap *snapshot.Snapshot, index *snapshot.Index, backends []*snapshot.Backend, attempted []string, now clock.Micros, rnd *random.Source) (Selection, bool) {
	candidates, best := bestTier(backends, attempted, now)
	if len(candidates) == 0 {
		return Selection{}, false
	}
	slowStart := index.Service.RampUs
	warm := candidates
	if len(candidates) > 1 {
		warm = sampleByWarmth(candidates, now, slowStart, rnd)
	}
	// The first sample is taken from the node's own zone. If the slow-start sampling dropped it, a
	// sample from any zone replaces it. Otherwise, if all backends of a zone are in slow start, the
	// nodes of the zone would send all their requests to whichever of these backends was kept.
	first := sampleOne(inZone(candidates, snap.Zone), rnd)
	if !slices.Contains(warm, first) && len(candidates) > 1 {
		first = sampleOne(warm, rnd)
	}
	second := sampleOne(warm, rnd)
	selected := first
	if expectedWait(second, snap.Zone) < expectedWait(first, snap.Zone) {
		selected = second
	}
	return Selection{
		Backend: selected, Sampled: []string{first.ID, second.ID}, Tier: tierNames[best],
		WarmingUp: selected.SlowStartShare(now, slowStart) < 1000,
	}, true
}

// bestTier returns the backends of the best non-empty tier, and the tier. Backends in attempted are ignored.
func bestTier(backends []*snapshot.Backend, attempted []string, now clock.Micros) ([]*snapshot.Backend, tier) {
	var best []*snapshot.Backend
	lowest := tierCount
	for _, s := range backends {
		if slices.Contains(attempted, s.ID) {
			continue
		}
		t := tierOf(s, now)
		if t == tierExcluded || t > lowest {
			continue
		}
		if t < lowest {
			lowest, best = t, best[:0]
		}
		best = append(best, s)
	}
	return best, lowest
}

// sampleByWarmth keeps each backend with a probability equal to its slow-start share divided by the
// largest share among the backends.
func sampleByWarmth(backends []*snapshot.Backend, now, slowStart clock.Micros, rnd *random.Source) []*snapshot.Backend {
	warmest := int64(1)
	for _, s := range backends {
		warmest = max(warmest, s.SlowStartShare(now, slowStart))
	}
	kept := make([]*snapshot.Backend, 0, len(backends))
	for _, s := range backends {
		share := s.SlowStartShare(now, slowStart)
		if share >= warmest || int64(rnd.IntN(int(warmest))) < share {
			kept = append(kept, s)
		}
	}
	return kept
}

// inZone returns the backends in a zone, or all given backends if none of them is in the zone.
func inZone(backends []*snapshot.Backend, zone string) []*snapshot.Backend {
	var found []*snapshot.Backend
	for _, s := range backends {
		if s.Zone == zone {
			found = append(found, s)
		}
	}
	if len(found) == 0 {
		return backends
	}
	return found
}

func sampleOne(backends []*snapshot.Backend, rnd *random.Source) *snapshot.Backend {
	return backends[rnd.IntN(len(backends))]
}

// minLatency, half a millisecond, is added to a backend's latency, so that the expected wait at a backend
// that has not answered yet is not zero.
const minLatency clock.Micros = 500

// expectedWait estimates how long a request to a backend would wait, in relative units. It adds four
// times the number of this node's outstanding requests, counting the new one, to the load that the
// backend reports, and multiplies the sum by the backend's latency. The result is a quarter higher for
// a backend in another zone.
func expectedWait(s *snapshot.Backend, zone string) int64 {
	latency := s.Gauge.Latency.Load() + minLatency
	wait := (s.Gauge.Outstanding.Load()*4 + s.Gauge.Usage.Load() + 4) * latency
	if s.Zone != zone {
		wait += wait / 4
	}
	return wait
}
