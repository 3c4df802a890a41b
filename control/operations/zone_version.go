package operations

import (
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// A zone command has no revision. The process that receives it from the operator therefore sets its base to the
// version of the last command for that zone, which it reads from the leader after the command has arrived. The
// leader refuses a command with any other base, so that a delayed duplicate cannot undo a later command.

// versionQueryFlag marks the frame ids of queries for a zone's version, so that the reply to a query
// is never mistaken for the reply to the command itself.
const versionQueryFlag uint64 = 1 << 63

// needsVersion reports whether the call is a zone command whose base has not been set yet.
func (c *call) needsVersion() bool {
	return (c.command.Edit.Op == wire.OpDrainZone || c.command.Edit.Op == wire.OpRestoreZone) && !c.versionBound
}

func (c *call) versionQuery() wire.Edit {
	return wire.Edit{Partition: c.command.Edit.Partition, Op: wire.OpZoneVersion, Name: c.command.Edit.Name}
}

// versionReplied sets the command's base to the version in the leader's reply and sends the command.
func (s *Service) versionReplied(ctx *kernel.Context, id uint64, reply wire.EditReply) {
	c := s.calls[id]
	if c == nil || c.reply != nil || c.versionBound {
		return
	}
	switch reply.Code {
	case wire.CodeNotLeader:
		s.redirect(ctx, id, c, reply.Addr)
	case wire.CodeVersion:
		c.versionBound, c.command.Edit.Base = true, reply.Version
		s.redirect(ctx, id, c, reply.Addr)
	case wire.CodeInvalid:
		// A leader of a release before 3 does not support zone versions and accepts the command without a
		// base. A newer leader refuses such a command, unless there has been no command for the zone.
		c.versionBound, c.command.Edit.Base = true, wire.Version{}
		s.redirect(ctx, id, c, s.leaderAddress(ctx, c))
	}
}

// versionStale queries the zone's version again after the leader has refused the command because another command for
// the zone was applied first.
func (s *Service) versionStale(ctx *kernel.Context, id uint64, c *call) {
	c.undeclined--
	if !c.versionBound {
		return
	}
	c.versionBound = false
	if addr := s.leaderAddress(ctx, c); addr != "" {
		s.send(ctx, id, c, addr)
	}
}
