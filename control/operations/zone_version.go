// Orders about zones carry no number of their own. The process that takes one binds it to the
// version that last took an order about that zone, which it reads from the leader after the order
// came; the leader refuses any other. So a copy that was held up cannot undo a later order.

package operations

import (
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// versionQueryFlag marks the ids of frames that ask for a zone's version, so that a reply to one is
// never taken for a reply to the order itself.
const versionQueryFlag uint64 = 1 << 63

// needsVersion tells that an order is not yet bound to what it was given on.
func (c *call) needsVersion() bool {
	return (c.command.Edit.Op == wire.OpDrainZone || c.command.Edit.Op == wire.OpRestoreZone) && !c.versionBound
}

func (c *call) versionQuery() wire.Edit {
	return wire.Edit{Partition: c.command.Edit.Partition, Op: wire.OpZoneVersion, Name: c.command.Edit.Name}
}

// versionReplied binds the order and sends it.
func (o *Service) versionReplied(ctx *kernel.Context, id uint64, r wire.EditReply) {
	c := o.calls[id]
	if c == nil || c.reply != nil || c.versionBound {
		return
	}
	switch r.Code {
	case wire.CodeNotLeader:
		o.redirect(ctx, id, c, r.Addr)
	case wire.CodeVersion:
		c.versionBound, c.command.Edit.Base = true, r.Version
		o.redirect(ctx, id, c, r.Addr)
	case wire.CodeInvalid:
		// A leader of a release before 3 has no versions, and takes the order without one. A later
		// leader refuses it then, unless no order about the zone was ever taken.
		c.versionBound, c.command.Edit.Base = true, wire.Version{}
		o.redirect(ctx, id, c, o.leaderAddress(ctx, c))
	}
}

// versionStale has an order read the zone's version again: another order about that zone came first.
func (o *Service) versionStale(ctx *kernel.Context, id uint64, c *call) {
	c.undeclined--
	if !c.versionBound {
		return
	}
	c.versionBound = false
	if addr := o.leaderAddress(ctx, c); addr != "" {
		o.send(ctx, id, c, addr)
	}
}
