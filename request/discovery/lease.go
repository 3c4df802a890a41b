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

// maxOpenRequests bounds the lease requests for which a reply is still accepted.
const maxOpenRequests = 16

// handleLeaseReply accepts a granted lease. The duration counts from the time of the request, since it is
// not known how long the reply was in transit or whether this process was frozen in the meantime.
func (p *Lister) handleLeaseReply(id uint64, r wire.LeaseReply) {
	at, open := p.requestedAt[id]
	delete(p.requestedAt, id)
	if !open || r.Task != LeaseTask || r.Holder != p.mesh.Self() {
		return
	}
	p.leaseUntil = max(p.leaseUntil, at+r.Duration)
	p.leaseID, p.newestLeaseID = max(p.leaseID, r.LeaseID), max(p.newestLeaseID, r.LeaseID)
}

// checkSingleLeaseHolder reports a violation if another node reads under a newer lease while this node
// still holds the lease.
func (p *Lister) checkSingleLeaseHolder(ctx *kernel.Context, v mesh.Stored, l *wire.BackendList) {
	if !v.Local && ctx.Now < p.leaseUntil && l.LeaseID > p.leaseID {
		ctx.ReportViolation(invariant.OneLeaseHolder, fmt.Sprintf("%s reads under lease %d while this node holds lease %d for another %d us", v.Origin, l.LeaseID, p.leaseID, p.leaseUntil-ctx.Now))
	}
}

// forgetLease ends this node's lease locally. Grants that are still in transit are ignored.
func (p *Lister) forgetLease() {
	p.leaseUntil = 0
	clear(p.requestedAt)
}

// releaseLease hands the lease over to the first other live node by name that is not draining, if this node
// holds the lease and such a node exists. It reports whether it handed over the lease.
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
