// Which nodes are home to a key, how sure a home may be of what it does not
// hold, and the handing over of records when the roster changes.
package claims

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"wallport/kernel"
	"wallport/state"
	"wallport/table"
	"wallport/wire"
)

const homesPer = 3

// Homes are the three nodes of the highest rendezvous weight, in distinct zones where there are.
func Homes(key string, roster []table.Node) []table.Node {
	type ranked struct {
		w uint64
		n table.Node
	}
	all := make([]ranked, 0, len(roster))
	for _, n := range roster {
		h := fnv.New64a()
		h.Write([]byte(n.Name))
		h.Write([]byte{0})
		h.Write([]byte(key))
		x := h.Sum64()
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		x ^= x >> 33
		all = append(all, ranked{x, n})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.w, a.w) })
	var out []table.Node
	zones := map[string]bool{}
	for pass := range 2 {
		for _, r := range all {
			if len(out) == homesPer || pass == 0 && zones[r.n.Zone] || slices.ContainsFunc(out, func(n table.Node) bool { return n.Name == r.n.Name }) {
				continue
			}
			zones[r.n.Zone] = true
			out = append(out, r.n)
		}
	}
	return out
}

func isHome(key, origin string, roster []table.Node) bool {
	return slices.ContainsFunc(Homes(key, roster), func(n table.Node) bool { return n.Origin == origin })
}

// knows tells whether not holding a key means that it was never let in here.
func (c *Claims) knows(key, index string, now int64) bool {
	if now-c.started < Quarantine && !c.saw(index) {
		return false
	}
	for _, o := range c.old {
		if now < o.until && !isHome(key, c.mesh.Self(), o.nodes) {
			return false
		}
	}
	return true
}

// firstSeen keeps which indexes had a cut when a part was first seen.
func (c *Claims) firstSeen(e *wire.Entry) {
	part := e.Stamp.Part
	if part == state.Config || c.first[part] != nil {
		return
	}
	b, err := state.ReadIndex(e.Body)
	if err != nil {
		return
	}
	c.first[part] = map[string]bool{}
	for index := range b.Cuts {
		c.first[part][index] = true
	}
}

// saw tells that this process was there before the index had its first cut:
// nothing of it can have run before this process began. So the first start of a
// fleet needs no quarantine, and the start after a total loss has it.
func (c *Claims) saw(index string) bool {
	had := c.first[state.PartOf(index)]
	return had != nil && !had[index]
}

// minority tells that this node sees half of the fleet or less.
func minority(cp *table.Checkpoint) bool { return 2*cp.Peers <= cp.Divisor && cp.Divisor > 1 }

// follow notices a changed roster and hands records to their new homes.
func (c *Claims) follow(t *kernel.Turn) {
	cp := c.table.Now()
	if cp == nil {
		return
	}
	if minority(cp) {
		// What the others let in meanwhile is not told here.
		c.started = t.Now
		clear(c.first)
	}
	same := slices.EqualFunc(c.roster, cp.Roster, func(a, b table.Node) bool { return a.Name == b.Name && a.Origin == b.Origin })
	if same {
		c.prune(t.Now)
		return
	}
	before := c.roster
	c.old = append(slices.DeleteFunc(c.old, func(o oldRoster) bool { return t.Now >= o.until }), oldRoster{t.Now + UnsureFor, before})
	c.roster = cp.Roster
	for _, key := range slices.Sorted(maps.Keys(c.records)) {
		rec := c.records[key]
		was := Homes(key, before)
		for _, h := range Homes(key, cp.Roster) {
			if h.Origin == c.mesh.Self() || slices.ContainsFunc(was, func(n table.Node) bool { return n.Origin == h.Origin }) {
				continue
			}
			m := wire.Settle{Key: key, Code: "running", Status: int(rec.sum), Body: []byte(rec.from)}
			if rec.done {
				m.Code, m.Body = "done", rec.body
			}
			t.Counts.Add("claims_handed_over", 1)
			t.SendTo(h.Addr, wire.KindSettle, 0, &m)
		}
	}
}

func (c *Claims) prune(now int64) {
	for len(c.order) > 0 {
		r := c.records[c.order[0]]
		if r != nil && now-r.at < KeyLife {
			return
		}
		delete(c.records, c.order[0])
		c.order = c.order[1:]
	}
}
