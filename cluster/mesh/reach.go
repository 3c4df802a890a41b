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
	// ReachWithin is how long links that came wait for others before they are looked at.
	ReachWithin = 20_000
	// ReachEvery is the least time between two lookings at links that came.
	ReachEvery = 60_000
	// SuspectFor is how long one that fell silent has to say that it is there.
	SuspectFor = 1_000_000
	// LinksMost bounds the links that one process may tell of.
	LinksMost = 64
)

// node is what is known of an origin as a process of the mesh.
type node struct {
	row     *wire.Member
	links   []string
	reached bool
	// foundAt is the turn of reaching in which it was found last.
	foundAt uint64
	// liveAt is when it was last known to be there.
	liveAt int64
	// suspect is the count that it must pass since it fell silent; 0 is that it did not.
	suspect   uint64
	suspectAt int64
}

func (o *origin) silent(now int64) bool {
	return o.suspect > 0 && o.max <= o.suspect && now-o.suspectAt >= SuspectFor
}

// reachSoon has it worked out once for all links that come within a while.
func (m *Mesh) reachSoon(ctx *kernel.Context) {
	if !m.reachArmed {
		m.reachArmed = true
		ctx.After(max(ReachWithin, m.reachAt+ReachEvery-ctx.Now), "mesh", "reach")
	}
}

// reach works out who is reached from here, and tells the process's other plug-ins if that changed.
func (m *Mesh) reach(ctx *kernel.Context) {
	m.reachAt = ctx.Now
	m.reachTurn++
	todo := make([]*origin, 0, len(m.store.origins))
	find := func(o *origin) {
		if o != nil && o.foundAt != m.reachTurn {
			o.foundAt = m.reachTurn
			todo = append(todo, o)
		}
	}
	m.store.origins[m.self].foundAt = m.reachTurn
	for _, fp := range m.links.now {
		find(m.store.origins[fp])
	}
	for at := 0; at < len(todo); at++ {
		from := todo[at]
		for _, fp := range from.links {
			q := m.store.origins[fp]
			if q != nil && q.foundAt != m.reachTurn && slices.Contains(q.links, from.fp) && !q.silent(ctx.Now) {
				find(q)
			}
		}
	}
	changed, n := false, int64(0)
	for _, o := range m.store.origins {
		was := o.reached
		if o.reached = o.foundAt == m.reachTurn; o.reached {
			n++
			o.liveAt = ctx.Now
		}
		changed = changed || was != o.reached
	}
	ctx.Counts.Set("mesh_reached", n)
	if changed {
		m.turn++
		ctx.Emit(Pulse{})
	}
}

// Live reports whether an origin is there: reached over links, or heard by a beat that it signed.
func (m *Mesh) Live(origin string, now int64) bool {
	if origin == m.self {
		return true
	}
	o := m.store.origins[origin]
	return o != nil && (o.reached || o.beat > 0 && now-o.beatAt < LiveFor)
}

// learn takes what the mesh itself needs of an entry that was taken in.
func (m *Mesh) learn(ctx *kernel.Context, o *origin, e *wire.Entry) {
	if len(e.Body) > NoticeOver {
		n := noticeOf(e)
		n.Want = true
		delete(m.wants, n)
	}
	switch e.Type {
	case "links":
		m.linked(ctx, o, e)
	case "member":
		row := new(wire.Member)
		if wire.Decode(e.Body, row) == nil {
			o.row = row
		}
	}
}
