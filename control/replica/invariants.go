package replica

import (
	"bytes"
	"fmt"

	"wallport/control/state"
	"wallport/runtime/invariant"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// These checks of invariants run all the time. A violation is counted and logged; the check changes nothing.

// electedLeader is the leader that a replica heard last, and in which term.
type electedLeader struct {
	id   string
	term uint64
}

// checkOneLeader checks that no two replicas lead one term.
func (g *Group) checkOneLeader(ctx *kernel.Context, from string, term uint64) {
	heard := electedLeader{id: from, term: term}
	if g.lastLeader.term == term && g.lastLeader.id != from {
		ctx.ReportViolation(invariant.OneLeader, fmt.Sprintf("partition %d, term %d: %s and %s", g.partition, term, g.lastLeader.id, from))
	}
	g.lastLeader = heard
}

// checkVersionContent checks that a version that is sent again has the content that is held.
func (g *Group) checkVersionContent(ctx *kernel.Context, accept wire.Accept) {
	if accept.Base == (wire.Version{}) && !bytes.Equal(accept.Versioned.Body, g.accepted.Body) {
		ctx.ReportViolation(invariant.OneContentPerVersion, fmt.Sprintf("partition %d, version %d.%d", g.partition, accept.Versioned.Version.Term, accept.Versioned.Version.Seq))
	}
}

// checkLeaderTerm checks that a leader commits only in its own term, and has voted in no later one.
func (g *Group) checkLeaderTerm(ctx *kernel.Context, v wire.Versioned) {
	if v.Version.Term != g.term || g.votedTerm != g.term {
		ctx.ReportViolation(invariant.LeaderInItsTerm, fmt.Sprintf("partition %d, version of term %d, leads term %d, voted term %d", g.partition, v.Version.Term, g.term, g.votedTerm))
	}
}

// checkRevisionIncreases checks that a committed configuration has no older routing table than the one before it.
func (g *Group) checkRevisionIncreases(ctx *kernel.Context, before, after wire.Versioned) {
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
