// The lease of the duty as its holder sees it: it lasts from when it was asked
// for, and what is given up, or was held before a freeze, is not taken up again.

package discovery

import (
	"fmt"

	"wallport/cluster/mesh"
	"wallport/control/state"
	"wallport/runtime/invariant"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// maxOpenRequests is how many asks a grant may still answer.
const maxOpenRequests = 16

// handleLeaseReply takes a grant. It lasts from when it was asked for: how long the answer took to come,
// and whether this process stood still meanwhile, is not known.
func (p *Lister) handleLeaseReply(id uint64, r wire.LeaseReply) {
	at, open := p.requestedAt[id]
	delete(p.requestedAt, id)
	if !open || r.Task != LeaseTask || r.Holder != p.mesh.Self() {
		return
	}
	p.leaseUntil = max(p.leaseUntil, at+r.Duration)
	p.leaseID, p.newestLeaseID = max(p.leaseID, r.LeaseID), max(p.newestLeaseID, r.LeaseID)
}

// checkSingleLeaseHolder sees that nobody else was granted the duty while this node still holds it.
func (p *Lister) checkSingleLeaseHolder(ctx *kernel.Context, v mesh.Stored, l *wire.BackendList) {
	if !v.Local && ctx.Now < p.leaseUntil && l.LeaseID > p.leaseID {
		ctx.ReportViolation(invariant.OneLeaseHolder, fmt.Sprintf("%s reads under turn %d while turn %d is held here for %d us yet", v.Origin, l.LeaseID, p.leaseID, p.leaseUntil-ctx.Now))
	}
}

// forgetLease ends what this node holds of the duty: a grant that is still on its way is not taken.
func (p *Lister) forgetLease() {
	p.leaseUntil = 0
	clear(p.requestedAt)
}

// releaseLease gives the duty up to the next node by rank, if this node has it and there is another.
func (p *Lister) releaseLease(ctx *kernel.Context) bool {
	partition := state.PartitionOf(LeaseTask)
	addr := p.configSync.Leader(partition)
	if addr == "" || ctx.Now >= p.leaseUntil {
		return false
	}
	for _, r := range p.members.Live(ctx.Now, "node") {
		if r.Origin != p.mesh.Self() && !r.Draining {
			ctx.SendTo(addr, wire.KindLeaseRequest, 0, &wire.LeaseRequest{Partition: partition, Task: LeaseTask, From: p.mesh.Self(), Release: true, Successor: r.Origin, LeaseID: p.leaseID})
			p.forgetLease()
			return true
		}
	}
	return false
}
