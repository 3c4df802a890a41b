// Members of an earlier group: whatever disks of theirs come back together, cut
// off from the others, they elect nobody and acknowledge nothing.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"
)

// replaceVoters gives the places of as many of partition 0's voters as make a majority to others,
// one after the other, and keeps those that were replaced off; it gives them.
func replaceVoters(c *simCluster, planned bool) []*simMachine {
	original := c.voters(0)
	removed := original[:len(original)/2+1]
	for _, m := range removed {
		id := m.host.replicaID
		if planned {
			m.terminate()
		} else {
			m.kill()
		}
		c.runUntil("its place is taken", 8_000_000, func() bool { return !m.up && !c.isVoterAnywhere(id) })
		c.serves("edits go on", simServeWithin)
		c.run(500_000)
	}
	return removed
}

func TestRemovedVotersElectNobody(t *testing.T) {
	shapes := []simShape{simShapes[2], {name: "3 of 8", zones: simShapes[2].zones, tolerance: simShapes[1].tolerance}}
	for _, shape := range shapes {
		for name, planned := range map[string]bool{"stopped": true, "killed": false} {
			t.Run(shape.name+"/"+name, func(t *testing.T) {
				c := newSimCluster(t, shape, 21)
				c.run(2_000_000)
				removed := replaceVoters(c, planned)
				for _, m := range c.machines {
					m.kill()
				}
				acknowledged := len(c.acknowledged)
				for _, m := range removed {
					m.start()
				}
				for range 100 {
					c.run(100_000)
					for partition := range Partitions {
						must.Nil(t, c.leader(partition))
					}
				}
				must.Len(t, acknowledged, c.acknowledged)
				for _, m := range c.machines {
					m.start()
				}
				c.serves("all are back", simServeWithin)
				c.run(3_000_000)
				c.verify()
			})
		}
	}
}

// membershipStable reports whether of every partition all voters run, hold the committed version on their
// disks, and are bound alone: from then on the group bears whatever such a group can bear.
func (c *simCluster) membershipStable() bool {
	for partition := range Partitions {
		leader := c.leader(partition)
		if leader == nil {
			return false
		}
		committed := leader.host.groups[partition].committed
		if isJoint(committed) {
			return false
		}
		for _, voter := range committed.Voters {
			holds := false
			for _, m := range c.machines {
				holds = holds || m.up && !m.stopping && m.hasSynced(voter.ID, committed.Version)
			}
			if !holds {
				return false
			}
		}
	}
	return true
}

// TestReplacementToleratesNextLossAfterSync measures, for each loss, when the groups are whole again.
func TestReplacementToleratesNextLossAfterSync(t *testing.T) {
	for _, shape := range simShapes {
		for _, loss := range simLosses {
			t.Run(shape.name+"/"+loss.name, func(t *testing.T) {
				worst := int64(0)
				for seed := uint64(31); seed < 34; seed++ {
					c := newSimCluster(t, shape, seed)
					c.run(2_000_000)
					running := len(c.machines)
					for _, m := range c.victims(loss, seed%2 == 0) {
						loss.hit(c, m)
					}
					c.run(50_000)
					c.runUntil("the lost machines or their successors run", 10_000_000, func() bool { return c.back(running) })
					took := c.runUntil("the groups are whole again", simSyncTimeAllowed, c.membershipStable)
					worst = max(worst, took)
					c.verify()
				}
				t.Logf("whole again %d us after the machines are back, at the most of three runs", worst)
			})
		}
	}
}
