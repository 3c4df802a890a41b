// The check for stale replicas at the end of a run: a voter that was down or partitioned must have caught up.

package sim

import (
	"wallport/cluster/mesh"
	"wallport/control/state"
	"wallport/runtime/wire"
)

// countBehind counts, over all partitions of the control state, the running voters that lack the newest committed
// version.
func (sim *Simulation) countBehind() {
	for part := range state.Partitions {
		var newest wire.Version
		var voters []wire.Replica
		for _, name := range sim.names {
			if p := sim.processes[name]; p.replicas != nil && p.up && mesh.Newer(p.replicas.CommittedVersion(part), newest) {
				newest, voters = p.replicas.CommittedVersion(part), p.replicas.VotersOf(part)
			}
		}
		for _, name := range sim.names {
			p := sim.processes[name]
			if p.replicas == nil || !p.up {
				continue
			}
			for _, v := range voters {
				if v.ID == p.replicas.ReplicaID() && p.replicas.CommittedVersion(part) != newest {
					sim.Checker.Count("replicas_behind", 1)
				}
			}
		}
	}
}
