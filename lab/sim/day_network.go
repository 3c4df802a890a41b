// What days add to the simulated network and to processes without a disk.

package sim

import (
	"maps"
	"slices"

	"wallport/runtime/kernel"
)

// write gives a write to the disk; where there is none it fails.
func (p *proc) write(wr kernel.Write) {
	if p.disk != nil {
		p.disk.enlist(wr)
		return
	}
	if wr.Key != "" {
		p.later(0, func() { p.step(kernel.Written{Plugin: wr.Plugin, Key: wr.Key, Err: "no disk"}) })
	}
}

// cutFails is how soon a dial over a cut fails: at once where the cut refuses connections.
func (n *network) cutFails(p, q *proc) int64 {
	if p.machine != nil && n.w.day.refused[p.machine.name+">"+q.machine.name] {
		return n.latency()
	}
	return 1_000_000
}

// reset ends a share of a machine's channels at once.
func (n *network) reset(m *machine, share float64) {
	for _, id := range slices.Sorted(maps.Keys(n.links)) {
		l := n.links[id]
		if l != nil && !l.dead && (l.sides[0].p.machine == m || l.sides[1].p.machine == m) && n.w.rnd.Float64() < share {
			n.breakLink(l)
		}
	}
}

// breakCut ends at once the channels that lead over a cut.
func (n *network) breakCut() {
	for _, id := range slices.Sorted(maps.Keys(n.links)) {
		l := n.links[id]
		if l == nil || l.dead {
			continue
		}
		if a, b := l.sides[0].p.name, l.sides[1].p.name; n.cut(a, b) || n.cut(b, a) {
			n.breakLink(l)
		}
	}
}
