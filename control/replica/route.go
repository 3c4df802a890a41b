// Routing of a core's inputs to its groups, and the answers to pulls.

package replica

import (
	"fmt"

	"github.com/tinylib/msgp/msgp"

	"wallport/cluster/mesh"
	"wallport/control/configsync"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Step takes one input.
func (h *Host) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		h.start(ctx)
	case kernel.Tick:
		h.tick(ctx)
	case kernel.Written:
		h.handleWritten(ctx, v)
	case kernel.Thawed:
		for _, g := range h.groups {
			g.handleThawed(ctx)
		}
	case kernel.Stopping:
		h.stopping = true
		for _, g := range h.groups {
			g.handleStopping(ctx)
		}
	case kernel.Message:
		h.handleMessage(ctx, v)
	case configsync.Pulled:
		h.relayContact(v)
	case Committed:
		h.mesh.AnnounceVersion(ctx, v.Version)
		if v.Version.Version.Partition == 0 {
			h.members.Update(func(m *wire.Member) { m.InForce = []wire.Version{v.Version.Version} })
		}
	}
}

func (h *Host) tick(ctx *kernel.Context) {
	ctx.After(TickInterval, "seats", "tick")
	h.checkDisk(ctx)
	if !h.bootstrapped {
		h.bootstrapTick(ctx)
		return
	}
	ledPartitions, inContact := int64(0), int64(0)
	for _, g := range h.groups {
		g.tick(ctx)
		if g.role == leader {
			ledPartitions++
		}
		if g.inContact(ctx.Now, g.committed.Version) {
			inContact++
		}
	}
	ctx.Counts.Set("part_owned_now", ledPartitions)
	ctx.Counts.Set("part_in_contact_now", inContact)
}

// thawed: a leader that did not run for a while cannot know that it still is one.
func (g *Group) handleThawed(ctx *kernel.Context) {
	if g.role != follower {
		g.stepDown(ctx, "did not run for a while")
	}
	g.scheduleElection(ctx)
}

func decode[T any, P interface {
	*T
	msgp.Unmarshaler
}](ctx *kernel.Context, v kernel.Message, f func(m T)) {
	var m T
	if wire.Decode(v.Body, P(&m)) != nil {
		ctx.Counts.Add("frames_malformed", 1)
		ctx.Drop(v.Conn)
		return
	}
	f(m)
}

func (h *Host) handleMessage(ctx *kernel.Context, v kernel.Message) {
	g := func(partition int, f func(g *Group)) {
		if partition >= 0 && partition < len(h.groups) && !h.diskDamaged {
			f(h.groups[partition])
		}
	}
	// A machine whose disk was lost is another replica at the old one's address:
	// what is meant for the old one is not for it.
	to := func(id string, partition int, f func(g *Group)) {
		if id != "" && id != h.replicaID {
			ctx.Counts.Add("part_misdirected", 1)
			h.reportReplacement(ctx, v, id, partition)
			return
		}
		g(partition, f)
	}
	switch v.Kind {
	case wire.KindVote:
		decode(ctx, v, func(m wire.Vote) { to(m.To, m.Partition, func(g *Group) { g.handleVote(ctx, v.Conn, v.ID, m) }) })
	case wire.KindVoteReply:
		decode(ctx, v, func(m wire.VoteReply) { g(m.Partition, func(g *Group) { g.handleVoteReply(ctx, m) }) })
	case wire.KindAccept:
		decode(ctx, v, func(m wire.Accept) {
			to(m.To, m.Partition, func(g *Group) { h.joinFleet(ctx); g.handleAccept(ctx, v.Conn, v.ID, m) })
		})
	case wire.KindAcceptReply:
		decode(ctx, v, func(m wire.AcceptReply) { g(m.Partition, func(g *Group) { g.handleAcceptReply(ctx, m) }) })
	case wire.KindLeaderHeartbeat:
		decode(ctx, v, func(m wire.LeaderHeartbeat) {
			to(m.To, m.Partition, func(g *Group) { g.handleHeartbeat(ctx, v.Conn, v.ID, m) })
		})
	case wire.KindLeaderHeartbeatReply:
		decode(ctx, v, func(m wire.LeaderHeartbeatReply) { g(m.Partition, func(g *Group) { g.handleHeartbeatReply(ctx, m) }) })
	case wire.KindBootstrap:
		decode(ctx, v, func(m wire.Bootstrap) { h.handleBootstrap(ctx, v.Conn, m) })
	case wire.KindBootstrapReply:
		decode(ctx, v, func(m wire.BootstrapReply) { h.handleBootstrapReply(ctx, m) })
	case wire.KindPull:
		decode(ctx, v, func(m wire.Pull) { h.handlePull(ctx, v.Conn, v.ID, m) })
	case wire.KindEdit:
		decode(ctx, v, func(m wire.Edit) { g(m.Partition, func(g *Group) { g.handleEdit(ctx, v.Conn, v.ID, m) }) })
	case wire.KindRebuild:
		decode(ctx, v, func(m wire.Rebuild) { g(m.Partition, func(g *Group) { g.handleRebuild(ctx, v.Conn, v.ID, m) }) })
	case wire.KindLeave:
		decode(ctx, v, func(m wire.Leave) { to(m.To, m.Partition, func(g *Group) { g.handleLeave(ctx, v.Conn, m) }) })
	case wire.KindStatusRequest:
		h.sendStatus(ctx, v)
	case wire.KindLeaseRequest:
		decode(ctx, v, func(m wire.LeaseRequest) {
			g(m.Partition, func(g *Group) { g.handleLeaseRequest(ctx, v.Conn, v.ID, m) })
		})
	}
}

// reportReplacement tells a leader that heartbeats a lost disk's replica who is at its address now, and could have its place.
func (h *Host) reportReplacement(ctx *kernel.Context, v kernel.Message, id string, partition int) {
	if v.Kind != wire.KindLeaderHeartbeat || partition < 0 || partition >= len(h.groups) || h.groups[partition].isVoter() || h.replicaID == "" || h.diskProblem != "" || h.stopping {
		return
	}
	ctx.Send(v.Conn, wire.KindLeaderHeartbeatReply, v.ID, &wire.LeaderHeartbeatReply{Partition: partition, From: id, Successor: h.replicaID, Zone: h.kernel.Boot.Settings.Zone})
}

// handlePull answers with every committed version newer than what the asker has.
func (h *Host) handlePull(ctx *kernel.Context, conn, id uint64, request wire.Pull) {
	var reply wire.PullReply
	h.recordPuller(ctx, request)
	have := map[int]wire.Version{}
	for _, has := range request.Have {
		have[has.Partition] = has
	}
	for _, g := range h.groups {
		newest := g.committed
		if m, ok := h.mesh.Partition(g.partition); ok && mesh.Newer(m.Version, newest.Version) {
			// A core that has no replica here hands on what the mesh brought it.
			newest = m
		}
		g.reportContact(ctx.Now, newest.Version, &reply)
		if has, ok := have[g.partition]; newest.Version.Term > 0 && (!ok || mesh.Newer(newest.Version, has)) {
			reply.Versions = append(reply.Versions, wire.Versioned{Version: newest.Version, Body: newest.Body})
		}
		if g.leader != "" && g.knowsLeader(ctx.Now) {
			reply.Leaders = append(reply.Leaders, wire.Leader{Partition: g.partition, Term: g.votedTerm, Replica: g.leader, Addr: g.host.addressOf(g.leader, ctx.Now)})
		}
	}
	h.limitPull(ctx.Now, conn, &reply)
	ctx.Send(conn, wire.KindPullReply, id, &reply)
}

func (h *Host) sendReplica(ctx *kernel.Context, to wire.Replica, kind uint8, m msgp.Marshaler) {
	addr := to.Addr
	switch v := m.(type) {
	case *wire.Vote:
		v.To = to.ID
	case *wire.Accept:
		v.To = to.ID
	case *wire.LeaderHeartbeat:
		v.To = to.ID
	case *wire.Leave:
		v.To = to.ID
	}
	if a := h.addressOf(to.ID, ctx.Now); a != "" {
		addr = a
	}
	ctx.Counts.Add("part_messages", 1)
	if accept, ok := m.(*wire.Accept); ok {
		// A replica that is slow or away needs the newest version only.
		ctx.SendLatestTo(addr, kind, m, fmt.Sprintf("version %d", accept.Partition))
		return
	}
	ctx.SendTo(addr, kind, 0, m)
}
