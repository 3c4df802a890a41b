// A process that starts from stored data: it replies to known edits, honours its stored votes, and accepts new edits.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/control/state"
	"wallport/runtime/wire"
)

// storedReplica is the identity of the replica in the folders that this code creates from an empty disk.
const storedReplica = "b5e38c12376b5207"

// storedReply is an edit and its expected reply.
type storedReply struct {
	name string
	edit wire.Edit
	code wire.Code
	// term and seq are the version in the reply.
	term, seq uint64
}

// checkReplies sends edits to a leader, one after the other, and checks the replies.
func (c *storedCore) checkReplies(g *Group, voters []string, want []storedReply) {
	c.t.Helper()
	for _, a := range want {
		r := c.edit(g, a.edit, voters...)
		must.Eq(c.t, a.code, r.Code, must.Sprint(a.name, r.Findings))
		must.Eq(c.t, wire.Version{Partition: g.partition, Term: a.term, Seq: a.seq}, r.Version, must.Sprint(a.name))
	}
}

func TestStoredConsentIsCompleted(t *testing.T) {
	c := startStored(t, readStored(t, "consented"))
	must.Eq(t, storedReplica, c.host.ReplicaID())
	before := string(c.files["formation"])
	answer := func(f wire.Bootstrap) []wire.BootstrapReply {
		return sent[wire.BootstrapReply](t, c.send(wire.KindBootstrap, &f), wire.KindBootstrapReply)
	}
	bootstrap := storedBootstrap(storedReplica)
	must.Eq(t, []wire.BootstrapReply{{BootstrapID: "first", From: storedReplica, OK: true}}, answer(bootstrap))
	other := wire.Bootstrap{BootstrapID: "second", Voters: bootstrap.Voters, Proposer: bootstrap.Voters[2]}
	must.Eq(t, []wire.BootstrapReply{{BootstrapID: "second", From: storedReplica, Proposer: bootstrap.Voters[1]}}, answer(other))
	must.Eq(t, before, string(c.files["formation"]))
	bootstrap.Commit = true
	must.SliceEmpty(t, answer(bootstrap))
	must.Eq(t, []wire.BootstrapReply{{BootstrapID: "second", From: storedReplica, Bootstrapped: true}}, answer(other))
	must.True(t, startStored(t, c.files).host.bootstrapped)
	must.True(t, c.lead(0, "a").ready)
}

func TestStoredEditsAreKnown(t *testing.T) {
	c := startStored(t, readStored(t, "settled"))
	g := c.lead(0, "a")
	must.Eq(t, wire.Version{Term: 2, Seq: 8}, c.host.CommittedVersion(0))
	configAt := wire.Version{Term: 1, Seq: 3}
	c.checkReplies(g, []string{"a"}, []storedReply{
		{"first configuration repeated", storedPut(wire.Version{}, 100, "sheet-1"), "ok", 1, 2},
		{"second configuration repeated", storedPut(wire.Version{Term: 1, Seq: 2}, 200, "sheet-2"), "ok", 1, 3},
		{"the same id with different content", storedPut(configAt, 300, "sheet-2"), "conflict", 2, 8},
		{"a configuration based on an earlier one", storedPut(wire.Version{Term: 1, Seq: 2}, 300, "sheet-3"), "lost_race", 1, 3},
		{"first routing table repeated", routingEdit(t, 0, 5, 1), "ok", 1, 4},
		{"second routing table repeated", routingEdit(t, 5, 7, 1), "ok", 1, 5},
		{"another routing table of the same revision", routingEdit(t, 5, 7, 2), "lost_race", 2, 8},
		{"zone drain repeated", wire.Edit{Op: "empty", Name: "z9", EditID: "drain-1"}, "ok", 1, 6},
		{"the version of the zone's drain", wire.Edit{Op: wire.OpZoneVersion, Name: "z9"}, wire.CodeVersion, 1, 6},
		{"an outdated edit of the zone", wire.Edit{Op: "refill", Name: "z9", EditID: "late"}, wire.CodeStale, 2, 8},
		{"a current edit of the zone", wire.Edit{Op: "refill", Name: "z9", EditID: "timely", Base: wire.Version{Term: 1, Seq: 6}}, "ok", 2, 9},
		{"a new routing table", routingEdit(t, 7, 9, 1), "ok", 2, 10},
		{"a new configuration", storedPut(configAt, 300, "sheet-3"), "ok", 2, 11},
		{"the first configuration restored", wire.Edit{Op: "return", Name: "1.2", EditID: "back", Base: wire.Version{Term: 2, Seq: 11}}, "ok", 2, 12},
	})
	config := storedConfig(t, g.committed)
	must.Eq(t, []string{"b1"}, config.ActiveBookings)
	must.Eq(t, []string{"z8"}, config.DrainedZones)
	must.Eq(t, 100, int(state.ConfigurationOf(config).Services[0].Capacity))

	g = c.lead(storedIndexPartition, "a")
	c.checkReplies(g, []string{"a"}, []storedReply{
		{"first resharding repeated", storedReshardEdit("cut", "cut-1", storedFirstReshard), "ok", 1, 2},
		{"second resharding repeated", storedReshardEdit("cut", "cut-2", storedSecondReshard), "ok", 1, 3},
		{"the same id with different content", storedReshardEdit("cut", "cut-2", wire.ShardMap{Next: "c3", NextShards: 1}), "conflict", 2, 5},
		{"switch to the new shard map", storedReshardEdit("flip", "flip-1", wire.ShardMap{Name: "c1", Shards: 4, Next: "c2", NextShards: 8}), "ok", 2, 6},
	})
	index, err := state.ReadIndex(g.committed.Body)
	must.NoError(t, err)
	must.Eq(t, map[string]wire.ShardMap{"docs": {Name: "c2", Shards: 8}}, index.ShardMaps)
	must.Eq(t, map[string]wire.LeaseHolder{"move docs": {Node: "node-1", LeaseID: 1}}, index.LeaseHolders)
}

func TestStoredVotesBind(t *testing.T) {
	c := startStored(t, readStored(t, "settled"))
	vote := func(v wire.Vote) wire.VoteReply {
		replies := sent[wire.VoteReply](t, c.send(wire.KindVote, &v), wire.KindVoteReply)
		must.Len(t, 1, replies)
		return replies[0]
	}
	must.False(t, vote(wire.Vote{Partition: 2, Term: 5, From: "b"}).Granted)
	denied := vote(wire.Vote{Partition: 2, Term: 6, From: "a"})
	must.False(t, denied.Granted)
	must.Eq(t, uint64(6), denied.Term)
	must.True(t, vote(wire.Vote{Partition: 2, Term: 6, From: "b"}).Granted)
	must.True(t, vote(wire.Vote{Partition: 2, Term: 7, From: "a"}).Granted)
	must.False(t, vote(wire.Vote{Partition: 3, Term: 3, From: "a"}).Granted)
	late := wire.Versioned{Version: wire.Version{Partition: 3, Term: 3, Seq: 20}, Voters: storedVoters(storedReplica)}
	refused := acceptReply(t, c.send(wire.KindAccept, &wire.Accept{Partition: 3, Term: 3, From: "a", Versioned: late}))
	must.False(t, refused.OK)
	must.Eq(t, uint64(4), refused.Term)
	must.Eq(t, wire.Version{Partition: 3, Term: 4, Seq: 9}, vote(wire.Vote{Partition: 3, Term: 5, From: "a"}).Stored.Version)
}

func TestStoredBodiesWithoutEditLogAreAdopted(t *testing.T) {
	c := startStored(t, readStored(t, "before-release-3"))
	must.Eq(t, "0123456789abcdef", c.host.ReplicaID())
	must.Eq(t, "0123456789abcdef", c.host.bootstrap.Proposer.ID, must.Sprint("the first voter must be taken as the proposer"))
	g := c.lead(0, "a")
	c.checkReplies(g, []string{"a"}, []storedReply{
		{"first configuration repeated", storedPut(wire.Version{}, 100, "sheet-1"), "ok", 2, 2},
		{"the same id with different content", storedPut(wire.Version{Term: 2, Seq: 3}, 300, "sheet-2"), "conflict", 3, 7},
		{"first routing table repeated", routingEdit(t, 0, 5, 1), "ok", 2, 4},
		{"second routing table repeated", routingEdit(t, 5, 7, 1), "ok", 2, 5},
		{"another routing table of the same revision", routingEdit(t, 5, 7, 2), "lost_race", 3, 7},
		{"a new routing table", routingEdit(t, 7, 9, 1), "ok", 3, 8},
		{"second configuration repeated", storedPut(wire.Version{}, 200, "sheet-2"), "ok", 2, 3},
		{"the first configuration restored", wire.Edit{Op: "return", Name: "2.2", EditID: "back", Base: wire.Version{Term: 2, Seq: 3}}, "ok", 3, 9},
	})
	config, editLog := storedConfig(t, g.committed), storedEditLog(t, g.committed)
	must.True(t, config.LegacyEdits == nil && config.LegacyRevisions == nil && config.LegacyHistory == nil)
	must.Eq(t, []string{"z8", "z9"}, config.DrainedZones)
	must.Len(t, 3, editLog.RoutingEdits)
	must.Len(t, 3, editLog.Edits)
	must.Len(t, 3, editLog.History)

	g = c.lead(storedIndexPartition, "a")
	c.checkReplies(g, []string{"a"}, []storedReply{
		{"first resharding repeated", storedReshardEdit("cut", "cut-1", storedFirstReshard), "ok", 3, 4},
		{"the same id with different content", storedReshardEdit("cut", "cut-1", storedSecondReshard), "conflict", 4, 5},
		{"another resharding", storedReshardEdit("cut", "cut-3", wire.ShardMap{Next: "c3", NextShards: 2}), "ok", 4, 6},
	})
}
