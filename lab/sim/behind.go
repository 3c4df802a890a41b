// Which cores are behind at the end of a run: a replica that was away must be whole again.

package sim

import (
	"wallport/cluster/mesh"
	"wallport/control/state"
	"wallport/runtime/wire"
)

// countBehind counts, over all partitions, the voters that lack the newest committed version.
func (w *World) countBehind() {
	for part := range state.Partitions {
		var newest wire.Version
		var voters []wire.Replica
		for _, name := range w.names {
			if p := w.procs[name]; p.seats != nil && p.up && mesh.Newer(p.seats.CommittedVersion(part), newest) {
				newest, voters = p.seats.CommittedVersion(part), p.seats.VotersOf(part)
			}
		}
		for _, name := range w.names {
			p := w.procs[name]
			if p.seats == nil || !p.up {
				continue
			}
			for _, v := range voters {
				if v.ID == p.seats.ReplicaID() && p.seats.CommittedVersion(part) != newest {
					w.Judge.Count("replicas_behind", 1)
				}
			}
		}
	}
}
