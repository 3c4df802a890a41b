package replica

import (
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Leases are for the singleton tasks, which one node does at a time. A leader grants a lease until
// LeaseDuration after it sent the last heartbeat round that a majority answered. Some voter of any later
// leader's majority answered that round before it voted, so the lease has ended once a later leader has led
// for LeaseDuration, and before that the later leader grants none. A holder counts its lease from when it
// sent the request, and one that releases it may name its successor.

// LeaseDuration is how long a lease lasts at most.
const LeaseDuration = 800 * clock.Millisecond

// lease is the lease of one singleton task. An empty holder stands for none until then.
type lease struct {
	holder string
	until  clock.Micros
	id     uint64
}

// handleLeaseRequest grants, renews or releases the lease of a task.
func (g *Group) handleLeaseRequest(ctx *kernel.Context, conn, id uint64, request wire.LeaseRequest) {
	until := g.contact.confirmedAt + LeaseDuration
	if g.role != leader || !g.ready || g.transferring || until <= ctx.Now {
		ctx.Send(conn, wire.KindLeaseReply, id, &wire.LeaseReply{Task: request.Task})
		return
	}
	granted := g.leases[request.Task]
	if granted == nil {
		// Whatever an earlier leader granted has ended by then.
		granted = &lease{until: g.leaderSince + LeaseDuration}
		g.leases[request.Task] = granted
	}
	if request.Release {
		g.releaseLease(ctx, granted, request, until)
		return
	}
	if ctx.Now >= granted.until && granted.holder != request.From {
		granted.holder, granted.id = request.From, g.nextLeaseID()
	}
	if granted.holder == request.From {
		granted.until = max(granted.until, until)
	}
	ctx.Send(conn, wire.KindLeaseReply, id, &wire.LeaseReply{Task: request.Task, Holder: granted.holder, Duration: granted.until - ctx.Now, LeaseID: granted.id})
}

// releaseLease ends a lease that its holder gives up. A request that was delayed, and is about an earlier
// lease of the same holder, ends nothing.
func (g *Group) releaseLease(ctx *kernel.Context, granted *lease, request wire.LeaseRequest, until clock.Micros) {
	if granted.holder != request.From || request.LeaseID != 0 && request.LeaseID != granted.id {
		return
	}
	*granted = lease{until: ctx.Now, id: g.nextLeaseID()}
	if request.Successor != "" {
		granted.holder, granted.until = request.Successor, until
	}
}

// nextLeaseID is a fencing token: it rises from one grant to the next, across leaders as well.
func (g *Group) nextLeaseID() uint64 {
	g.leaseCount++
	return g.term<<24 | g.leaseCount
}

// leaseHolders maps each task whose lease is held to its holder.
func (g *Group) leaseHolders(ctx *kernel.Context) map[string]string {
	holders := map[string]string{}
	for task, granted := range g.leases {
		if granted.holder != "" && ctx.Now < granted.until {
			holders[task] = granted.holder
		}
	}
	return holders
}
