package replica

import (
	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// LeaderlessFor is how long a replica must have received no message from a leader before it takes part in a rebuild.
const LeaderlessFor = 5 * clock.Second

// Reasons for refusing a rebuild, as shown to operators.
const (
	refusalHasLeader   = "the part has an owner"
	refusalHoldsNewer  = "it holds or has promised something newer"
	refusalDiskProblem = "the disk is "
	noRefusal          = ""
)

// handleRebuild takes part in rebuilding a partition's group, on an explicit command of an operator, after a majority
// of its disks was lost permanently. The first request asks for the version that this replica holds. A request with
// Apply then contains the newest version that the operator's process has found, and this replica syncs that version. A
// replica refuses if a message from a leader arrived within LeaderlessFor or if its disk has a problem. It also
// refuses to apply a version that is not newer than its own, or whose term is not later than the term in which it last
// voted.
func (g *Group) handleRebuild(ctx *kernel.Context, conn, id uint64, request wire.Rebuild) {
	reply := func(ctx *kernel.Context, refusal string) {
		stored := g.accepted
		if request.VersionOnly || request.Apply {
			stored.Body, stored.EditLog = nil, nil
		}
		ctx.Send(conn, wire.KindRebuildReply, id, &wire.RebuildReply{Partition: g.partition, From: g.self(), OK: refusal == noRefusal, Reason: refusal, Stored: stored})
	}
	switch {
	case g.host.diskProblem != diskHealthy:
		reply(ctx, refusalDiskProblem+string(g.host.diskProblem))
		return
	case g.role == leader || g.leaderSeen > 0 && ctx.Now-g.leaderSeen < LeaderlessFor:
		reply(ctx, refusalHasLeader)
		return
	case !request.Apply:
		reply(ctx, noRefusal)
		return
	case !mesh.Newer(request.Versioned.Version, g.accepted.Version) || request.Versioned.Version.Term <= g.votedTerm:
		reply(ctx, refusalHoldsNewer)
		return
	}
	v := request.Versioned
	g.votedTerm = v.Version.Term
	ctx.Log(kernel.LevelWarn, "group_rebuilt", "partition", g.partition, "term", v.Version.Term, "seq", v.Version.Seq)
	g.host.save(ctx, versionFile(v.Version), wire.Encode(&v), func(ctx *kernel.Context, err string) {
		if err != "" {
			reply(ctx, err)
			return
		}
		if mesh.Newer(v.Version, g.accepted.Version) {
			g.accepted = v
		}
		g.versionFiles = append(g.versionFiles, v.Version)
		g.host.joinFleet(ctx)
		reply(ctx, noRefusal)
	})
}

// isSuperseded reports whether the mesh shows a committed version newer than best, the newest version held by a
// majority of this group. In that case the group was rebuilt without this replica, which must not lead until it
// receives the newer version.
func (g *Group) isSuperseded(ctx *kernel.Context, best wire.Versioned) bool {
	v, ok := g.host.mesh.Partition(g.partition)
	if !ok || !mesh.Newer(v.Version, best.Version) {
		return false
	}
	ctx.Counts.Add("part_superseded", 1)
	ctx.Log(kernel.LevelWarn, "group_superseded", "partition", g.partition, "holds_term", best.Version.Term, "newer_term", v.Version.Term)
	return true
}
