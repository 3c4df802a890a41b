// Removed voters: when they run together without the other cores, they elect no leader and acknowledge no edit.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
)

// replaceVoters replaces a majority of partition 0's voters, one after the other, leaves the replaced voters stopped
// and returns their machines.
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
		c.runUntil("the stopped voter must be replaced", 8*clock.Second, func() bool { return !m.up && !c.isVoterAnywhere(id) })
		c.awaitAck("an edit must be acknowledged after the replacement", simServeWithin)
		c.run(500 * clock.Millisecond)
	}
	return removed
}

func TestRemovedVotersElectNobody(t *testing.T) {
	shapes := []simShape{simShapes[2], {name: "3 of 8", zones: simShapes[2].zones, tolerance: simShapes[1].tolerance}}
	for _, shape := range shapes {
		for name, planned := range map[string]bool{"stopped": true, "killed": false} {
			t.Run(shape.name+"/"+name, func(t *testing.T) {
				c := newSimCluster(t, shape, 21)
				c.run(2 * clock.Second)
				removed := replaceVoters(c, planned)
				for _, m := range c.machines {
					m.kill()
				}
				acknowledged := len(c.acknowledged)
				for _, m := range removed {
					m.start()
				}
				for range 100 {
					c.run(100 * clock.Millisecond)
					for partition := range Partitions {
						must.Nil(t, c.leader(partition))
					}
				}
				must.Len(t, acknowledged, c.acknowledged)
				for _, m := range c.machines {
					m.start()
				}
				c.awaitAck("an edit must be acknowledged once all cores run again", simServeWithin)
				c.run(3 * clock.Second)
				c.verify()
			})
		}
	}
}

// membershipStable reports whether all voters of every partition run and have synced the committed version, and no
// joint version is under way. From then on a group tolerates as many losses as its size allows.
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

// TestReplacementToleratesNextLossAfterSync measures, for each kind of loss, how long it takes until the membership is
// stable again; the limit is simSyncTimeAllowed.
func TestReplacementToleratesNextLossAfterSync(t *testing.T) {
	for _, shape := range simShapes {
		for _, loss := range simLosses {
			t.Run(shape.name+"/"+loss.name, func(t *testing.T) {
				worst := clock.Micros(0)
				for seed := uint64(31); seed < 34; seed++ {
					c := newSimCluster(t, shape, seed)
					c.run(2 * clock.Second)
					running := len(c.machines)
					for _, m := range c.victims(loss, seed%2 == 0) {
						loss.inject(c, m)
					}
					c.run(50 * clock.Millisecond)
					c.runUntil("the lost machines or their successors must run", 10*clock.Second, func() bool { return c.runningAtLeast(running) })
					took := c.runUntil("the membership of all groups must become stable", simSyncTimeAllowed, c.membershipStable)
					worst = max(worst, took)
					c.verify()
				}
				t.Logf("membership stable %d us after the machines run again, the longest of three runs", worst)
			})
		}
	}
}
