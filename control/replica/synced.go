// What a leader knows of the versions that the other replicas hold: a version whose body
// one of them has already is sent to it without.

package replica

import (
	"bytes"

	"wallport/cluster/mesh"
	"wallport/control/state"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// syncedVersion is the newest version that a replica said it has synced, and the newest round of
// heartbeats when it did.
type syncedVersion struct {
	version        wire.Version
	heartbeatRound uint64
	takesBase      bool
}

// recordSynced remembers what a replica has acknowledged.
func (g *Group) recordSynced(r wire.AcceptReply) {
	if mesh.Newer(r.Version, g.synced[r.From].version) {
		g.synced[r.From] = syncedVersion{r.Version, g.heartbeatRound, r.SupportsBase}
	}
}

// detectRollback tells of a replica that holds an older version than it has acknowledged: its disk
// was put back to an older state. The protocol assumes that this does not happen.
func (g *Group) detectRollback(ctx *kernel.Context, r wire.LeaderHeartbeatReply) {
	was, known := g.synced[r.From]
	if !known || r.Round <= was.heartbeatRound || !mesh.Newer(was.version, r.Stored) {
		return
	}
	delete(g.synced, r.From)
	ctx.Counts.Add("replicas_rolled_back", 1)
	ctx.Log(kernel.LevelError, "replica_rolled_back", "part", g.partition, "replica", r.From, "had_seq", was.version.Seq, "has_seq", r.Stored.Seq,
		"do", "stop this core, empty its data folder, start it again: it comes back as a new replica")
}

// recordVoterVersions remembers what the voters of an election hold.
func (g *Group) recordVoterVersions(votes map[string]wire.VoteReply) {
	for id, v := range votes {
		g.synced[id] = syncedVersion{v.Stored.Version, g.heartbeatRound, v.SupportsBase}
	}
}

// baseFor is the committed version, if a new one has its body and ledger: only the voters change.
func (g *Group) baseFor(value state.Value) (base wire.Version) {
	if bytes.Equal(value.Body, g.committed.Body) && bytes.Equal(value.EditLog, g.committed.EditLog) {
		base = g.committed.Version
	}
	return base
}

// withBase leaves a large body out for a replica that holds it as another version.
func (g *Group) withBase(a wire.Accept, id string, base wire.Version) wire.Accept {
	held := g.synced[id]
	if isLarge(versionSize(a.Versioned)) && base.Term > 0 && held.takesBase && held.version == base {
		a.Base, a.Versioned.Body, a.Versioned.EditLog = base, nil, nil
	}
	return a
}

// sendFullProposal sends the version under way whole to a replica that lacks the version that its body is of.
func (g *Group) sendFullProposal(ctx *kernel.Context, r wire.AcceptReply) {
	if g.proposal == nil || r.Version != g.proposal.Version {
		return
	}
	delete(g.synced, r.From)
	for _, voter := range allVoters(*g.proposal) {
		if voter.ID == r.From {
			g.sendVersion(ctx, voter, *g.proposal)
		}
	}
}
