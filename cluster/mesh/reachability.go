package mesh

import (
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Times and bounds of the evaluation of reachability.
const (
	// ReachDelay is how long the evaluation of reachability is delayed after links were received, so
	// that it includes links that arrive shortly afterwards.
	ReachDelay = 20 * clock.Millisecond
	// ReachInterval is the least time between an evaluation and the next one that is caused by received
	// links.
	ReachInterval = 60 * clock.Millisecond
	// SuspicionTimeout is how long a suspect has to refute the suspicion.
	SuspicionTimeout = 1 * clock.Second
	// MaxLinks bounds the links that one process may announce.
	MaxLinks = 64
)

// liveness is the reachability state of an origin: its announced links, and whether it is reached or
// suspected.
type liveness struct {
	member  *wire.Member
	links   []string
	reached bool
	// visited is the generation of the search that last reached the origin.
	visited uint64
	// lastLive is when the origin was last known to be live.
	lastLive clock.Micros
	// suspectCount is the count that an entry of the origin must exceed to refute a suspicion; 0 if it
	// was never suspected.
	suspectCount uint64
	suspectedAt  clock.Micros
}

// suspicionExpired reports whether the origin has not refuted a suspicion within SuspicionTimeout.
func (o *originState) suspicionExpired(now clock.Micros) bool {
	return o.suspectCount > 0 && o.maxCount <= o.suspectCount && now-o.suspectedAt >= SuspicionTimeout
}

// scheduleReach schedules an evaluation of reachability, unless one is scheduled already.
func (m *Mesh) scheduleReach(ctx *kernel.Context) {
	if !m.reachScheduled {
		m.reachScheduled = true
		ctx.After(max(ReachDelay, m.lastReach+ReachInterval-ctx.Now), pluginName, timerReach)
	}
}

// updateReachability determines the reached origins by a breadth-first search of the graph of links from
// this process. This process's own links always count. Any other link counts only if both of its ends
// announce it and the process that it leads to has no expired suspicion.
func (m *Mesh) updateReachability(ctx *kernel.Context) {
	m.lastReach = ctx.Now
	m.reachGeneration++
	queue := make([]*originState, 0, len(m.store.origins))
	visit := func(origin *originState) {
		if origin != nil && origin.visited != m.reachGeneration {
			origin.visited = m.reachGeneration
			queue = append(queue, origin)
		}
	}
	m.store.origins[m.self].visited = m.reachGeneration
	for _, fp := range m.links.current {
		visit(m.store.origins[fp])
	}
	for next := 0; next < len(queue); next++ {
		from := queue[next]
		for _, fp := range from.links {
			to := m.store.origins[fp]
			if to != nil && to.visited != m.reachGeneration && slices.Contains(to.links, from.fingerprint) && !to.suspicionExpired(ctx.Now) {
				visit(to)
			}
		}
	}
	changed, reached := false, int64(0)
	for _, origin := range m.store.origins {
		was := origin.reached
		if origin.reached = origin.visited == m.reachGeneration; origin.reached {
			reached++
			origin.lastLive = ctx.Now
		}
		changed = changed || was != origin.reached
	}
	ctx.Counts.Set("mesh_reached", reached)
	if changed {
		ctx.Emit(LivenessUpdated{})
	}
}

// Live reports whether an origin is live: it is reached over links, or a heartbeat that it signed
// (release 1) arrived within LivenessTimeout. This process itself is always live.
func (m *Mesh) Live(origin string, now clock.Micros) bool {
	if origin == m.self {
		return true
	}
	state := m.store.origins[origin]
	return state != nil && (state.reached || state.heartbeat > 0 && now-state.heartbeatAt < LivenessTimeout)
}
