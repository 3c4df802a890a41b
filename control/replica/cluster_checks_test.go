// Checks of a simulated cluster that are made after each step of a process.

package replica

import (
	"fmt"
	"slices"

	"wallport/cluster/mesh"
	"wallport/control/state"
	"wallport/runtime/clock"
	"wallport/runtime/diskfile"
	"wallport/runtime/wire"
)

// check checks the state of a process after a step: new voters in its proposals have synced the version before the
// change, and its newest committed version contains every acknowledged edit.
func (c *simCluster) check(m *simMachine) {
	for _, g := range m.host.groups {
		if g.role == leader && g.proposal != nil && isJoint(*g.proposal) {
			c.checkNewVoters(g)
		}
	}
	g := m.host.groups[0]
	if !mesh.Newer(g.committed.Version, c.newest) {
		return
	}
	c.newest = g.committed.Version
	editLog, err := state.ReadEditLog(g.committed.EditLog)
	if err != nil {
		c.violations = append(c.violations, "a committed edit log cannot be decoded")
		return
	}
	applied := map[string]bool{}
	for _, edit := range editLog.RoutingEdits {
		applied[string(edit.Digest)] = true
	}
	for _, name := range c.acknowledged {
		if !applied[name] {
			c.violations = append(c.violations, fmt.Sprintf("%d us: the edit with digest %x was acknowledged but is missing from version %v of %s", c.now, name, g.committed.Version, m.addr))
			return
		}
	}
}

// checkNewVoters checks that every voter added by a proposal has synced the version before the change.
func (c *simCluster) checkNewVoters(g *Group) {
	oldest := g.committed.Version
	oldest.Partition = g.partition
	for _, voter := range g.proposal.Voters {
		if contains(g.proposal.PreviousVoters, voter.ID) {
			continue
		}
		if !slices.ContainsFunc(c.machines, func(m *simMachine) bool { return m.hasSynced(voter.ID, oldest) }) {
			c.violations = append(c.violations, fmt.Sprintf("%d us: partition %d makes %s a voter before it has synced %v", c.now, g.partition, voter.ID, g.committed.Version))
		}
	}
}

// hasSynced reports whether the machine's disk belongs to the given replica and holds a version that is not older than
// oldest.
func (m *simMachine) hasSynced(replicaID string, oldest wire.Version) bool {
	id, err := diskfile.Unpack(m.disk["seat"])
	if err != nil || string(id) != replicaID {
		return false
	}
	for name := range m.disk {
		var held wire.Version
		_, err := fmt.Sscanf(name, "part-%d.stamp-%d-%d", &held.Partition, &held.Term, &held.Seq)
		if err == nil && held.Partition == oldest.Partition && !mesh.Newer(oldest, held) {
			return true
		}
	}
	return false
}

// verify fails the test if any violation was recorded.
func (c *simCluster) verify() {
	c.t.Helper()
	if len(c.violations) > 0 {
		c.fail(c.violations[0])
	}
}

// awaitAck runs until another edit is acknowledged, and returns how long that took. It fails the test after limit.
func (c *simCluster) awaitAck(what string, limit clock.Micros) clock.Micros {
	c.t.Helper()
	from := c.now
	took := c.runUntil(what, limit, func() bool { return c.lastAck > from })
	c.verify()
	return took
}

// voters returns the running machines that are voters of a partition, by the newest version that its leader has
// committed.
func (c *simCluster) voters(partition int) (out []*simMachine) {
	leader := c.leader(partition)
	if leader == nil {
		return nil
	}
	for _, voter := range leader.host.groups[partition].committed.Voters {
		for _, m := range c.machines {
			if m.up && m.host.replicaID == voter.ID {
				out = append(out, m)
			}
		}
	}
	return out
}
