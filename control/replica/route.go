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
func (s *Host) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		s.start(ctx)
	case kernel.Tick:
		s.tick(ctx)
	case kernel.Written:
		s.written(ctx, v)
	case kernel.Thawed:
		for _, g := range s.groups {
			g.thawed(ctx)
		}
	case kernel.Stopping:
		s.stopping = true
		for _, g := range s.groups {
			g.stop(ctx)
		}
	case kernel.Message:
		s.message(ctx, v)
	case configsync.Pulled:
		s.relay(v)
	case Committed:
		s.mesh.AnnounceVersion(ctx, v.Version)
		if v.Version.Version.Partition == 0 {
			s.members.Update(func(m *wire.Member) { m.InForce = []wire.Version{v.Version.Version} })
		}
	}
}

func (s *Host) tick(ctx *kernel.Context) {
	ctx.After(TickInterval, "seats", "tick")
	s.checkDisk(ctx)
	if !s.bootstrapped {
		s.bootstrapStep(ctx)
		return
	}
	ledPartitions, inContact := int64(0), int64(0)
	for _, g := range s.groups {
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
func (g *Group) thawed(ctx *kernel.Context) {
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

func (s *Host) message(ctx *kernel.Context, v kernel.Message) {
	g := func(partition int, f func(g *Group)) {
		if partition >= 0 && partition < len(s.groups) && !s.diskDamaged {
			f(s.groups[partition])
		}
	}
	// A machine whose disk was lost is another replica at the old one's address:
	// what is meant for the old one is not for it.
	to := func(id string, partition int, f func(g *Group)) {
		if id != "" && id != s.replicaID {
			ctx.Counts.Add("part_misdirected", 1)
			s.reportReplacement(ctx, v, id, partition)
			return
		}
		g(partition, f)
	}
	switch v.Kind {
	case wire.KindVote:
		decode(ctx, v, func(m wire.Vote) { to(m.To, m.Partition, func(g *Group) { g.vote(ctx, v.Conn, v.ID, m) }) })
	case wire.KindVoteReply:
		decode(ctx, v, func(m wire.VoteReply) { g(m.Partition, func(g *Group) { g.voteReply(ctx, m) }) })
	case wire.KindAccept:
		decode(ctx, v, func(m wire.Accept) {
			to(m.To, m.Partition, func(g *Group) { s.joinFleet(ctx); g.accept(ctx, v.Conn, v.ID, m) })
		})
	case wire.KindAcceptReply:
		decode(ctx, v, func(m wire.AcceptReply) { g(m.Partition, func(g *Group) { g.acceptReply(ctx, m) }) })
	case wire.KindLeaderHeartbeat:
		decode(ctx, v, func(m wire.LeaderHeartbeat) {
			to(m.To, m.Partition, func(g *Group) { g.handleHeartbeat(ctx, v.Conn, v.ID, m) })
		})
	case wire.KindLeaderHeartbeatReply:
		decode(ctx, v, func(m wire.LeaderHeartbeatReply) { g(m.Partition, func(g *Group) { g.handleHeartbeatReply(ctx, m) }) })
	case wire.KindBootstrap:
		decode(ctx, v, func(m wire.Bootstrap) { s.handleForm(ctx, v.Conn, m) })
	case wire.KindBootstrapReply:
		decode(ctx, v, func(m wire.BootstrapReply) { s.handleFormReply(ctx, m) })
	case wire.KindPull:
		decode(ctx, v, func(m wire.Pull) { s.pull(ctx, v.Conn, v.ID, m) })
	case wire.KindEdit:
		decode(ctx, v, func(m wire.Edit) { g(m.Partition, func(g *Group) { g.handleEdit(ctx, v.Conn, v.ID, m) }) })
	case wire.KindRebuild:
		decode(ctx, v, func(m wire.Rebuild) { g(m.Partition, func(g *Group) { g.rebuild(ctx, v.Conn, v.ID, m) }) })
	case wire.KindLeave:
		decode(ctx, v, func(m wire.Leave) { to(m.To, m.Partition, func(g *Group) { g.handleLeave(ctx, v.Conn, m) }) })
	case wire.KindStatusRequest:
		s.sendStatus(ctx, v)
	case wire.KindLeaseRequest:
		decode(ctx, v, func(m wire.LeaseRequest) { g(m.Partition, func(g *Group) { g.renewLease(ctx, v.Conn, v.ID, m) }) })
	}
}

// reportReplacement tells a leader that heartbeats a lost disk's replica who is at its address now, and could have its place.
func (s *Host) reportReplacement(ctx *kernel.Context, v kernel.Message, id string, partition int) {
	if v.Kind != wire.KindLeaderHeartbeat || partition < 0 || partition >= len(s.groups) || s.groups[partition].isVoter() || s.replicaID == "" || s.diskProblem != "" || s.stopping {
		return
	}
	ctx.Send(v.Conn, wire.KindLeaderHeartbeatReply, v.ID, &wire.LeaderHeartbeatReply{Partition: partition, From: id, Successor: s.replicaID, Zone: s.k.Boot.Settings.Zone})
}

// pull answers with every committed version newer than what the asker has.
func (s *Host) pull(ctx *kernel.Context, ch, id uint64, p wire.Pull) {
	var r wire.PullReply
	s.pulled(ctx, p)
	have := map[int]wire.Version{}
	for _, st := range p.Have {
		have[st.Partition] = st
	}
	for _, g := range s.groups {
		v := g.committed
		if m, ok := s.mesh.Partition(g.partition); ok && mesh.Newer(m.Version, v.Version) {
			// A core that has no replica here hands on what the mesh brought it.
			v = m
		}
		g.tellContact(ctx.Now, v.Version, &r)
		if st, ok := have[g.partition]; v.Version.Term > 0 && (!ok || mesh.Newer(v.Version, st)) {
			r.Versions = append(r.Versions, wire.Versioned{Version: v.Version, Body: v.Body})
		}
		if g.leader != "" && g.followsLeader(ctx.Now) {
			r.Leaders = append(r.Leaders, wire.Leader{Partition: g.partition, Term: g.votedTerm, Replica: g.leader, Addr: g.host.addressOf(g.leader, ctx.Now)})
		}
	}
	s.limitPull(ctx.Now, ch, &r)
	ctx.Send(ch, wire.KindPullReply, id, &r)
}

func (s *Host) sendReplica(ctx *kernel.Context, replicaID wire.Replica, kind uint8, m msgp.Marshaler) {
	addr := replicaID.Addr
	switch v := m.(type) {
	case *wire.Vote:
		v.To = replicaID.ID
	case *wire.Accept:
		v.To = replicaID.ID
	case *wire.LeaderHeartbeat:
		v.To = replicaID.ID
	case *wire.Leave:
		v.To = replicaID.ID
	}
	if a := s.addressOf(replicaID.ID, ctx.Now); a != "" {
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
