// A second loss that follows a repair or a replacement after a delay, which varies in steps of a quarter of a second:
// no acknowledged edit is lost, and if the sync time has passed, the cluster continues to serve during the second
// loss.

package replica

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/settings"
)

const (
	// simSyncTimeAllowed is the platform's sync_time_s: a machine still counts as lost for this time after it, or its
	// successor, has started.
	simSyncTimeAllowed = 4 * clock.Second
	simLossStep        = 250 * clock.Millisecond
	simDownFor         = 1 * clock.Second
	// simStableFor is how long a cluster runs before the first loss.
	simStableFor = 500 * clock.Millisecond
	// simServeWithin is the time limit for the next acknowledged edit after a loss that is tolerated.
	simServeWithin = 4 * clock.Second
)

var simShapes = []simShape{
	{name: "3 of 3", zones: []string{"z1", "z2", "z3"}, tolerance: settings.Tolerance{Machines: 1, Zones: 1}},
	{name: "3 of 4", zones: []string{"z1", "z2", "z3", "z4"}, tolerance: settings.Tolerance{Machines: 1, Zones: 1}},
	{name: "5 of 8", zones: []string{"z1", "z2", "z3", "z4", "z1", "z2", "z3", "z4"}, tolerance: settings.Tolerance{Machines: 2, Zones: 1}},
}

// simLoss stops machines, and later starts them again or starts their successors.
type simLoss struct {
	name string
	// zone is set if all machines in the zone of the first machine are lost.
	zone   bool
	inject func(c *simCluster, m *simMachine)
}

var simLosses = []simLoss{
	{name: "machine", inject: func(c *simCluster, m *simMachine) {
		m.kill()
		c.after(simDownFor, m.start)
	}},
	{name: "disk", inject: func(c *simCluster, m *simMachine) {
		m.kill()
		m.wipe()
		c.after(simDownFor, m.start)
	}},
	{name: "machine replaced", inject: func(c *simCluster, m *simMachine) {
		m.kill()
		c.after(simDownFor, func() { c.addMachine(m.zone).start() })
	}},
	{name: "machine stopped and replaced", inject: func(c *simCluster, m *simMachine) {
		m.terminate()
		c.after(simDownFor, func() { c.addMachine(m.zone).start() })
	}},
	{name: "machine rolled", inject: func(c *simCluster, m *simMachine) {
		m.terminate()
		c.startWhenEnded(m)
	}},
	{name: "zone", zone: true, inject: func(c *simCluster, m *simMachine) {
		m.kill()
		c.after(simDownFor, m.start)
	}},
	{name: "zone with its disks", zone: true, inject: func(c *simCluster, m *simMachine) {
		m.kill()
		m.wipe()
		c.after(simDownFor, m.start)
	}},
}

// startWhenEnded starts a machine again a quarter of simDownFor after its planned stop has ended.
func (c *simCluster) startWhenEnded(m *simMachine) {
	if m.up && m.stopping {
		c.after(10*clock.Millisecond, func() { c.startWhenEnded(m) })
		return
	}
	c.after(simDownFor/4, m.start)
}

// victims returns the machines that are lost together: as many voters as may be lost, with the leader first or left
// out, or, for the loss of a zone, all running machines in the zone of the first such voter.
func (c *simCluster) victims(loss simLoss, leaderFirst bool) (out []*simMachine) {
	voters := c.voters(0)
	leader := c.leader(0)
	ordered := []*simMachine{}
	for _, m := range voters {
		if m != leader {
			ordered = append(ordered, m)
		}
	}
	if leaderFirst {
		ordered = append([]*simMachine{leader}, ordered...)
	}
	if !loss.zone {
		return ordered[:c.shape.tolerance.Machines]
	}
	for _, m := range c.machines {
		if m.zone == ordered[0].zone && m.up {
			out = append(out, m)
		}
	}
	return out
}

// runningAtLeast reports whether at least n machines run, not counting those in a planned stop.
func (c *simCluster) runningAtLeast(n int) bool {
	running := 0
	for _, m := range c.machines {
		if m.up && !m.stopping {
			running++
		}
	}
	return running >= n
}

// lossStep returns the step between the delays of the second loss; a short run tests three delays.
func lossStep() clock.Micros {
	if testing.Short() {
		return simSyncTimeAllowed / 2
	}
	return simLossStep
}

func TestSecondLossAfterRepairOrReplacement(t *testing.T) {
	for _, shape := range simShapes {
		for _, first := range simLosses {
			t.Run(shape.name+"/"+first.name, func(t *testing.T) {
				t.Parallel()
				// The leader is among the first lost machines at every other step.
				leaderFirst := true
				for gap := clock.Micros(0); gap <= simSyncTimeAllowed+simLossStep; gap += lossStep() {
					secondLoss(t, shape, first, leaderFirst, gap)
					leaderFirst = !leaderFirst
				}
			})
		}
	}
}

func secondLoss(t *testing.T, shape simShape, first simLoss, leaderFirst bool, gap clock.Micros) {
	t.Helper()
	seed := uint64(gap) + 1
	c := newSimCluster(t, shape, seed)
	c.log(fmt.Sprintf("seed %d, shape %s, first loss %s, leader first %v, second after %d us", seed, shape.name, first.name, leaderFirst, gap))
	c.run(simStableFor)
	running := len(c.machines)
	for _, m := range c.victims(first, leaderFirst) {
		first.inject(c, m)
	}
	c.run(100 * clock.Millisecond)
	c.runUntil("the lost machines or their successors must run", 10*clock.Second, func() bool { return c.runningAtLeast(running) })
	c.run(gap)
	second := c.secondVictims()
	for _, m := range second {
		m.kill()
	}
	if gap >= simSyncTimeAllowed {
		c.awaitAck("an edit must be acknowledged after a loss that must be tolerated", simServeWithin)
	} else {
		c.run(simDownFor)
	}
	for _, m := range second {
		m.start()
	}
	c.awaitAck("an edit must be acknowledged once all machines run again", simServeWithin)
	c.run(1 * clock.Second)
	c.verify()
	must.NotNil(t, c.leader(0))
}

// secondVictims returns as many voters as may be lost together, the leader first.
func (c *simCluster) secondVictims() []*simMachine {
	voters := c.voters(0)
	if len(voters) == 0 {
		// There is no leader yet: use any running machine.
		for _, m := range c.machines {
			if m.up {
				voters = append(voters, m)
			}
		}
	}
	out := []*simMachine{}
	if leader := c.leader(0); leader != nil {
		out = append(out, leader)
	}
	for _, m := range voters {
		if m != c.leader(0) {
			out = append(out, m)
		}
	}
	return out[:c.shape.tolerance.Machines]
}
