// The operators' view of the replicas of the control state.

package httpapi

import (
	"context"

	"wallport/control/config"
	"wallport/control/operations"
	"wallport/control/state"
	"wallport/gen/operator"
	"wallport/runtime/wire"
)

// Replicas asks every known core for the state of its replicas.
func (a operatorAPI) Replicas(ctx context.Context, p *operator.ReplicasPayload) ([]*operator.ReplicaStatus, error) {
	if err := a.allowed(p.Token); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := a.node.process.Call(ctx, "operate", operations.ReadStatus{})
	status, known := v.(operations.Status)
	if err != nil || !known {
		return nil, newFailure("shed", "the cores were not asked in time")
	}
	return replicaRows(status), nil
}

// replicaRows orders what the cores told by partition.
func replicaRows(status operations.Status) []*operator.ReplicaStatus {
	newest := status.Newest()
	rows := []*operator.ReplicaStatus{}
	for part := range state.Partitions {
		for _, core := range status.Cores {
			if row := replicaRow(core, part, newest[part]); row != nil {
				rows = append(rows, row)
			}
		}
	}
	return rows
}

// replicaRow is a core's row for a partition; nil where it answered and has none.
func replicaRow(core operations.CoreStatus, part int, newest wire.Version) *operator.ReplicaStatus {
	row := &operator.ReplicaStatus{Core: core.Name, Zone: core.Zone, Part: part, State: operations.StateTimedOut}
	if !core.Responded {
		return row
	}
	for _, r := range core.Replicas {
		if r.Partition != part {
			continue
		}
		row.State, row.Contact, row.Term, row.Leader = r.State, r.InContact, r.Term, r.Leader
		row.Version, row.Held = config.VersionText(r.Committed), config.VersionText(r.Stored)
		row.Voters, row.Change, row.Leaving = r.Voters, r.Change, r.Leaving
		if newest.Seq > r.Committed.Seq {
			row.Behind = newest.Seq - r.Committed.Seq
		}
		return row
	}
	return nil
}
