// The pick of a server for a shard: the cheaper of two drawn at random, one of
// them from the own zone where that is possible, among the best tier that has
// any. If every server looks bad, the least bad tier is used. A cold server is
// drawn only as often as its ramp allows, which holds fleet-wide without any
// counting, unless the whole tier is cold.

package search

import (
	"slices"

	"wallport/request/snapshot"
)

// Selection tells of a pick, for explain.
type Selection struct {
	Server    *snapshot.Backend
	Sampled   []string
	Tier      string
	WarmingUp bool
}

var tierNames = []string{"usable", "slow", "doubtful", "lost", "garbage"}

// tierOf sorts a server by how good it looks; below zero it is never picked.
func tierOf(s *snapshot.Backend, now int64) int {
	switch {
	case s.Health == snapshot.Draining || s.Health == snapshot.ZoneDrained:
		return -1
	case s.Health == snapshot.Corrupt:
		return 4
	case s.Health == snapshot.Unreachable:
		return 3
	case s.Health == snapshot.Suspect || s.Gauge.EjectedUntil.Load() > now:
		return 2
	case s.Health == snapshot.Slow:
		return 1
	}
	return 0
}

func selectServer(snap *snapshot.Snapshot, x *snapshot.Index, servers []*snapshot.Backend, tried []string, now int64, r *rnd) (Selection, bool) {
	var best []*snapshot.Backend
	at := len(tierNames)
	for _, s := range servers {
		if slices.Contains(tried, s.ID) {
			continue
		}
		n := tierOf(s, now)
		if n < 0 || n > at {
			continue
		}
		if n < at {
			at, best = n, best[:0]
		}
		best = append(best, s)
	}
	if len(best) == 0 {
		return Selection{}, false
	}
	ramp := x.Service.RampUs
	warm := best
	if len(best) > 1 {
		warm = sampleByWarmth(best, now, ramp, r)
	}
	c := Selection{Tier: tierNames[at]}
	// One of the own zone, if its warmth lets it: a zone whose servers are all cold must
	// not have the whole work of its nodes for the one that is let through by chance.
	a := sampleOne(inZone(best, snap.Zone), r)
	if !slices.Contains(warm, a) && len(best) > 1 {
		a = sampleOne(warm, r)
	}
	b := sampleOne(warm, r)
	c.Sampled = []string{a.ID, b.ID}
	c.Server = a
	if expectedWait(b, snap.Zone) < expectedWait(a, snap.Zone) {
		c.Server = b
	}
	c.WarmingUp = c.Server.SlowStartShare(now, ramp) < 1000
	return c, true
}

// sampleByWarmth leaves each cold server in with the chance that its warmth gives it.
// Where all are cold, warmth only counts against the warmest.
func sampleByWarmth(all []*snapshot.Backend, now, ramp int64, r *rnd) []*snapshot.Backend {
	most := int64(1)
	for _, s := range all {
		most = max(most, s.SlowStartShare(now, ramp))
	}
	out := make([]*snapshot.Backend, 0, len(all))
	for _, s := range all {
		w := s.SlowStartShare(now, ramp)
		if w >= most || int64(r.IntN(int(most))) < w {
			out = append(out, s)
		}
	}
	return out
}

func inZone(all []*snapshot.Backend, zone string) []*snapshot.Backend {
	var out []*snapshot.Backend
	for _, s := range all {
		if s.Zone == zone {
			out = append(out, s)
		}
	}
	if len(out) == 0 {
		return all
	}
	return out
}

func sampleOne(all []*snapshot.Backend, r *rnd) *snapshot.Backend { return all[r.IntN(len(all))] }

// expectedWait is the expected wait: what is outstanding here and reported there,
// times what an answer takes; another zone costs a quarter more.
func expectedWait(s *snapshot.Backend, zone string) int64 {
	lat := s.Gauge.Latency.Load() + 500
	c := (s.Gauge.Outstanding.Load()*4 + s.Gauge.Usage.Load() + 4) * lat
	if s.Zone != zone {
		c += c / 4
	}
	return c
}
