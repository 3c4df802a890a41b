// Orders about zones carry no number of their own. The process that takes one binds it to the
// version that last took an order about that zone, which it reads from the leader after the order
// came; the leader refuses any other. So a copy that was held up cannot undo a later order.

package operations

import (
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// versionRead marks the ids of frames that ask for a zone's version, so that a reply to one is
// never taken for a reply to the order itself.
const versionRead uint64 = 1 << 63

// needsVersion tells that an order is not yet bound to what it was given on.
func (c *call) needsVersion() bool {
	return (c.req.Edit.Op == "empty" || c.req.Edit.Op == "refill") && !c.bound
}

func (c *call) readVersion() wire.Edit {
	return wire.Edit{Partition: c.req.Edit.Partition, Op: wire.OpZoneVersion, Name: c.req.Edit.Name}
}

// versionReplied binds the order and sends it.
func (o *Operate) versionReplied(ctx *kernel.Context, id uint64, r wire.EditReply) {
	c := o.calls[id]
	if c == nil || c.reply != nil || c.bound {
		return
	}
	switch r.Code {
	case "not_owner":
		o.handOn(ctx, id, c, r.Addr)
	case wire.CodeVersion:
		c.bound, c.req.Edit.Base = true, r.Version
		o.handOn(ctx, id, c, r.Addr)
	case "invalid":
		// A leader of a release before 3 has no versions, and takes the order without one. A later
		// leader refuses it then, unless no order about the zone was ever taken.
		c.bound, c.req.Edit.Base = true, wire.Version{}
		o.handOn(ctx, id, c, o.leaderAddress(ctx, c))
	}
}

// stale has an order read the zone's version again: another order about that zone came first.
func (o *Operate) stale(ctx *kernel.Context, id uint64, c *call) {
	c.open--
	if !c.bound {
		return
	}
	c.bound = false
	if addr := o.leaderAddress(ctx, c); addr != "" {
		o.send(ctx, id, c, addr)
	}
}
