// Replacing and adding voters: one committed change at a time, each followed by a version that needs a majority of
// the new voters only.

package replica

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

func ids(members []wire.Replica) (out []string) {
	for _, s := range members {
		out = append(out, s.ID)
	}
	return out
}

func (c *core) tick() kernel.Output { return c.feed(kernel.Tick{Plugin: "seats", Key: "tick"}) }

// exchangeHeartbeats advances the time by span, while the given voters reply to the leader's heartbeats.
func (c *core) exchangeHeartbeats(g *Group, span clock.Micros, alive ...string) {
	for end := c.now + span; c.now < end && g.role == leader; {
		c.now += TickInterval
		c.tick()
		for _, id := range alive {
			c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{Partition: g.partition, Term: g.term, From: id, Round: g.heartbeatRound, Stored: g.accepted.Version, OK: true})
		}
	}
}

// commitProposal syncs the proposal on this core's disk, acknowledges it from the given replicas, and returns it.
func (c *core) commitProposal(t *testing.T, g *Group, from ...string) wire.Versioned {
	t.Helper()
	must.NotNil(t, g.proposal)
	v := *g.proposal
	for key := range c.host.onWritten {
		c.feed(kernel.Written{Plugin: "seats", Key: key})
	}
	for _, id := range from {
		c.send(wire.KindAcceptReply, &wire.AcceptReply{Partition: g.partition, Term: g.term, From: id, Version: v.Version, OK: true})
	}
	must.Eq(t, v.Version, g.committed.Version)
	return v
}

// syncLearners acknowledges the newest version from the learners of the change under way, which must be the given
// replicas. Nothing may be proposed before that.
func (c *core) syncLearners(t *testing.T, g *Group, from ...string) {
	t.Helper()
	must.Nil(t, g.proposal, must.Sprint("the change must not be proposed before its learners have caught up"))
	must.NotNil(t, g.change)
	must.Eq(t, from, ids(g.change.learners))
	for _, id := range from {
		c.send(wire.KindAcceptReply, &wire.AcceptReply{Partition: g.partition, Term: g.term, From: id, Version: g.committed.Version, OK: true})
	}
}

func TestWipedMachineIsReplacedAtOnce(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{From: "b", Successor: "b2", Zone: "z2"})
	c.tick()
	c.syncLearners(t, g, "b2")
	v := c.commitProposal(t, g, "a")
	must.Eq(t, []string{"a", "b2", "me"}, ids(v.Voters))
	must.Eq(t, []string{"a", "b", "me"}, ids(v.PreviousVoters))
	// Without any further edit, the next version no longer needs the old voters.
	c.tick()
	v = c.commitProposal(t, g, "a")
	must.Eq(t, []string{"a", "b2", "me"}, ids(v.PreviousVoters))
	must.True(t, quorum(v, func(id string) bool { return id == "b2" || id == "me" }), must.Sprint("the quorum must no longer need replica a"))
}

func TestJointChangeIsCompletedBeforeNext(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{From: "b", Successor: "b2"})
	c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{From: "a", Successor: "a2"})
	c.tick()
	c.syncLearners(t, g, "a2")
	must.Eq(t, []string{"a2", "b", "me"}, ids(g.proposal.Voters), must.Sprint("two voters must be replaced one at a time"))
	c.commitProposal(t, g, "b")
	must.Eq(t, []string{"a2", "b", "me"}, ids(g.proposal.Voters), must.Sprint("the first change must be completed before the next one"))
	must.Eq(t, ids(g.proposal.Voters), ids(g.proposal.PreviousVoters))
	c.commitProposal(t, g, "b")
	c.syncLearners(t, g, "b2")
	must.Eq(t, []string{"a2", "b2", "me"}, ids(g.proposal.Voters))
}

func TestUnresponsiveVoterIsReplacedByStandby(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	pullAsStandby := func() { c.send(wire.KindPull, &wire.Pull{Addr: "10.0.0.9:1", Replica: "d", Zone: "z4"}) }
	pullAsStandby()
	c.exchangeHeartbeats(g, ReplaceAfter-200*clock.Millisecond, "a")
	must.Nil(t, g.proposal, must.Sprint("the voter must not be replaced before ReplaceAfter"))
	pullAsStandby()
	c.exchangeHeartbeats(g, 300*clock.Millisecond, "a")
	c.syncLearners(t, g, "d")
	v := c.commitProposal(t, g, "a")
	must.Eq(t, []string{"a", "d", "me"}, ids(v.Voters))
	// The replaced voter returns as a standby, and the voters do not change.
	c.tick()
	c.commitProposal(t, g, "a")
	c.send(wire.KindPull, &wire.Pull{Addr: "10.0.0.2:1", Replica: "b", Zone: "z2"})
	c.exchangeHeartbeats(g, 1*clock.Second, "a", "d")
	must.Nil(t, g.proposal)
}

func TestStandbysExcludeUnhealthyAndLeavingCores(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	for range 30 {
		// A core whose disk has a problem pulls without naming its replica.
		c.send(wire.KindPull, &wire.Pull{Addr: "10.0.0.9:1", Zone: "z4"})
		c.exchangeHeartbeats(g, 100*clock.Millisecond, "a")
	}
	must.Nil(t, g.proposal)
	must.Eq(t, []string{"a", "b", "me"}, ids(g.committed.Voters))
}

func cores(zones ...string) (out []wire.Replica) {
	for i, z := range zones {
		out = append(out, wire.Replica{ID: fmt.Sprintf("s%d", i), Zone: z, Addr: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	return out
}

func TestVotersAreSpreadOverZones(t *testing.T) {
	for _, v := range []struct {
		cores            []wire.Replica
		n                int
		survivesZoneLoss bool
	}{
		{cores("z1", "z1", "z2", "z2", "z3", "z3", "z4", "z4"), 5, true},
		{cores("z1", "z2", "z3", "z4"), 3, true},
		{cores("z1", "z1", "z2", "z3"), 3, true},
		{cores("z1", "z1", "z1", "z1", "z2", "z2"), 5, false},
		{cores("z1", "z1", "z2"), 3, false},
		{cores("z1", "z1", "z1", "z2", "z2", "z3", "z3"), 5, true},
	} {
		got := PickVoters(v.cores, v.n)
		must.Len(t, v.n, got)
		must.Eq(t, v.survivesZoneLoss, survivesZoneLoss(got, 1), must.Sprint(v.cores))
		must.True(t, survivesZoneLoss(got, 0))
	}
}

func TestSmallGroupGrowsByTwo(t *testing.T) {
	c := newCore(t, nil)
	e := &c.host.kernel.Boot.Settings
	e.BootstrapKnown, e.Tolerance.Machines = true, 2
	g := electLeader(t, c)
	pull := func(id string) {
		c.send(wire.KindPull, &wire.Pull{Addr: id + ":1", Replica: id, Zone: id})
	}
	pull("d")
	c.exchangeHeartbeats(g, RebalanceAfter, "a", "b")
	must.Nil(t, g.proposal, must.Sprint("a single voter must not be added: four voters tolerate no more losses than three"))
	pull("d")
	pull("e")
	c.exchangeHeartbeats(g, TickInterval, "a", "b")
	c.syncLearners(t, g, "d", "e")
	v := c.commitProposal(t, g, "a", "b")
	must.Eq(t, []string{"a", "b", "me", "d", "e"}, ids(v.Voters))
	must.False(t, quorum(v, func(id string) bool { return id == "a" || id == "me" }))
}

func TestStoppingLeaderCommitsAndNamesSuccessor(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	c.exchangeHeartbeats(g, 200*clock.Millisecond, "a")
	c.edit(1, wire.Edit{Op: "empty", Name: "z0"})
	out := c.feed(kernel.Stopping{})
	must.Eq(t, leader, g.role)
	must.Eq(t, map[uint64]string{2: "not_owner"}, replies(t, c.edit(2, wire.Edit{Op: "empty", Name: "z1"})))
	must.Eq(t, map[uint64]string{1: "ok"}, replies(t, c.acceptProposal(g)))
	out = c.tick()
	must.Eq(t, follower, g.role)
	transfers := 0
	for _, s := range out.Sends {
		f, err := wire.Open(s.Data)
		must.NoError(t, err)
		var b wire.LeaderHeartbeat
		if f.Kind == wire.KindLeaderHeartbeat && wire.Decode(f.Body, &b) == nil && b.Partition == 0 && b.TransferTo != "" {
			must.Eq(t, "a", b.TransferTo)
			transfers++
		}
	}
	must.Eq(t, 2, transfers)
	must.Eq(t, "a", g.leader, must.Sprint("callers must be redirected to the successor"))
}
