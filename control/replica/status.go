// What an operator is shown of the replicas: their contact with a majority, their
// versions, and the change of members that is under way.

package replica

import (
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// States of a replica, as operators are shown them.
const (
	stateLeader    = "leader"
	stateNewLeader = "new_leader"
	stateCandidate = "candidate"
	stateFollower  = "follower"
	stateStandby   = "standby"
	stateDamaged   = "damaged"
)

// changeAwaitingCommit stands for a change of members that waits for its last version.
const changeAwaitingCommit = "settling"

// Status is the state of this process's replicas.
func (h *Host) Status(now int64) *wire.StatusReply {
	reply := &wire.StatusReply{Addr: h.kernel.Boot.Settings.Mesh}
	for _, g := range h.groups {
		reply.Replicas = append(reply.Replicas, g.status(now))
	}
	return reply
}

// sendStatus answers a question for it.
func (h *Host) sendStatus(ctx *kernel.Context, v kernel.Message) {
	ctx.Send(v.Conn, wire.KindStatusReply, v.ID, h.Status(ctx.Now))
}

func (g *Group) status(now int64) wire.ReplicaStatus {
	status := wire.ReplicaStatus{
		Partition: g.partition, State: g.stateName(), Term: max(g.term, g.votedTerm), Leader: g.host.Leader(g.partition, now),
		InContact: g.inContact(now, g.committed.Version), Committed: g.committed.Version, Stored: g.accepted.Version,
		Voters: len(allVoters(g.accepted)), Leaving: g.host.stopping && g.isVoter(),
	}
	if g.role == leader {
		status.Change = g.currentChange()
	}
	return status
}

func (g *Group) stateName() string {
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

// currentChange is the reason of the change of members whose learners are catching up, or that a
// change is proposed or committed and waits to be settled; empty where there is none.
func (g *Group) currentChange() string {
	switch {
	case g.change != nil:
		return string(g.change.reason)
	case isJoint(g.newestVersion()):
		return changeAwaitingCommit
	}
	return ""
}
