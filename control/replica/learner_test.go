// Learners that do not answer, changes that are no longer due, and who is not
// chosen: nothing of it holds a group up or gives a vote to the wrong replica.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/wire"
)

func TestLearnerTimeoutPicksAnotherStandby(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	pull := func(id string) { c.send(wire.KindPull, &wire.Pull{Addr: id + ":1", Replica: id, Zone: id}) }
	c.send(wire.KindLeave, &wire.Leave{To: "me", From: "b"})
	pull("d")
	leaves := func(us int64) {
		for end := c.now + us; c.now < end; {
			c.send(wire.KindLeave, &wire.Leave{To: "me", From: "b"})
			c.exchangeHeartbeats(g, LeaveInterval, "a", "b")
		}
	}
	leaves(200_000)
	must.Eq(t, []string{"d"}, ids(g.change.learners))
	leaves(LearnerTimeout - 400_000)
	pull("d")
	pull("e")
	must.Eq(t, []string{"d"}, ids(g.change.learners), must.Sprint("not given up yet"))
	leaves(400_000)
	c.syncLearners(t, g, "e")
	must.Eq(t, []string{"a", "e", "me"}, ids(g.proposal.Voters))
}

func TestChangeIsAbandonedWhenVoterRespondsAgain(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	pull := func() { c.send(wire.KindPull, &wire.Pull{Addr: "10.0.0.9:1", Replica: "d", Zone: "z4"}) }
	c.exchangeHeartbeats(g, ReplaceAfter-200_000, "a")
	pull()
	c.exchangeHeartbeats(g, 300_000, "a")
	must.NotNil(t, g.change)
	c.exchangeHeartbeats(g, 2*TickInterval, "a", "b")
	must.Nil(t, g.change)
	c.send(wire.KindAcceptReply, &wire.AcceptReply{Partition: g.partition, Term: g.term, From: "d", Version: g.committed.Version, OK: true})
	must.Nil(t, g.proposal)
	must.Eq(t, []string{"a", "b", "me"}, ids(g.committed.Voters))
}

func TestChangeIsAbandonedWhenLeaveRequestsStop(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	c.send(wire.KindPull, &wire.Pull{Addr: "10.0.0.9:1", Replica: "d", Zone: "z4"})
	c.send(wire.KindLeave, &wire.Leave{To: "me", From: "b"})
	must.NotNil(t, g.change)
	// Its process has ended and comes back as the voter that it was.
	c.exchangeHeartbeats(g, LeaveRequestTimeout+TickInterval, "a", "b")
	must.Nil(t, g.change)
}

func TestLeadershipIsNotTransferredToLeavingVoter(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	c.exchangeHeartbeats(g, 200_000, "a", "b")
	// Of the two that answer, the one heard last would be taken.
	c.now += 1_000
	c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{Partition: g.partition, Term: g.term, From: "b", Round: g.heartbeatRound, Stored: g.accepted.Version, OK: true})
	c.send(wire.KindLeave, &wire.Leave{To: "me", From: "b"})
	c.host.diskProblem = "slow"
	c.tick()
	must.Eq(t, "a", g.leader)
}

// A leaving voter's place is not given to a zone that would then hold a majority.
func TestLeavingVoterIsNotReplacedFromCrowdedZone(t *testing.T) {
	shape := simShape{name: "4 cores in 3 zones", zones: []string{"z1", "z2", "z3", "z1"}, tolerance: simShapes[1].tolerance}
	c := newSimCluster(t, shape, 17)
	c.run(2_000_000)
	for _, m := range c.voters(0) {
		if m.zone == "z1" {
			continue
		}
		id := m.host.replicaID
		m.terminate()
		c.ends(m)
		must.True(t, c.isVoterAnywhere(id))
		m.start()
		c.run(2_000_000)
	}
	// In its own zone there is one to take its place.
	for _, m := range c.voters(0) {
		if m.zone == "z1" {
			id := m.host.replicaID
			m.terminate()
			must.Less(t, 1_000_000, c.ends(m))
			must.False(t, c.isVoterAnywhere(id))
		}
	}
	c.verify()
}

// Who was moved out is told so and is a standby at once; it answers a late leader with nothing.
func TestRemovedVoterIsNotified(t *testing.T) {
	c := newSimCluster(t, simShapes[1], 18)
	c.run(2_000_000)
	leaving := c.victims(simLosses[0], false)[0]
	host := leaving.host
	leaving.terminate()
	c.ends(leaving)
	for _, g := range host.groups {
		must.False(t, g.isVoter())
		must.False(t, isJoint(g.accepted))
	}
}
