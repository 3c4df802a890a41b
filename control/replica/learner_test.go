// Learners that do not respond, changes whose reason no longer applies, and replicas that must not become learners.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

func TestLearnerTimeoutPicksAnotherStandby(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	pull := func(id string) { c.send(wire.KindPull, &wire.Pull{Addr: id + ":1", Replica: id, Zone: id}) }
	c.send(wire.KindLeave, &wire.Leave{To: "me", From: "b"})
	pull("d")
	leaves := func(span clock.Micros) {
		for end := c.now + span; c.now < end; {
			c.send(wire.KindLeave, &wire.Leave{To: "me", From: "b"})
			c.exchangeHeartbeats(g, LeaveInterval, "a", "b")
		}
	}
	leaves(200 * clock.Millisecond)
	must.Eq(t, []string{"d"}, ids(g.change.learners))
	leaves(LearnerTimeout - 400*clock.Millisecond)
	pull("d")
	pull("e")
	must.Eq(t, []string{"d"}, ids(g.change.learners), must.Sprint("the learner must not be abandoned before LearnerTimeout"))
	leaves(400 * clock.Millisecond)
	c.syncLearners(t, g, "e")
	must.Eq(t, []string{"a", "e", "me"}, ids(g.proposal.Voters))
}

func TestChangeIsAbandonedWhenVoterRespondsAgain(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	pull := func() { c.send(wire.KindPull, &wire.Pull{Addr: "10.0.0.9:1", Replica: "d", Zone: "z4"}) }
	c.exchangeHeartbeats(g, ReplaceAfter-200*clock.Millisecond, "a")
	pull()
	c.exchangeHeartbeats(g, 300*clock.Millisecond, "a")
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
	// The process of the leaving voter has ended before the voter was replaced. When it starts again, it continues as
	// the same voter.
	c.exchangeHeartbeats(g, LeaveRequestTimeout+TickInterval, "a", "b")
	must.Nil(t, g.change)
}

func TestLeadershipIsNotTransferredToLeavingVoter(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	c.exchangeHeartbeats(g, 200*clock.Millisecond, "a", "b")
	// Of two voters that answer, the voter that answered last is chosen as the successor, unless it is leaving.
	c.now += 1 * clock.Millisecond
	c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{Partition: g.partition, Term: g.term, From: "b", Round: g.heartbeatRound, Stored: g.accepted.Version, OK: true})
	c.send(wire.KindLeave, &wire.Leave{To: "me", From: "b"})
	c.host.diskProblem = "slow"
	c.tick()
	must.Eq(t, "a", g.leader)
}

// A leaving voter isn't replaced by a standby in a zone that would then contain a majority.
func TestLeavingVoterIsNotReplacedFromCrowdedZone(t *testing.T) {
	shape := simShape{name: "4 cores in 3 zones", zones: []string{"z1", "z2", "z3", "z1"}, tolerance: simShapes[1].tolerance}
	c := newSimCluster(t, shape, 17)
	c.run(2 * clock.Second)
	for _, m := range c.voters(0) {
		if m.zone == "z1" {
			continue
		}
		id := m.host.replicaID
		m.terminate()
		c.awaitExit(m)
		must.True(t, c.isVoterAnywhere(id))
		m.start()
		c.run(2 * clock.Second)
	}
	// A standby in the voter's own zone may replace it.
	for _, m := range c.voters(0) {
		if m.zone == "z1" {
			id := m.host.replicaID
			m.terminate()
			must.Less(t, 1*clock.Second, c.awaitExit(m))
			must.False(t, c.isVoterAnywhere(id))
		}
	}
	c.verify()
}

// A leaving voter is sent the version that removes it, so that it is no voter of any partition when its process ends.
func TestRemovedVoterIsNotified(t *testing.T) {
	c := newSimCluster(t, simShapes[1], 18)
	c.run(2 * clock.Second)
	leaving := c.victims(simLosses[0], false)[0]
	host := leaving.host
	leaving.terminate()
	c.awaitExit(leaving)
	for _, g := range host.groups {
		must.False(t, g.isVoter())
		must.False(t, isJoint(g.accepted))
	}
}
