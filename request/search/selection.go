package search

import (
	"slices"

	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/random"
)

// Selection is the backend selected for an attempt and how it was found, for explain.
type Selection struct {
	Backend *snapshot.Backend
	// Sampled are the ids of the two backends that were drawn.
	Sampled []string
	// Tier is the name of the best tier that had any backend.
	Tier      string
	WarmingUp bool
}

// tier ranks backends by health: the lowest that has any backend is selected from.
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

// tierNames are the tiers' names in traces.
var tierNames = [tierCount]string{"usable", "slow", "doubtful", "lost", "garbage"}

// tierOf returns the tier of a backend. Draining backends and drained zones are never selected.
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

// selectBackend selects a backend for an attempt by the power of two choices: of two backends drawn at
// random from the best tier, that with the shorter expected wait. One of the two is of the node's
// own zone where that is possible. Servers in attempted are left out. It reports whether there is one.
//
// A backend in slow start is drawn only as often as its warmth allows. That bounds its load for the
// whole fleet without any counting; where the whole tier is warming up, warmth is relative.
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
	// The first is of the own zone, if its warmth allows: a zone whose backends are all warming up
	// must not send all the work of its nodes to the one that chance lets through.
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

// bestTier returns the backends of the best tier that has any, without those in attempted.
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

// sampleByWarmth keeps each backend with a probability of its slow-start share, relative to that of
// the warmest.
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

// inZone returns the backends of a zone, or all where it has none.
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

// minLatency, half a millisecond, is added to a backend's latency, so that one that has not answered
// yet has a cost too.
const minLatency clock.Micros = 500

// expectedWait estimates how long a request to a backend would wait, on a scale of its own: the
// requests that this node has outstanding there, fourfold, and the load that the backend reports,
// times its latency. Another zone costs a quarter more.
func expectedWait(s *snapshot.Backend, zone string) int64 {
	latency := s.Gauge.Latency.Load() + minLatency
	wait := (s.Gauge.Outstanding.Load()*4 + s.Gauge.Usage.Load() + 4) * latency
	if s.Zone != zone {
		wait += wait / 4
	}
	return wait
}
