// A call on its way: sent to the partition's leader as it is known, sent again while
// nobody has answered, handed on by those who know a newer leader, and waited
// for until the nodes have it in force.

package operations

import (
	"wallport/cluster/mesh"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// finish ends a call.
func (o *Service) finish(ctx *kernel.Context, id uint64, c *call, res Result) {
	delete(o.calls, id)
	ctx.Reply(id, c.answer(res))
}

// attempt sends the edit; its id, or its base and digest, make a second sending harmless.
func (o *Service) attempt(ctx *kernel.Context, id uint64) {
	c := o.calls[id]
	if c == nil {
		return
	}
	if c.reply != nil {
		o.awaitInForce(ctx, id, c)
		return
	}
	left := c.startedAt + c.timeout() - ctx.Now
	if left <= 0 {
		code := wire.CodeOverloaded
		if c.undeclined > 0 {
			code = wire.CodeUnknown
		}
		o.finish(ctx, id, c, Result{Reply: wire.EditReply{Code: code}})
		return
	}
	if addr := o.leaderAddress(ctx, c); addr != "" {
		o.send(ctx, id, c, addr)
	}
	c.attempts++
	ctx.AfterFor(min(AttemptInterval, c.timeout()/minAttempts, left), "operate", id)
}

// send sends the order, or the question for the version that it is to be bound to. Nothing is
// sent for a call that nobody waits for any more: the order would act late.
func (o *Service) send(ctx *kernel.Context, id uint64, c *call, addr string) {
	if c.expired(ctx.Now) {
		return
	}
	edit := c.command.Edit
	if c.needsVersion() {
		edit, id = c.versionQuery(), id|versionQueryFlag
	} else {
		c.undeclined++
	}
	if o.host != nil && addr == o.members.Local().Addr {
		o.host.Edit(ctx, id, edit)
		return
	}
	ctx.SendTo(addr, wire.KindEdit, id, &edit)
}

// redirect sends what a call sends next to an address that a reply named.
func (o *Service) redirect(ctx *kernel.Context, id uint64, c *call, addr string) {
	if addr == "" || c.redirects >= maxRedirects {
		return
	}
	c.redirects++
	o.send(ctx, id, c, addr)
}

// leader is where to send a call next: to the partition's leader as last heard, and every other time to
// some live core, which knows a newer one once a leader is gone.
func (o *Service) leaderAddress(ctx *kernel.Context, c *call) string {
	partition := c.command.Edit.Partition
	addr := ""
	if o.host != nil {
		addr = o.host.Leader(partition, ctx.Now)
	}
	if addr == "" {
		addr = o.configSync.Leader(partition)
	}
	if addr != "" && c.attempts%2 == 0 {
		return addr
	}
	cores := o.members.Live(ctx.Now, "core")
	if len(cores) == 0 {
		return addr
	}
	return cores[ctx.Rand.IntN(len(cores))].Addr
}

func (o *Service) editReplied(ctx *kernel.Context, id uint64, r wire.EditReply) {
	if id&versionQueryFlag != 0 {
		o.versionReplied(ctx, id&^versionQueryFlag, r)
		return
	}
	c := o.calls[id]
	if c == nil || c.reply != nil {
		return
	}
	switch r.Code {
	case wire.CodeNotLeader:
		c.undeclined--
		o.redirect(ctx, id, c, r.Addr)
		return
	case wire.CodeStale:
		o.versionStale(ctx, id, c)
		return
	case wire.CodeOverloaded:
		c.undeclined--
		return
	case wire.CodeUnknown:
		// The edit id lets the next try learn what came of this one.
		return
	}
	c.reply, c.repliedAt = &r, ctx.Now
	if r.Code != wire.CodeOK || !c.command.AwaitInForce {
		o.finish(ctx, id, c, Result{Reply: r})
		return
	}
	o.awaitInForce(ctx, id, c)
}

// awaitInForce waits until every live node reports the version, or long enough.
func (o *Service) awaitInForce(ctx *kernel.Context, id uint64, c *call) {
	res := Result{Reply: *c.reply}
	for _, n := range o.members.Live(ctx.Now, "node") {
		in := false
		for _, s := range n.InForce {
			in = in || s.Partition == c.reply.Version.Partition && !mesh.Newer(c.reply.Version, s)
		}
		if in {
			res.InForce++
		} else {
			res.Laggards = append(res.Laggards, n.Name)
		}
	}
	if len(res.Laggards) == 0 || ctx.Now-c.repliedAt >= c.awaitTimeout() {
		o.finish(ctx, id, c, res)
		return
	}
	ctx.AfterFor(min(50_000, c.repliedAt+c.awaitTimeout()-ctx.Now), "operate", id)
}
