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

// Choice tells of a pick, for explain.
type Choice struct {
	Server *snapshot.Server
	Drawn  []string
	Tier   string
	Cold   bool
}

var tierNames = []string{"usable", "slow", "doubtful", "lost", "garbage"}

// tier sorts a server by how good it looks; below zero it is never picked.
func tier(s *snapshot.Server, now int64) int {
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

func pick(cp *snapshot.Snapshot, x *snapshot.Index, servers []*snapshot.Server, tried []string, now int64, r *rnd) (Choice, bool) {
	var best []*snapshot.Server
	at := len(tierNames)
	for _, s := range servers {
		if slices.Contains(tried, s.ID) {
			continue
		}
		n := tier(s, now)
		if n < 0 || n > at {
			continue
		}
		if n < at {
			at, best = n, best[:0]
		}
		best = append(best, s)
	}
	if len(best) == 0 {
		return Choice{}, false
	}
	ramp := x.Service.RampUs
	warm := best
	if len(best) > 1 {
		warm = ramped(best, now, ramp, r)
	}
	c := Choice{Tier: tierNames[at]}
	// One of the own zone, if its warmth lets it: a zone whose servers are all cold must
	// not have the whole work of its nodes for the one that is let through by chance.
	a := draw(near(best, cp.Zone), r)
	if !slices.Contains(warm, a) && len(best) > 1 {
		a = draw(warm, r)
	}
	b := draw(warm, r)
	c.Drawn = []string{a.ID, b.ID}
	c.Server = a
	if cost(b, cp.Zone) < cost(a, cp.Zone) {
		c.Server = b
	}
	c.Cold = c.Server.SlowStartShare(now, ramp) < 1000
	return c, true
}

// ramped leaves each cold server in with the chance that its warmth gives it.
// Where all are cold, warmth only counts against the warmest.
func ramped(all []*snapshot.Server, now, ramp int64, r *rnd) []*snapshot.Server {
	most := int64(1)
	for _, s := range all {
		most = max(most, s.SlowStartShare(now, ramp))
	}
	out := make([]*snapshot.Server, 0, len(all))
	for _, s := range all {
		w := s.SlowStartShare(now, ramp)
		if w >= most || int64(r.IntN(int(most))) < w {
			out = append(out, s)
		}
	}
	return out
}

func near(all []*snapshot.Server, zone string) []*snapshot.Server {
	var out []*snapshot.Server
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

func draw(all []*snapshot.Server, r *rnd) *snapshot.Server { return all[r.IntN(len(all))] }

// cost is the expected wait: what is outstanding here and reported there,
// times what an answer takes; another zone costs a quarter more.
func cost(s *snapshot.Server, zone string) int64 {
	lat := s.Gauge.Latency.Load() + 500
	c := (s.Gauge.Outstanding.Load()*4 + s.Gauge.Usage.Load() + 4) * lat
	if s.Zone != zone {
		c += c / 4
	}
	return c
}
