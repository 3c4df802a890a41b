package discovery

import (
	"fmt"

	"wallport/cluster/mesh"
	"wallport/control/state"
	"wallport/runtime/invariant"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// maxOpenRequests is how many lease requests a reply may still answer.
const maxOpenRequests = 16

// handleLeaseReply takes a granted lease. It lasts from when it was requested, since neither the
// time that the reply took nor whether this process was frozen meanwhile is known.
func (p *Lister) handleLeaseReply(id uint64, r wire.LeaseReply) {
	at, open := p.requestedAt[id]
	delete(p.requestedAt, id)
	if !open || r.Task != LeaseTask || r.Holder != p.mesh.Self() {
		return
	}
	p.leaseUntil = max(p.leaseUntil, at+r.Duration)
	p.leaseID, p.newestLeaseID = max(p.leaseID, r.LeaseID), max(p.newestLeaseID, r.LeaseID)
}

// checkSingleLeaseHolder reports a violation if another node reads under a newer lease while this
// node still holds its own.
func (p *Lister) checkSingleLeaseHolder(ctx *kernel.Context, v mesh.Stored, l *wire.BackendList) {
	if !v.Local && ctx.Now < p.leaseUntil && l.LeaseID > p.leaseID {
		ctx.ReportViolation(invariant.OneLeaseHolder, fmt.Sprintf("%s reads under lease %d while this node holds lease %d for another %d us", v.Origin, l.LeaseID, p.leaseID, p.leaseUntil-ctx.Now))
	}
}

// forgetLease ends this node's lease on its own side. A grant on its way is ignored.
func (p *Lister) forgetLease() {
	p.leaseUntil = 0
	clear(p.requestedAt)
}

// releaseLease hands the lease over to the next live node by name, if this node holds it and there
// is such a node, and reports whether it did.
func (p *Lister) releaseLease(ctx *kernel.Context) bool {
	partition := state.PartitionOf(LeaseTask)
	addr := p.configSync.Leader(partition)
	if addr == "" || ctx.Now >= p.leaseUntil {
		return false
	}
	for _, r := range p.members.Live(ctx.Now, settings.RoleNode) {
		if r.Origin != p.mesh.Self() && !r.Draining {
			ctx.SendTo(addr, wire.KindLeaseRequest, 0, &wire.LeaseRequest{Partition: partition, Task: LeaseTask, From: p.mesh.Self(), Release: true, Successor: r.Origin, LeaseID: p.leaseID})
			p.forgetLease()
			return true
		}
	}
	return false
}
