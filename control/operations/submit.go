package operations

import (
	"wallport/cluster/mesh"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// finish answers a call and removes it.
func (s *Service) finish(ctx *kernel.Context, id uint64, c *call, result Result) {
	delete(s.calls, id)
	ctx.Reply(id, c.answer(result))
}

// attempt sends a call's edit to the leader and schedules the next attempt. It ends the call if its time-out has
// passed. After the leader's final reply it only checks whether the nodes have the edit in force.
func (s *Service) attempt(ctx *kernel.Context, id uint64) {
	c := s.calls[id]
	if c == nil {
		return
	}
	if c.reply != nil {
		s.awaitInForce(ctx, id, c)
		return
	}
	left := c.startedAt + c.timeout() - ctx.Now
	if left <= 0 {
		s.timeOut(ctx, id, c)
		return
	}
	if addr := s.leaderAddress(ctx, c); addr != "" {
		s.send(ctx, id, c, addr)
	}
	c.attempts++
	ctx.AfterFor(min(AttemptInterval, c.timeout()/minAttempts, left), PluginName, id)
}

// timeOut ends a call that has no final reply. The outcome is unknown unless every edit sent was declined.
func (s *Service) timeOut(ctx *kernel.Context, id uint64, c *call) {
	code := wire.CodeOverloaded
	if c.undeclined > 0 {
		code = wire.CodeUnknown
	}
	s.finish(ctx, id, c, Result{Reply: wire.EditReply{Code: code}})
}

// send sends a call's edit. For a zone command whose base has not been set, it sends the query for the zone's
// version instead. It sends nothing for an expired call.
func (s *Service) send(ctx *kernel.Context, id uint64, c *call, addr string) {
	if c.expired(ctx.Now) {
		return
	}
	edit := c.command.Edit
	if c.needsVersion() {
		edit, id = c.versionQuery(), id|versionQueryFlag
	} else {
		c.undeclined++
	}
	if s.host != nil && addr == s.members.Local().Addr {
		s.host.Edit(ctx, id, edit)
		return
	}
	ctx.SendTo(addr, wire.KindEdit, id, &edit)
}

// redirect sends a call to the address in a reply, at most maxRedirects times per call.
func (s *Service) redirect(ctx *kernel.Context, id uint64, c *call, addr string) {
	if addr == "" || c.redirects >= maxRedirects {
		return
	}
	c.redirects++
	s.send(ctx, id, c, addr)
}

// leaderAddress returns the address to send a call to. It alternates between the last reported leader of the partition
// and a random live core, because the core may know a newer leader. It returns "" if no core is known.
func (s *Service) leaderAddress(ctx *kernel.Context, c *call) string {
	partition := c.command.Edit.Partition
	addr := ""
	if s.host != nil {
		addr = s.host.Leader(partition, ctx.Now)
	}
	if addr == "" {
		addr = s.configSync.Leader(partition)
	}
	if addr != "" && c.attempts%2 == 0 {
		return addr
	}
	cores := s.members.Live(ctx.Now, settings.RoleCore)
	if len(cores) == 0 {
		return addr
	}
	return cores[ctx.Rand.IntN(len(cores))].Addr
}

func (s *Service) editReplied(ctx *kernel.Context, id uint64, reply wire.EditReply) {
	if id&versionQueryFlag != 0 {
		s.versionReplied(ctx, id&^versionQueryFlag, reply)
		return
	}
	c := s.calls[id]
	if c == nil || c.reply != nil {
		return
	}
	switch reply.Code {
	case wire.CodeNotLeader:
		c.undeclined--
		s.redirect(ctx, id, c, reply.Addr)
	case wire.CodeStale:
		s.versionStale(ctx, id, c)
	case wire.CodeOverloaded:
		c.undeclined--
	case wire.CodeUnknown:
		// The next attempt has the same edit id, so the reply to it reports the outcome of this attempt.
	default:
		s.recordReply(ctx, id, c, reply)
	}
}

// recordReply records the leader's final reply and ends the call, unless the call waits for the nodes.
func (s *Service) recordReply(ctx *kernel.Context, id uint64, c *call, reply wire.EditReply) {
	c.reply, c.repliedAt = &reply, ctx.Now
	if reply.Code != wire.CodeOK || !c.command.AwaitInForce {
		s.finish(ctx, id, c, Result{Reply: reply})
		return
	}
	s.awaitInForce(ctx, id, c)
}

// awaitInForce ends a call if every live node reports the committed version in force or if the time-out has passed.
// Otherwise it schedules the next check.
func (s *Service) awaitInForce(ctx *kernel.Context, id uint64, c *call) {
	result := Result{Reply: *c.reply}
	for _, node := range s.members.Live(ctx.Now, settings.RoleNode) {
		if hasInForce(node.InForce, c.reply.Version) {
			result.InForce++
		} else {
			result.Laggards = append(result.Laggards, node.Name)
		}
	}
	if len(result.Laggards) == 0 || ctx.Now-c.repliedAt >= c.awaitTimeout() {
		s.finish(ctx, id, c, result)
		return
	}
	ctx.AfterFor(min(inForcePollInterval, c.repliedAt+c.awaitTimeout()-ctx.Now), PluginName, id)
}

// hasInForce reports whether versions includes the wanted version or a newer one of the same partition.
func hasInForce(versions []wire.Version, wanted wire.Version) bool {
	for _, version := range versions {
		if version.Partition == wanted.Partition && !mesh.Newer(wanted, version) {
			return true
		}
	}
	return false
}
