// Duties that one node does at a time: a leader leases them for a short while
// and renews; a holder that gives one up names its successor. A new leader
// leases nothing until every lease of its predecessor has run out.
package replica

import (
	"slices"

	"wallport/kernel"
	"wallport/wire"
)

// HoldFor is how long a lease lasts.
const LeaseDuration = 800_000

type lease struct {
	holder string
	until  int64
	turn   uint64
}

func (g *Group) renewLease(t *kernel.Turn, ch, id uint64, h wire.Hold) {
	if g.role != leader || !g.ready || g.transferring {
		t.Send(ch, wire.KindHoldReply, id, &wire.HoldReply{Duty: h.Duty})
		return
	}
	gr := g.leases[h.Duty]
	if gr == nil {
		gr = &lease{until: t.Now + LeaseDuration}
		g.leases[h.Duty] = gr
	}
	if h.Drop {
		if gr.holder == h.From {
			g.leaseCount++
			*gr = lease{until: t.Now, turn: g.term<<24 | g.leaseCount}
			if h.Next != "" {
				gr.holder, gr.until = h.Next, t.Now+LeaseDuration
			}
		}
		return
	}
	if t.Now >= gr.until && gr.holder != h.From {
		g.leaseCount++
		gr.holder, gr.turn = h.From, g.term<<24|g.leaseCount
	}
	if gr.holder == h.From {
		gr.until = t.Now + LeaseDuration
	}
	t.Send(ch, wire.KindHoldReply, id, &wire.HoldReply{Duty: h.Duty, Holder: gr.holder, For: gr.until - t.Now, Turn: gr.turn})
}

func (g *Group) leaseHolders(t *kernel.Turn) map[string]string {
	out := map[string]string{}
	for d, gr := range g.leases {
		if gr.holder != "" && t.Now < gr.until {
			out[d] = gr.holder
		}
	}
	return out
}

// AgreeWithin is how far two clocks may be apart and still agree.
const ClockTolerance = 2_000_000

// agreedTime is the time that a majority of the replicas agrees on, as the lowest clock
// of the largest group that agrees; without such a majority it is not known, and
// no booking starts or ends by a guess.
func (g *Group) agreedTime(t *kernel.Turn) (int64, bool) {
	// Offsets from this process's steady clock: its time of day may jump like any other.
	offs := []int64{t.Wall - t.Now}
	for _, s := range g.committed.Seats {
		if off, ok := g.clockOffsets[s.ID]; ok && t.Now-g.heardAt[s.ID] < StepDownAfter {
			offs = append(offs, off)
		}
	}
	slices.Sort(offs)
	best, from := 0, int64(0)
	for i, off := range offs {
		n := 0
		for _, other := range offs[i:] {
			if other-off <= ClockTolerance {
				n++
			}
		}
		if n > best {
			best, from = n, off
		}
	}
	return t.Now + from, best > len(g.committed.Seats)/2
}
