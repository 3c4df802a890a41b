package replica

import (
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Leases are for singleton tasks, each of which runs on one node at a time. A leader grants a lease until
// LeaseDuration after it sent the newest heartbeat round that a majority answered. Any later leader is elected by a
// majority that includes a voter which answered that round before it voted. The lease has therefore ended once the
// later leader has led for LeaseDuration, and the later leader grants no lease before then. A holder counts its lease
// from when it sent the request. A holder that releases its lease may name its successor.

// LeaseDuration is the maximum duration of a lease.
const LeaseDuration = 800 * clock.Millisecond

// lease is the lease of one singleton task. If holder is empty, the task must not be leased to any process before the
// time in until.
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
		// Any lease that an earlier leader granted ends within LeaseDuration after this leader was elected.
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

// releaseLease ends a lease at the request of its holder, and grants it to the successor that the request names, if
// any. A delayed request about an earlier lease of the same holder has no effect.
func (g *Group) releaseLease(ctx *kernel.Context, granted *lease, request wire.LeaseRequest, until clock.Micros) {
	if granted.holder != request.From || request.LeaseID != 0 && request.LeaseID != granted.id {
		return
	}
	*granted = lease{until: ctx.Now, id: g.nextLeaseID()}
	if request.Successor != "" {
		granted.holder, granted.until = request.Successor, until
	}
}

// nextLeaseID returns a fencing token, which increases with each grant, also from one leader to the next.
func (g *Group) nextLeaseID() uint64 {
	g.leaseCount++
	return g.term<<24 | g.leaseCount
}

// leaseHolders returns the holder of each task that is currently leased.
func (g *Group) leaseHolders(ctx *kernel.Context) map[string]string {
	holders := map[string]string{}
	for task, granted := range g.leases {
		if granted.holder != "" && ctx.Now < granted.until {
			holders[task] = granted.holder
		}
	}
	return holders
}
