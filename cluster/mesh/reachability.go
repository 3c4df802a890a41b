// Who is reached: the processes that a chain of links leads to, each of them told by both
// of its ends. A process that died, froze or is cut off is linked to nobody that is reached
// once its peers have ceased to hear it; and one that fell silent and doesn't say itself that
// it is there is not taken for live whoever else claims a link to it.

package mesh

import (
	"slices"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of reaching.
const (
	// ReachDelay is how long links that came wait for others before they are looked at.
	ReachDelay = 20_000
	// ReachInterval is the least time between two lookings at links that came.
	ReachInterval = 60_000
	// SuspicionTimeout is how long one that fell silent has to say that it is there.
	SuspicionTimeout = 1_000_000
	// MaxLinks bounds the links that one process may tell of.
	MaxLinks = 64
)

// liveness is what is known of an origin as a process of the mesh.
type liveness struct {
	member  *wire.Member
	links   []string
	reached bool
	// visited is the turn of reaching in which it was found last.
	visited uint64
	// lastLive is when it was last known to be there.
	lastLive int64
	// suspectCount is the count that it must pass since it fell silent; 0 is that it did not.
	suspectCount uint64
	suspectedAt  int64
}

func (o *originState) suspicionExpired(now int64) bool {
	return o.suspectCount > 0 && o.maxCount <= o.suspectCount && now-o.suspectedAt >= SuspicionTimeout
}

// scheduleReach has it worked out once for all links that come within a while.
func (m *Mesh) scheduleReach(ctx *kernel.Context) {
	if !m.reachScheduled {
		m.reachScheduled = true
		ctx.After(max(ReachDelay, m.lastReach+ReachInterval-ctx.Now), "mesh", "reach")
	}
}

// updateReachability works out who is reached from here, and tells the process's other plug-ins if that changed.
func (m *Mesh) updateReachability(ctx *kernel.Context) {
	m.lastReach = ctx.Now
	m.reachGeneration++
	todo := make([]*originState, 0, len(m.store.origins))
	find := func(o *originState) {
		if o != nil && o.visited != m.reachGeneration {
			o.visited = m.reachGeneration
			todo = append(todo, o)
		}
	}
	m.store.origins[m.self].visited = m.reachGeneration
	for _, fp := range m.links.current {
		find(m.store.origins[fp])
	}
	for at := 0; at < len(todo); at++ {
		from := todo[at]
		for _, fp := range from.links {
			q := m.store.origins[fp]
			if q != nil && q.visited != m.reachGeneration && slices.Contains(q.links, from.fingerprint) && !q.suspicionExpired(ctx.Now) {
				find(q)
			}
		}
	}
	changed, n := false, int64(0)
	for _, o := range m.store.origins {
		was := o.reached
		if o.reached = o.visited == m.reachGeneration; o.reached {
			n++
			o.lastLive = ctx.Now
		}
		changed = changed || was != o.reached
	}
	ctx.Counts.Set("mesh_reached", n)
	if changed {
		m.turn++
		ctx.Emit(LivenessUpdated{})
	}
}

// Live reports whether an origin is there: reached over links, or heard by a beat that it signed.
func (m *Mesh) Live(origin string, now int64) bool {
	if origin == m.self {
		return true
	}
	o := m.store.origins[origin]
	return o != nil && (o.reached || o.heartbeat > 0 && now-o.heartbeatAt < LivenessTimeout)
}

// observeEntry takes what the mesh itself needs of an entry that was taken in.
func (m *Mesh) observeEntry(ctx *kernel.Context, o *originState, e *wire.Entry) {
	if len(e.Body) > NoticeThreshold {
		n := noticeOf(e)
		n.Want = true
		delete(m.requests, n)
	}
	switch e.Type {
	case "links":
		m.handleLinks(ctx, o, e)
	case "member":
		row := new(wire.Member)
		if wire.Decode(e.Body, row) == nil {
			o.member = row
		}
	}
}
