package httpapi

import (
	"context"

	"wallport/control/config"
	"wallport/control/operations"
	"wallport/control/state"
	"wallport/gen/operator"
	"wallport/runtime/wire"
)

// Replicas lists the replicas of the control state that the known cores report.
func (a operatorAPI) Replicas(ctx context.Context, p *operator.ReplicasPayload) ([]*operator.ReplicaStatus, error) {
	if err := a.allowed(p.Token); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := a.node.process.Call(ctx, operations.PluginName, operations.ReadStatus{})
	status, known := answer.(operations.Status)
	if err != nil || !known {
		return nil, newFailure(FailureOverloaded, "the cores were not asked in time")
	}
	return replicaRows(status), nil
}

// replicaRows returns a row for each replica, and for each core that did not respond, ordered by partition.
func replicaRows(status operations.Status) []*operator.ReplicaStatus {
	newest := status.Newest()
	rows := []*operator.ReplicaStatus{}
	for partition := range state.Partitions {
		for _, core := range status.Cores {
			if row := replicaRow(core, partition, newest[partition]); row != nil {
				rows = append(rows, row)
			}
		}
	}
	return rows
}

// replicaRow returns the row of a core for a partition. It returns nil if the core responded and has no replica of the
// partition.
func replicaRow(core operations.CoreStatus, partition int, newest wire.Version) *operator.ReplicaStatus {
	row := &operator.ReplicaStatus{Core: core.Name, Zone: core.Zone, Part: partition, State: operations.StateTimedOut}
	if !core.Responded {
		return row
	}
	for _, r := range core.Replicas {
		if r.Partition != partition {
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
