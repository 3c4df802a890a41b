// Making a partition's group anew, on an operator's explicit word, when a majority of
// its disks is gone for good. A core that hears a leader refuses; so does one
// that holds something newer than it is offered.

package replica

import (
	"wallport/cluster/mesh"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// LeaderlessFor is how long no leader must have been heard of.
const LeaderlessFor = 5_000_000

func (g *Group) handleRebuild(ctx *kernel.Context, conn, id uint64, m wire.Rebuild) {
	reply := func(ctx *kernel.Context, why string) {
		held := g.accepted
		if m.VersionOnly || m.Apply {
			held.Body, held.EditLog = nil, nil
		}
		ctx.Send(conn, wire.KindRebuildReply, id, &wire.RebuildReply{Partition: g.partition, From: g.self(), OK: why == "", Reason: why, Stored: held})
	}
	switch {
	case g.host.diskProblem != "":
		reply(ctx, "the disk is "+g.host.diskProblem)
		return
	case g.role == leader || g.leaderSeen > 0 && ctx.Now-g.leaderSeen < LeaderlessFor:
		reply(ctx, "the part has an owner")
		return
	case !m.Apply:
		reply(ctx, "")
		return
	case !mesh.Newer(m.Versioned.Version, g.accepted.Version) || m.Versioned.Version.Term <= g.votedTerm:
		reply(ctx, "it holds or has promised something newer")
		return
	}
	v := m.Versioned
	g.votedTerm = v.Version.Term
	ctx.Log(kernel.LevelWarn, "part_rebuilt", "part", g.partition, "term", v.Version.Term, "seq", v.Version.Seq)
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
		reply(ctx, "")
	})
}

// isSuperseded tells that a version was committed which no majority of this group holds:
// the group was rebuilt without it, and it stands aside until it is given the newer one.
func (g *Group) isSuperseded(ctx *kernel.Context, best wire.Versioned) bool {
	v, ok := g.host.mesh.Partition(g.partition)
	if !ok || !mesh.Newer(v.Version, best.Version) {
		return false
	}
	ctx.Counts.Add("part_superseded", 1)
	ctx.Log(kernel.LevelWarn, "part_superseded", "part", g.partition, "holds_term", best.Version.Term, "newer_term", v.Version.Term)
	return true
}
