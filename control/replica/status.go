package replica

import (
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// replicaState is the state of a replica as shown to operators.
type replicaState string

const (
	stateLeader replicaState = "leader"
	// stateNewLeader is a leader that has not committed a version in its own term yet.
	stateNewLeader replicaState = "new_leader"
	stateCandidate replicaState = "candidate"
	stateFollower  replicaState = "follower"
	// stateStandby is a replica without a vote.
	stateStandby replicaState = "standby"
	// stateDamaged is a replica whose disk content cannot be trusted.
	stateDamaged replicaState = "damaged"
)

// changeAwaitingCommit is shown instead of a reason while a joint version waits for the final version of its change.
const changeAwaitingCommit changeReason = "settling"

// Status returns the state of this process's replicas as shown to operators: their roles, their contact with a
// majority, their versions and the membership change under way.
func (h *Host) Status(now clock.Micros) *wire.StatusReply {
	reply := &wire.StatusReply{Addr: h.kernel.Boot.Settings.Mesh}
	for _, g := range h.groups {
		reply.Replicas = append(reply.Replicas, g.status(now))
	}
	return reply
}

// sendStatus replies to a status request.
func (h *Host) sendStatus(ctx *kernel.Context, v kernel.Message) {
	ctx.Send(v.Conn, wire.KindStatusReply, v.ID, h.Status(ctx.Now))
}

// status returns the status of the replica of one partition.
func (g *Group) status(now clock.Micros) wire.ReplicaStatus {
	status := wire.ReplicaStatus{
		Partition: g.partition, State: string(g.state()), Term: max(g.term, g.votedTerm), Leader: g.host.Leader(g.partition, now),
		InContact: g.inContact(now, g.committed.Version), Committed: g.committed.Version, Stored: g.accepted.Version,
		Voters: len(allVoters(g.accepted)), Leaving: g.host.stopping && g.isVoter(),
	}
	if g.role == leader {
		status.Change = string(g.currentChange())
	}
	return status
}

// state returns the state of the replica as shown to operators.
func (g *Group) state() replicaState {
	switch {
	case g.host.diskDamaged:
		return stateDamaged
	case !g.isVoter():
		return stateStandby
	case g.role == leader && g.ready:
		return stateLeader
	case g.role == leader:
		return stateNewLeader
	case g.role == follower:
		return stateFollower
	}
	return stateCandidate
}

// currentChange returns the reason of the membership change whose learners are catching up, changeAwaitingCommit if a
// joint version is proposed or committed, and an empty reason if there is no change.
func (g *Group) currentChange() changeReason {
	switch {
	case g.change != nil:
		return g.change.reason
	case isJoint(g.newestVersion()):
		return changeAwaitingCommit
	}
	return ""
}
