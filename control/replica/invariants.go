package replica

import (
	"bytes"
	"fmt"

	"wallport/control/state"
	"wallport/runtime/invariant"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// These invariant checks are always active. A violation is counted and logged; a check never changes the behaviour.

// electedLeader is the leader from which a replica last received a message, and its term.
type electedLeader struct {
	id   string
	term uint64
}

// checkOneLeader checks that no two replicas lead in the same term.
func (g *Group) checkOneLeader(ctx *kernel.Context, from string, term uint64) {
	heard := electedLeader{id: from, term: term}
	if g.lastLeader.term == term && g.lastLeader.id != from {
		ctx.ReportViolation(invariant.OneLeader, fmt.Sprintf("partition %d, term %d: both %s and %s lead", g.partition, term, g.lastLeader.id, from))
	}
	g.lastLeader = heard
}

// checkVersionContent checks that a version which this replica already holds has the same body when it is received
// again.
func (g *Group) checkVersionContent(ctx *kernel.Context, accept wire.Accept) {
	if accept.Base == (wire.Version{}) && !bytes.Equal(accept.Versioned.Body, g.accepted.Body) {
		ctx.ReportViolation(invariant.OneContentPerVersion, fmt.Sprintf("partition %d, version %d.%d received with two different bodies", g.partition, accept.Versioned.Version.Term, accept.Versioned.Version.Seq))
	}
}

// checkLeaderTerm checks that a leader commits only versions of its own term, and that it has not voted in a later
// term.
func (g *Group) checkLeaderTerm(ctx *kernel.Context, v wire.Versioned) {
	if v.Version.Term != g.term || g.votedTerm != g.term {
		ctx.ReportViolation(invariant.LeaderInItsTerm, fmt.Sprintf("partition %d: committing a version of term %d while leading term %d, voted in term %d", g.partition, v.Version.Term, g.term, g.votedTerm))
	}
}

// checkRevisionIncreases checks that a committed configuration does not contain an older routing table than the
// configuration committed before it.
func (g *Group) checkRevisionIncreases(ctx *kernel.Context, before, after wire.Versioned) {
	if g.partition != state.ConfigPartition || bytes.Equal(before.Body, after.Body) {
		return
	}
	was, is := revisionOf(before), revisionOf(after)
	if is < was {
		ctx.ReportViolation(invariant.RevisionIncreases, fmt.Sprintf("routing table revision %d committed after revision %d, in version %d.%d", is, was, after.Version.Term, after.Version.Seq))
	}
}

// revisionOf returns the revision of a configuration's routing table; 0 if there is none.
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
