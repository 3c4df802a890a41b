// Leases of the tasks that one node does at a time. A leader grants a lease for a short while from
// the sending of the last heartbeat round that a majority answered: some voter of any later
// leader's majority answered that round before it voted, so the lease ends before a later leader
// has been in office for as long, and until then that one grants nothing. A holder counts a lease
// from when it asked, and one that gives it up names its successor.

package replica

import (
	"slices"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// LeaseDuration is how long a lease lasts at most.
const LeaseDuration = 800_000

type lease struct {
	holder string
	until  int64
	id     uint64
}

func (g *Group) handleLeaseRequest(ctx *kernel.Context, ch, id uint64, h wire.LeaseRequest) {
	until := g.contact.confirmedAt + LeaseDuration
	if g.role != leader || !g.ready || g.transferring || until <= ctx.Now {
		ctx.Send(ch, wire.KindLeaseReply, id, &wire.LeaseReply{Task: h.Task})
		return
	}
	gr := g.leases[h.Task]
	if gr == nil {
		// Whatever a predecessor granted has ended by then.
		gr = &lease{until: g.leaderSince + LeaseDuration}
		g.leases[h.Task] = gr
	}
	if h.Release {
		g.releaseLease(ctx, gr, h, until)
		return
	}
	if ctx.Now >= gr.until && gr.holder != h.From {
		g.leaseCount++
		gr.holder, gr.id = h.From, g.term<<24|g.leaseCount
	}
	if gr.holder == h.From {
		gr.until = max(gr.until, until)
	}
	ctx.Send(ch, wire.KindLeaseReply, id, &wire.LeaseReply{Task: h.Task, Holder: gr.holder, Duration: gr.until - ctx.Now, LeaseID: gr.id})
}

// releaseLease ends a lease that its holder gives up. One that it got since is not meant.
func (g *Group) releaseLease(ctx *kernel.Context, gr *lease, h wire.LeaseRequest, until int64) {
	if gr.holder != h.From || h.LeaseID != 0 && h.LeaseID != gr.id {
		return
	}
	g.leaseCount++
	*gr = lease{until: ctx.Now, id: g.term<<24 | g.leaseCount}
	if h.Successor != "" {
		gr.holder, gr.until = h.Successor, until
	}
}

func (g *Group) leaseHolders(ctx *kernel.Context) map[string]string {
	out := map[string]string{}
	for d, gr := range g.leases {
		if gr.holder != "" && ctx.Now < gr.until {
			out[d] = gr.holder
		}
	}
	return out
}

// ClockTolerance is how far two clocks may be apart and still agree.
const ClockTolerance = 2_000_000

// agreedTime is the time that a majority of the replicas agrees on, as the lowest clock
// of the largest group that agrees; without such a majority it is not known, and
// no booking starts or ends by a guess.
func (g *Group) agreedTime(ctx *kernel.Context) (int64, bool) {
	// Offsets from this process's steady clock: its time of day may jump like any other.
	offs := []int64{ctx.Wall - ctx.Now}
	for _, s := range g.committed.Voters {
		if off, ok := g.wallOffsets[s.ID]; ok && ctx.Now-g.heardAt[s.ID] < StepDownAfter {
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
	return ctx.Now + from, best > len(g.committed.Voters)/2
}
