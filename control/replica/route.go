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
func (s *Host) Step(t *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		s.start(t)
	case kernel.Tick:
		s.tick(t)
	case kernel.Written:
		s.written(t, v)
	case kernel.Thawed:
		for _, g := range s.groups {
			g.thawed(t)
		}
	case kernel.Stopping:
		s.stopping = true
		for _, g := range s.groups {
			g.stop(t)
		}
	case kernel.Message:
		s.message(t, v)
	case configsync.Pulled:
		s.relay(v)
	case Committed:
		s.mesh.AnnounceVersion(t, v.Version)
		if v.Version.Version.Partition == 0 {
			s.members.Update(func(m *wire.Member) { m.InForce = []wire.Version{v.Version.Version} })
		}
	}
}

func (s *Host) tick(t *kernel.Context) {
	t.After(TickInterval, "seats", "tick")
	s.checkDisk(t)
	if !s.bootstrapped {
		s.bootstrapStep(t)
		return
	}
	ledPartitions, inContact := int64(0), int64(0)
	for _, g := range s.groups {
		g.tick(t)
		if g.role == leader {
			ledPartitions++
		}
		if g.inContact(t.Now, g.committed.Version) {
			inContact++
		}
	}
	t.Counts.Set("part_owned_now", ledPartitions)
	t.Counts.Set("part_in_contact_now", inContact)
}

// thawed: a leader that did not run for a while cannot know that it still is one.
func (g *Group) thawed(t *kernel.Context) {
	if g.role != follower {
		g.stepDown(t, "did not run for a while")
	}
	g.scheduleElection(t)
}

func decode[T any, P interface {
	*T
	msgp.Unmarshaler
}](t *kernel.Context, v kernel.Message, f func(m T)) {
	var m T
	if wire.Decode(v.Body, P(&m)) != nil {
		t.Counts.Add("frames_malformed", 1)
		t.Drop(v.Chan)
		return
	}
	f(m)
}

func (s *Host) message(t *kernel.Context, v kernel.Message) {
	g := func(partition int, f func(g *Group)) {
		if partition >= 0 && partition < len(s.groups) && !s.diskDamaged {
			f(s.groups[partition])
		}
	}
	// A machine whose disk was lost is another replica at the old one's address:
	// what is meant for the old one is not for it.
	to := func(id string, partition int, f func(g *Group)) {
		if id != "" && id != s.replicaID {
			t.Counts.Add("part_misdirected", 1)
			s.reportReplacement(t, v, id, partition)
			return
		}
		g(partition, f)
	}
	switch v.Kind {
	case wire.KindVote:
		decode(t, v, func(m wire.Vote) { to(m.To, m.Partition, func(g *Group) { g.vote(t, v.Chan, v.ID, m) }) })
	case wire.KindVoteReply:
		decode(t, v, func(m wire.VoteReply) { g(m.Partition, func(g *Group) { g.voteReply(t, m) }) })
	case wire.KindAccept:
		decode(t, v, func(m wire.Accept) {
			to(m.To, m.Partition, func(g *Group) { s.joinFleet(t); g.accept(t, v.Chan, v.ID, m) })
		})
	case wire.KindAcceptReply:
		decode(t, v, func(m wire.AcceptReply) { g(m.Partition, func(g *Group) { g.acceptReply(t, m) }) })
	case wire.KindLeaderHeartbeat:
		decode(t, v, func(m wire.LeaderHeartbeat) {
			to(m.To, m.Partition, func(g *Group) { g.handleHeartbeat(t, v.Chan, v.ID, m) })
		})
	case wire.KindLeaderHeartbeatReply:
		decode(t, v, func(m wire.LeaderHeartbeatReply) { g(m.Partition, func(g *Group) { g.handleHeartbeatReply(t, m) }) })
	case wire.KindBootstrap:
		decode(t, v, func(m wire.Bootstrap) { s.handleForm(t, v.Chan, m) })
	case wire.KindBootstrapReply:
		decode(t, v, func(m wire.BootstrapReply) { s.handleFormReply(t, m) })
	case wire.KindPull:
		decode(t, v, func(m wire.Pull) { s.pull(t, v.Chan, v.ID, m) })
	case wire.KindEdit:
		decode(t, v, func(m wire.Edit) { g(m.Partition, func(g *Group) { g.handleEdit(t, v.Chan, v.ID, m) }) })
	case wire.KindRebuild:
		decode(t, v, func(m wire.Rebuild) { g(m.Partition, func(g *Group) { g.rebuild(t, v.Chan, v.ID, m) }) })
	case wire.KindLeave:
		decode(t, v, func(m wire.Leave) { to(m.To, m.Partition, func(g *Group) { g.handleLeave(t, v.Chan, m) }) })
	case wire.KindStatusRequest:
		s.sendStatus(t, v)
	case wire.KindLeaseRequest:
		decode(t, v, func(m wire.LeaseRequest) { g(m.Partition, func(g *Group) { g.renewLease(t, v.Chan, v.ID, m) }) })
	}
}

// reportReplacement tells a leader that heartbeats a lost disk's replica who is at its address now, and could have its place.
func (s *Host) reportReplacement(t *kernel.Context, v kernel.Message, id string, partition int) {
	if v.Kind != wire.KindLeaderHeartbeat || partition < 0 || partition >= len(s.groups) || s.groups[partition].isVoter() || s.replicaID == "" || s.diskProblem != "" || s.stopping {
		return
	}
	t.Send(v.Chan, wire.KindLeaderHeartbeatReply, v.ID, &wire.LeaderHeartbeatReply{Partition: partition, From: id, Successor: s.replicaID, Zone: s.k.Boot.Env.Zone})
}

// pull answers with every committed version newer than what the asker has.
func (s *Host) pull(t *kernel.Context, ch, id uint64, p wire.Pull) {
	var r wire.PullReply
	s.pulled(t, p)
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
		g.tellContact(t.Now, v.Version, &r)
		if st, ok := have[g.partition]; v.Version.Term > 0 && (!ok || mesh.Newer(v.Version, st)) {
			r.Versions = append(r.Versions, wire.Versioned{Version: v.Version, Body: v.Body})
		}
		if g.leader != "" && g.followsLeader(t.Now) {
			r.Leaders = append(r.Leaders, wire.Leader{Partition: g.partition, Term: g.votedTerm, Replica: g.leader, Addr: g.host.addressOf(g.leader, t.Now)})
		}
	}
	s.limitPull(t.Now, ch, &r)
	t.Send(ch, wire.KindPullReply, id, &r)
}

func (s *Host) sendReplica(t *kernel.Context, replicaID wire.Replica, kind uint8, m msgp.Marshaler) {
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
	if a := s.addressOf(replicaID.ID, t.Now); a != "" {
		addr = a
	}
	t.Counts.Add("part_messages", 1)
	if accept, ok := m.(*wire.Accept); ok {
		// A replica that is slow or away needs the newest version only.
		t.SendSlotTo(addr, kind, m, fmt.Sprintf("version %d", accept.Partition))
		return
	}
	t.SendTo(addr, kind, 0, m)
}
