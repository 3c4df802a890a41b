// Voters whose process is to stop: each is replaced by a committed change before its process ends, or remains a voter
// until then if no replica can replace it.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// isVoterAnywhere reports whether a replica is a voter of any partition, by the newest version that its leader has
// committed.
func (c *simCluster) isVoterAnywhere(id string) bool {
	for partition := range Partitions {
		leader := c.leader(partition)
		if leader != nil && contains(allVoters(leader.host.groups[partition].committed), id) {
			return true
		}
	}
	return false
}

// hasMajorities reports whether, in every partition, a quorum of the newest committed version is running.
func (c *simCluster) hasMajorities() bool {
	for partition := range Partitions {
		newest := c.newestOf(partition)
		if !quorum(newest, c.runs) {
			return false
		}
	}
	return true
}

func (c *simCluster) runs(id string) bool {
	for _, m := range c.machines {
		if m.up && m.host.replicaID == id {
			return true
		}
	}
	return false
}

// newestOf returns the newest version of a partition that any running process knows to be committed.
func (c *simCluster) newestOf(partition int) (newest wire.Versioned) {
	for _, m := range c.machines {
		if m.up && newest.Version.Term <= m.host.groups[partition].committed.Version.Term && len(m.host.groups[partition].committed.Voters) > 0 {
			if v := m.host.groups[partition].committed; newest.Version.Term < v.Version.Term || newest.Version.Seq < v.Version.Seq {
				newest = v
			}
		}
	}
	return newest
}

// awaitExit runs until a machine's process has ended, and returns how long that took.
func (c *simCluster) awaitExit(m *simMachine) clock.Micros {
	c.t.Helper()
	return c.runUntil("the process must end", LeaveTimeout+100*clock.Millisecond, func() bool { return !m.up })
}

func TestLeavingVoterIsMovedOut(t *testing.T) {
	for _, shape := range simShapes[1:] {
		for _, target := range []string{"leader", "another voter"} {
			t.Run(shape.name+"/"+target, func(t *testing.T) {
				c := newSimCluster(t, shape, 11)
				c.run(2 * clock.Second)
				leaving := c.leader(0)
				if target != "leader" {
					leaving = c.victims(simLosses[0], false)[0]
				}
				id := leaving.host.replicaID
				must.True(t, c.isVoterAnywhere(id))
				leaving.terminate()
				must.Less(t, 1*clock.Second, c.awaitExit(leaving))
				must.False(t, c.isVoterAnywhere(id), must.Sprint("the voter must be replaced before its process ends"))
				for _, m := range c.secondVictims() {
					m.kill()
				}
				c.awaitAck("an edit must be acknowledged after a loss that follows the replacement", simServeWithin)
			})
		}
	}
}

func TestLeavingVoterStaysWithoutReplacement(t *testing.T) {
	c := newSimCluster(t, simShapes[0], 12)
	c.run(2 * clock.Second)
	leaving := c.leader(0)
	id := leaving.host.replicaID
	leaving.terminate()
	c.run(200 * clock.Millisecond)
	must.False(t, leaving.host.Leads(0), must.Sprint("a stopping leader must transfer its leadership"))
	c.awaitAck("an edit must be acknowledged by another leader", 500*clock.Millisecond)
	must.GreaterEq(t, LeaveTimeout-1*clock.Second, c.awaitExit(leaving))
	must.True(t, c.isVoterAnywhere(id))
	must.Eq(t, 3, len(c.newestOf(0).Voters))
	leaving.start()
	c.run(1 * clock.Second)
	must.True(t, c.isVoterAnywhere(id))
	c.awaitAck("an edit must be acknowledged once all cores run again", simServeWithin)
}

func TestLeavingVotersAreMovedOneByOne(t *testing.T) {
	c := newSimCluster(t, simShapes[2], 13)
	c.run(2 * clock.Second)
	voters := c.voters(0)
	first, second := voters[0], voters[1]
	first.terminate()
	second.terminate()
	for first.up || second.up {
		c.run(1 * clock.Millisecond)
		must.True(t, c.hasMajorities())
		for _, m := range c.machines {
			if !m.up {
				continue
			}
			for _, g := range m.host.groups {
				if g.role == leader && g.proposal != nil {
					must.LessEq(t, 1, changedVoters(*g.proposal), must.Sprint("only one voter may be added at a time"))
				}
			}
		}
	}
	must.False(t, c.isVoterAnywhere(first.host.replicaID) || c.isVoterAnywhere(second.host.replicaID))
	c.awaitAck("an edit must be acknowledged after both voters were replaced", 500*clock.Millisecond)
}

// changedVoters counts the voters that a version adds.
func changedVoters(v wire.Versioned) (n int) {
	for _, voter := range v.Voters {
		if len(v.PreviousVoters) > 0 && !contains(v.PreviousVoters, voter.ID) {
			n++
		}
	}
	return n
}

func TestLeavingStandbyBecomesNoVoter(t *testing.T) {
	c := newSimCluster(t, simShapes[1], 14)
	c.run(2 * clock.Second)
	var standby *simMachine
	for _, m := range c.machines {
		if !c.isVoterAnywhere(m.host.replicaID) {
			standby = m
		}
	}
	must.NotNil(t, standby)
	// The core is still known as a standby from its last pull, but stops before it could become a voter.
	leaving := c.leader(0)
	standby.host.stopping = true
	leaving.terminate()
	c.awaitExit(leaving)
	must.False(t, c.isVoterAnywhere(standby.host.replicaID))
	must.True(t, c.isVoterAnywhere(leaving.host.replicaID), must.Sprint("the leaving voter must remain, since the only standby is leaving too"))
	leaving.start()
	c.awaitAck("an edit must be acknowledged once all cores run again", simServeWithin)
}

func TestDeadStandbyBecomesNoVoter(t *testing.T) {
	c := newSimCluster(t, simShapes[1], 15)
	c.run(2 * clock.Second)
	var standby *simMachine
	for _, m := range c.machines {
		if !c.isVoterAnywhere(m.host.replicaID) {
			standby = m
		}
	}
	must.NotNil(t, standby)
	id := standby.host.replicaID
	lost := c.victims(simLosses[0], false)[0]
	lost.kill()
	c.run(ReplaceAfter - 500*clock.Millisecond)
	standby.kill()
	for range 60 {
		c.run(100 * clock.Millisecond)
		must.False(t, c.isVoterAnywhere(id))
	}
	// Of the two stopped machines, the machine that starts first becomes the missing voter.
	standby.start()
	c.run(3 * clock.Second)
	must.True(t, c.isVoterAnywhere(id))
	must.False(t, c.isVoterAnywhere(lost.host.replicaID))
	c.verify()
}

func TestRollingReplacementKeepsMajorities(t *testing.T) {
	for _, shape := range simShapes {
		t.Run(shape.name, func(t *testing.T) {
			c := newSimCluster(t, shape, 16)
			c.run(2 * clock.Second)
			for _, m := range c.machines {
				m.terminate()
				c.startWhenEnded(m)
				c.runUntil("the machine must be running again", 10*clock.Second, func() bool {
					must.True(t, c.hasMajorities())
					return m.up && !m.stopping
				})
				c.awaitAck("an edit must be acknowledged after the replacement", 1500*clock.Millisecond)
				c.run(1300 * clock.Millisecond)
			}
			c.verify()
		})
	}
}

func TestSteadyEditsDoNotStarveLearner(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{From: "b", Successor: "b2", Zone: "z2"})
	c.tick()
	earlier := g.committed.Version
	c.edit(1, wire.Edit{Op: "empty", Name: "z0"})
	c.edit(2, wire.Edit{Op: "empty", Name: "z1"})
	c.send(wire.KindAcceptReply, &wire.AcceptReply{Partition: g.partition, Term: g.term, From: "b2", Version: earlier, OK: true})
	c.acceptProposal(g)
	must.Nil(t, g.proposal, must.Sprint("the second edit must wait for the learner"))
	must.Len(t, 1, g.queue)
	c.send(wire.KindAcceptReply, &wire.AcceptReply{Partition: g.partition, Term: g.term, From: "b2", Version: g.committed.Version, OK: true})
	must.NotNil(t, g.proposal)
	must.True(t, isJoint(*g.proposal))
	must.Len(t, 1, g.proposedEdits)
}

func TestEditsWaitBrieflyForLearner(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{From: "b", Successor: "b2", Zone: "z2"})
	c.tick()
	c.edit(1, wire.Edit{Op: "empty", Name: "z0"})
	c.send(wire.KindAcceptReply, &wire.AcceptReply{Partition: g.partition, Term: g.term, From: "b2", Version: g.committed.Version, OK: true})
	c.acceptProposal(g)
	c.edit(2, wire.Edit{Op: "empty", Name: "z1"})
	must.Nil(t, g.proposal)
	c.now += LearnerEditPause
	c.feed(kernel.Tick{Plugin: "seats", Key: "tick"})
	must.NotNil(t, g.proposal)
	must.False(t, isJoint(*g.proposal))
}
