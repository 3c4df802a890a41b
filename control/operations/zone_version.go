package operations

import (
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// A command about a zone has no revision of its own. The process that takes it from the operator therefore binds it
// to the version that last took a command about that zone, which it reads from the leader after the
// command arrived. The leader refuses a command that is bound to another version, so that a delayed copy cannot
// undo a later command.

// versionQueryFlag marks the frame ids of queries for a zone's version, so that the reply to a query
// is never taken for the reply to the command itself.
const versionQueryFlag uint64 = 1 << 63

// needsVersion reports whether the call is a command about a zone that is not yet bound to a version.
func (c *call) needsVersion() bool {
	return (c.command.Edit.Op == wire.OpDrainZone || c.command.Edit.Op == wire.OpRestoreZone) && !c.versionBound
}

func (c *call) versionQuery() wire.Edit {
	return wire.Edit{Partition: c.command.Edit.Partition, Op: wire.OpZoneVersion, Name: c.command.Edit.Name}
}

// versionReplied binds the command to the version that the leader named and sends it.
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
		// A leader of a release before 3 knows no zone versions and takes the command without one. A newer
		// leader refuses such a command, unless it never took any about the zone.
		c.versionBound, c.command.Edit.Base = true, wire.Version{}
		s.redirect(ctx, id, c, s.leaderAddress(ctx, c))
	}
}

// versionStale queries the zone's version again after the leader refused the command: another command about the
// zone was taken first.
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
