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

func (g *Group) handleLeaseRequest(ctx *kernel.Context, conn, id uint64, request wire.LeaseRequest) {
	until := g.contact.confirmedAt + LeaseDuration
	if g.role != leader || !g.ready || g.transferring || until <= ctx.Now {
		ctx.Send(conn, wire.KindLeaseReply, id, &wire.LeaseReply{Task: request.Task})
		return
	}
	granted := g.leases[request.Task]
	if granted == nil {
		// Whatever a predecessor granted has ended by then.
		granted = &lease{until: g.leaderSince + LeaseDuration}
		g.leases[request.Task] = granted
	}
	if request.Release {
		g.releaseLease(ctx, granted, request, until)
		return
	}
	if ctx.Now >= granted.until && granted.holder != request.From {
		g.leaseCount++
		granted.holder, granted.id = request.From, g.term<<24|g.leaseCount
	}
	if granted.holder == request.From {
		granted.until = max(granted.until, until)
	}
	ctx.Send(conn, wire.KindLeaseReply, id, &wire.LeaseReply{Task: request.Task, Holder: granted.holder, Duration: granted.until - ctx.Now, LeaseID: granted.id})
}

// releaseLease ends a lease that its holder gives up. One that it got since is not meant.
func (g *Group) releaseLease(ctx *kernel.Context, granted *lease, request wire.LeaseRequest, until int64) {
	if granted.holder != request.From || request.LeaseID != 0 && request.LeaseID != granted.id {
		return
	}
	g.leaseCount++
	*granted = lease{until: ctx.Now, id: g.term<<24 | g.leaseCount}
	if request.Successor != "" {
		granted.holder, granted.until = request.Successor, until
	}
}

func (g *Group) leaseHolders(ctx *kernel.Context) map[string]string {
	holders := map[string]string{}
	for task, granted := range g.leases {
		if granted.holder != "" && ctx.Now < granted.until {
			holders[task] = granted.holder
		}
	}
	return holders
}

// ClockTolerance is how far two clocks may be apart and still agree.
const ClockTolerance = 2_000_000

// agreedTime is the time that a majority of the replicas agrees on, as the lowest clock
// of the largest group that agrees; without such a majority it is not known, and
// no booking starts or ends by a guess.
func (g *Group) agreedTime(ctx *kernel.Context) (int64, bool) {
	// Offsets from this process's steady clock: its time of day may jump like any other.
	offsets := []int64{ctx.Wall - ctx.Now}
	for _, s := range g.committed.Voters {
		if offset, ok := g.wallOffsets[s.ID]; ok && ctx.Now-g.heardAt[s.ID] < StepDownAfter {
			offsets = append(offsets, offset)
		}
	}
	slices.Sort(offsets)
	best, from := 0, int64(0)
	for i, offset := range offsets {
		n := 0
		for _, other := range offsets[i:] {
			if other-offset <= ClockTolerance {
				n++
			}
		}
		if n > best {
			best, from = n, offset
		}
	}
	return ctx.Now + from, best > len(g.committed.Voters)/2
}
