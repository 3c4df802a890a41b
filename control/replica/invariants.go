// What a replica checks of the promises that the control state makes, while it runs.

package replica

import (
	"bytes"
	"fmt"

	"wallport/control/state"
	"wallport/runtime/invariant"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// electedLeader is the leader that a replica heard last, and in which term.
type electedLeader struct {
	id   string
	term uint64
}

// checkOneLeader sees that no two replicas lead one term.
func (g *Group) checkOneLeader(ctx *kernel.Context, from string, term uint64) {
	heard := electedLeader{id: from, term: term}
	if g.lastLeader.term == term && g.lastLeader.id != from {
		ctx.ReportViolation(invariant.OneLeader, fmt.Sprintf("partition %d, term %d: %s and %s", g.partition, term, g.lastLeader.id, from))
	}
	g.lastLeader = heard
}

// checkVersionContent sees that a version which is brought again is the one that is held.
func (g *Group) checkVersionContent(ctx *kernel.Context, a wire.Accept) {
	if a.Base == (wire.Version{}) && !bytes.Equal(a.Versioned.Body, g.accepted.Body) {
		ctx.ReportViolation(invariant.OneContentPerVersion, fmt.Sprintf("partition %d, version %d.%d", g.partition, a.Versioned.Version.Term, a.Versioned.Version.Seq))
	}
}

// checkLeaderTerm sees that a leader commits in its own term alone, before any later one that it knows of.
func (g *Group) checkLeaderTerm(ctx *kernel.Context, v wire.Versioned) {
	if v.Version.Term != g.term || g.votedTerm != g.term {
		ctx.ReportViolation(invariant.LeaderInItsTerm, fmt.Sprintf("partition %d, version of term %d, leads term %d, voted term %d", g.partition, v.Version.Term, g.term, g.votedTerm))
	}
}

// checkRevisionRises sees that a committed configuration has no older routing table than the one before it.
func (g *Group) checkRevisionRises(ctx *kernel.Context, before, after wire.Versioned) {
	if g.partition != state.ConfigPartition || bytes.Equal(before.Body, after.Body) {
		return
	}
	was, is := revisionOf(before), revisionOf(after)
	if is < was {
		ctx.ReportViolation(invariant.RevisionIncreases, fmt.Sprintf("revision %d after %d, version %d.%d", is, was, after.Version.Term, after.Version.Seq))
	}
}

// revisionOf is the revision of a configuration's routing table; 0 where there is none.
func revisionOf(v wire.Versioned) int64 {
	config, err := state.ReadConfig(v.Body)
	if err != nil {
		return 0
	}
	table, err := state.RoutingOf(config)
	if err != nil {
		return 0
	}
	return table.GetRevision()
}
