// Each invariant check reports a violation when the invariant does not hold.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/control/state"
	"wallport/lab/violation"
	"wallport/runtime/invariant"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// configVersion returns a version of the configuration whose routing table has the given revision.
func configVersion(t *testing.T, term, seq uint64, revision int64) wire.Versioned {
	t.Helper()
	table, err := proto.Marshal(&routingpb.RoutingTable{Revision: revision})
	must.NoError(t, err)
	body := wire.Encode(&wire.ConfigBody{Routing: table})
	return wire.Versioned{Version: wire.Version{Partition: state.ConfigPartition, Term: term, Seq: seq}, Voters: replicas("a", "b", "me"), Body: body}
}

func TestInvariantOneLeaderPerTerm(t *testing.T) {
	c := newCore(t, nil)
	heartbeat := func(from string, term uint64) invariant.Name {
		return violation.By(func() { c.send(wire.KindLeaderHeartbeat, &wire.LeaderHeartbeat{Term: term, From: from}) })
	}
	must.Eq(t, "", heartbeat("a", 3))
	must.Eq(t, "", heartbeat("b", 4))
	must.Eq(t, invariant.OneLeader, heartbeat("a", 4))
}

func TestInvariantOneContentPerVersion(t *testing.T) {
	c := newCore(t, nil)
	send := func(v wire.Versioned) (name invariant.Name) {
		return violation.By(func() { c.sync(c.send(wire.KindAccept, &wire.Accept{Term: v.Version.Term, From: "a", Versioned: v})) })
	}
	must.Eq(t, "", send(configVersion(t, 3, 1, 7)))
	must.Eq(t, "", send(configVersion(t, 3, 1, 7)))
	must.Eq(t, invariant.OneContentPerVersion, send(configVersion(t, 3, 1, 8)))
}

func TestInvariantsOfCommit(t *testing.T) {
	c := newCore(t, nil)
	g := c.host.groups[state.ConfigPartition]
	step := &kernel.Context{Now: c.now, Counts: c.kernel.Counts}
	commit := func(v wire.Versioned) invariant.Name { return violation.By(func() { g.commit(step, v) }) }
	must.Eq(t, "", commit(configVersion(t, 3, 1, 7)))
	must.Eq(t, "", commit(configVersion(t, 3, 2, 9)))
	must.Eq(t, invariant.RevisionIncreases, commit(configVersion(t, 4, 3, 8)))
	must.Eq(t, 1, c.kernel.Counts.Of(invariant.Counter(invariant.RevisionIncreases)).Load())

	g.term, g.votedTerm = 4, 5
	must.Eq(t, invariant.LeaderInItsTerm, violation.By(func() { g.checkLeaderTerm(step, configVersion(t, 4, 4, 9)) }))
	g.votedTerm = 4
	must.Eq(t, "", violation.By(func() { g.checkLeaderTerm(step, configVersion(t, 4, 4, 9)) }))
}
