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

// asksMost is how many asks a grant may still answer.
const asksMost = 16

// granted takes a grant. It lasts from when it was asked for: how long the answer took to come,
// and whether this process stood still meanwhile, is not known.
func (p *Lister) granted(id uint64, r wire.LeaseReply) {
	at, open := p.asked[id]
	delete(p.asked, id)
	if !open || r.Task != Duty || r.Holder != p.mesh.Self() {
		return
	}
	p.until = max(p.until, at+r.For)
	p.lease, p.turn = max(p.lease, r.LeaseID), max(p.turn, r.LeaseID)
}

// checkHolder sees that nobody else was granted the duty while this node still holds it.
func (p *Lister) checkHolder(ctx *kernel.Context, v mesh.Stored, l *wire.Listing) {
	if !v.Own && ctx.Now < p.until && l.Turn > p.lease {
		ctx.Violated(invariant.OneLeaseHolder, fmt.Sprintf("%s reads under turn %d while turn %d is held here for %d us yet", v.Origin, l.Turn, p.lease, p.until-ctx.Now))
	}
}

// release ends what this node holds of the duty: a grant that is still on its way is not taken.
func (p *Lister) release() {
	p.until = 0
	clear(p.asked)
}

// drop gives the duty up to the next node by rank, if this node has it and there is another.
func (p *Lister) drop(ctx *kernel.Context) bool {
	partition := state.PartitionOf(Duty)
	addr := p.configSync.Leader(partition)
	if addr == "" || ctx.Now >= p.until {
		return false
	}
	for _, r := range p.members.Live(ctx.Now, "node") {
		if r.Origin != p.mesh.Self() && !r.Draining {
			ctx.SendTo(addr, wire.KindLeaseRequest, 0, &wire.LeaseRequest{Partition: partition, Task: Duty, From: p.mesh.Self(), Release: true, Next: r.Origin, LeaseID: p.lease})
			p.release()
			return true
		}
	}
	return false
}
