// A call on its way: sent to the partition's leader as it is known, sent again while
// nobody has answered, handed on by those who know a newer leader, and waited
// for until the nodes have it in force.

package operations

import (
	"wallport/cluster/mesh"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// answer ends a call.
func (o *Operate) answer(ctx *kernel.Context, id uint64, c *call, res Result) {
	delete(o.calls, id)
	ctx.Reply(id, c.outcome(res))
}

// try sends the edit; its id, or its base and digest, make a second sending harmless.
func (o *Operate) try(ctx *kernel.Context, id uint64) {
	c := o.calls[id]
	if c == nil {
		return
	}
	if c.reply != nil {
		o.watch(ctx, id, c)
		return
	}
	left := c.began + c.giveUp() - ctx.Now
	if left <= 0 {
		code := "shed"
		if c.open > 0 {
			code = "unknown"
		}
		o.answer(ctx, id, c, Result{Reply: wire.EditReply{Code: code}})
		return
	}
	if addr := o.leaderAddress(ctx, c); addr != "" {
		o.send(ctx, id, c, addr)
	}
	c.tries++
	ctx.AfterFor(min(TryEvery, c.giveUp()/triesLeast, left), "operate", id)
}

// send sends the order, or the question for the version that it is to be bound to. Nothing is
// sent for a call that nobody waits for any more: the order would act late.
func (o *Operate) send(ctx *kernel.Context, id uint64, c *call, addr string) {
	if c.expired(ctx.Now) {
		return
	}
	edit := c.req.Edit
	if c.needsVersion() {
		edit, id = c.readVersion(), id|versionRead
	} else {
		c.open++
	}
	if o.host != nil && addr == o.members.Local().Addr {
		o.host.Edit(ctx, id, edit)
		return
	}
	ctx.SendTo(addr, wire.KindEdit, id, &edit)
}

// handOn sends what a call sends next to an address that a reply named.
func (o *Operate) handOn(ctx *kernel.Context, id uint64, c *call, addr string) {
	if addr == "" || c.hops >= hopsMost {
		return
	}
	c.hops++
	o.send(ctx, id, c, addr)
}

// leader is where to send a call next: to the partition's leader as last heard, and every other time to
// some live core, which knows a newer one once a leader is gone.
func (o *Operate) leaderAddress(ctx *kernel.Context, c *call) string {
	partition := c.req.Edit.Partition
	addr := ""
	if o.host != nil {
		addr = o.host.Leader(partition, ctx.Now)
	}
	if addr == "" {
		addr = o.configSync.Leader(partition)
	}
	if addr != "" && c.tries%2 == 0 {
		return addr
	}
	cores := o.members.Live(ctx.Now, "core")
	if len(cores) == 0 {
		return addr
	}
	return cores[ctx.Rand.IntN(len(cores))].Addr
}

func (o *Operate) replied(ctx *kernel.Context, id uint64, r wire.EditReply) {
	if id&versionRead != 0 {
		o.versionReplied(ctx, id&^versionRead, r)
		return
	}
	c := o.calls[id]
	if c == nil || c.reply != nil {
		return
	}
	switch r.Code {
	case "not_owner":
		c.open--
		o.handOn(ctx, id, c, r.Addr)
		return
	case wire.CodeStale:
		o.stale(ctx, id, c)
		return
	case "shed":
		c.open--
		return
	case "unknown":
		// The edit id lets the next try learn what came of this one.
		return
	}
	c.reply, c.at = &r, ctx.Now
	if r.Code != "ok" || !c.req.Wait {
		o.answer(ctx, id, c, Result{Reply: r})
		return
	}
	o.watch(ctx, id, c)
}

// watch waits until every live node reports the version, or long enough.
func (o *Operate) watch(ctx *kernel.Context, id uint64, c *call) {
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
	if len(res.Laggards) == 0 || ctx.Now-c.at >= c.waits() {
		o.answer(ctx, id, c, res)
		return
	}
	ctx.AfterFor(min(50_000, c.at+c.waits()-ctx.Now), "operate", id)
}
