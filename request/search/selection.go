package search

import (
	"slices"

	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/random"
)

// Selection is the server selected for an attempt and how it was found, for explain.
type Selection struct {
	Server *snapshot.Backend
	// Sampled are the ids of the two servers that were drawn.
	Sampled []string
	// Tier is the name of the best tier that had any server.
	Tier      string
	WarmingUp bool
}

// tier ranks servers by health: the lowest that has any server is selected from.
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

// tierOf returns the tier of a server. Draining servers and drained zones are never selected.
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

// selectServer selects a server for an attempt by the power of two choices: of two servers drawn at
// random from the best tier, that with the shorter expected wait. One of the two is of the node's
// own zone where that is possible. Servers in attempted are left out. It reports whether there is one.
//
// A server in slow start is drawn only as often as its warmth allows. That bounds its load for the
// whole fleet without any counting; where the whole tier is warming up, warmth is relative.
func selectServer(snap *snapshot.Snapshot, index *snapshot.Index, servers []*snapshot.Backend, attempted []string, now clock.Micros, rnd *random.Source) (Selection, bool) {
	candidates, best := bestTier(servers, attempted, now)
	if len(candidates) == 0 {
		return Selection{}, false
	}
	slowStart := index.Service.RampUs
	warm := candidates
	if len(candidates) > 1 {
		warm = sampleByWarmth(candidates, now, slowStart, rnd)
	}
	// The first is of the own zone, if its warmth allows: a zone whose servers are all warming up
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
		Server: selected, Sampled: []string{first.ID, second.ID}, Tier: tierNames[best],
		WarmingUp: selected.SlowStartShare(now, slowStart) < 1000,
	}, true
}

// bestTier returns the servers of the best tier that has any, without those in attempted.
func bestTier(servers []*snapshot.Backend, attempted []string, now clock.Micros) ([]*snapshot.Backend, tier) {
	var best []*snapshot.Backend
	lowest := tierCount
	for _, s := range servers {
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

// sampleByWarmth keeps each server with a probability of its slow-start share, relative to that of
// the warmest.
func sampleByWarmth(servers []*snapshot.Backend, now, slowStart clock.Micros, rnd *random.Source) []*snapshot.Backend {
	warmest := int64(1)
	for _, s := range servers {
		warmest = max(warmest, s.SlowStartShare(now, slowStart))
	}
	kept := make([]*snapshot.Backend, 0, len(servers))
	for _, s := range servers {
		share := s.SlowStartShare(now, slowStart)
		if share >= warmest || int64(rnd.IntN(int(warmest))) < share {
			kept = append(kept, s)
		}
	}
	return kept
}

// inZone returns the servers of a zone, or all where it has none.
func inZone(servers []*snapshot.Backend, zone string) []*snapshot.Backend {
	var found []*snapshot.Backend
	for _, s := range servers {
		if s.Zone == zone {
			found = append(found, s)
		}
	}
	if len(found) == 0 {
		return servers
	}
	return found
}

func sampleOne(servers []*snapshot.Backend, rnd *random.Source) *snapshot.Backend {
	return servers[rnd.IntN(len(servers))]
}

// minLatency, half a millisecond, is added to a server's latency, so that one that has not answered yet has a cost too.
const minLatency clock.Micros = 500

// expectedWait estimates how long a request to a server would wait, on a scale of its own: the
// requests that this node has outstanding there, fourfold, and the load that the server reports,
// times its latency. Another zone costs a quarter more.
func expectedWait(s *snapshot.Backend, zone string) int64 {
	latency := s.Gauge.Latency.Load() + minLatency
	wait := (s.Gauge.Outstanding.Load()*4 + s.Gauge.Usage.Load() + 4) * latency
	if s.Zone != zone {
		wait += wait / 4
	}
	return wait
}
