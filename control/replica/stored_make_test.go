// The folders of testdata/stored and how they were created. If this release still writes the same data, a folder was
// created by running the process; otherwise it was written field by field, as the earlier release wrote it.

package replica

import (
	"bytes"
	"flag"
	"fmt"
	"hash/fnv"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/control/routing"
	"wallport/runtime/diskfile"
	"wallport/runtime/wire"
)

// updateStored is set, with -run StoredData, only to add a folder. The existing folders represent earlier releases
// and are never regenerated to make a test pass.
var updateStored = flag.Bool("update-stored", false, "write the folders of stored data anew")

// storedConfiguration is a configuration with one service of the given capacity and an active booking.
const storedConfiguration = `{"services":[{"index":"a","capacity":%d,"required_share":75,"deadline_us":"500000","max_deadline_us":1000000,"hedge_us":40000,"ramp_us":1000000}],
 "rows":[{"index":"a","kind":"search","share":70},{"index":"a","kind":"read","share":30,"ceiling":50}],"bookings":[{"id":"b1","index":"a","kind":"search","slice":60,"starts_us":1,"ends_us":4000000000000000}]}`

func storedPut(base wire.Version, capacity int, id string) wire.Edit {
	return wire.Edit{Op: "put", Strict: true, Base: base, Body: fmt.Appendf(nil, storedConfiguration, capacity), EditID: id, By: "ann"}
}

func storedReshardEdit(op, id string, target wire.ShardMap) wire.Edit {
	return wire.Edit{Op: op, Name: "docs", EditID: id, Body: wire.Encode(&target)}
}

var (
	storedFirstReshard  = wire.ShardMap{Next: "c1", NextShards: 4}
	storedSecondReshard = wire.ShardMap{Next: "c2", NextShards: 8}
)

// storedIndexPartition is the partition that contains an index in the folders.
const storedIndexPartition = 1

// storedVoters returns the voters in the folders: this core, "a" and "b".
func storedVoters(self string) []wire.Replica {
	return []wire.Replica{{ID: self, Zone: "z1", Addr: "10.0.0.1:1"}, {ID: "a", Zone: "z2", Addr: "10.0.0.2:1"}, {ID: "b", Zone: "z3", Addr: "10.0.0.3:1"}}
}

func storedBootstrap(self string) wire.Bootstrap {
	return wire.Bootstrap{BootstrapID: "first", Voters: storedVoters(self), Proposer: storedVoters(self)[1]}
}

// makeConsented returns a core that has consented to a bootstrap which is not complete.
func makeConsented(t *testing.T) *storedCore {
	t.Helper()
	c := startStored(t, nil)
	bootstrap := storedBootstrap(c.host.replicaID)
	replies := sent[wire.BootstrapReply](t, c.send(wire.KindBootstrap, &bootstrap), wire.KindBootstrapReply)
	must.Len(t, 1, replies)
	must.True(t, replies[0].OK)
	return c
}

// makeCommitted returns a core with every kind of file. Partition 0 has a configuration with an active booking, its
// history, a routing table and drained zones. Partition 1 has an index that is being resharded and the lease holder
// of that task. Partition 2 has only a vote, partition 3 a version from another leader, and partition 4 nothing. The
// disk was full for a while.
func makeCommitted(t *testing.T) *storedCore {
	t.Helper()
	c := makeConsented(t)
	bootstrap := storedBootstrap(c.host.replicaID)
	bootstrap.Commit = true
	c.send(wire.KindBootstrap, &bootstrap)
	g := c.lead(0, "a", "b")
	ok := func(g *Group, e wire.Edit) wire.Version {
		r := c.edit(g, e, "a", "b")
		must.Eq(t, "ok", r.Code, must.Sprint(e.Op, r.Findings))
		return r.Version
	}
	first := ok(g, storedPut(wire.Version{}, 100, "sheet-1"))
	ok(g, storedPut(first, 200, "sheet-2"))
	ok(g, routingEdit(t, 0, 5, 1))
	ok(g, routingEdit(t, 5, 7, 1))
	ok(g, wire.Edit{Op: "empty", Name: "z9", EditID: "drain-1"})
	ok(g, wire.Edit{Op: "empty", Name: "z8", EditID: "drain-2"})
	must.Eq(t, 7, g.committed.Version.Seq)
	must.Eq(t, []string{"b1"}, storedConfig(t, g.committed).ActiveBookings, must.Sprint("the booking must be active, because the voters' clocks agree that it has started"))
	c.send(wire.KindVote, &wire.Vote{Partition: 2, Term: 6, From: "b"})
	v := wire.Versioned{Version: wire.Version{Partition: 3, Term: 4, Seq: 9}, Voters: bootstrap.Voters, PreviousVoters: bootstrap.Voters, Body: wire.Encode(&wire.IndexBody{
		ShardMaps: map[string]wire.ShardMap{"maps": {Name: "m1", Shards: 3}},
	})}
	c.send(wire.KindAccept, &wire.Accept{Partition: 3, Term: 4, From: "b", Versioned: v})
	g = c.lead(storedIndexPartition, "a", "b")
	ok(g, storedReshardEdit("cut", "cut-1", storedFirstReshard))
	ok(g, storedReshardEdit("cut", "cut-2", storedSecondReshard))
	// The node's lease is granted and recorded once the leases of any earlier leader have ended.
	for range 30 {
		c.tick(TickInterval)
		c.replyToHeartbeat(g, "a")
		c.send(wire.KindLeaseRequest, &wire.LeaseRequest{Partition: g.partition, Task: "move docs", From: "node-1"})
		if g.proposal != nil {
			c.commit(g, "a", "b")
		}
	}
	must.Eq(t, 4, g.committed.Version.Seq)
	// The vote in partition 4 cannot be synced; then a test write shows that the disk is healthy again.
	c.full = true
	c.send(wire.KindVote, &wire.Vote{Partition: 4, Term: 3, From: "b"})
	c.full = false
	c.tick(DiskCheckInterval)
	must.MapContainsKey(t, c.files, "probe")
	return c
}

// makeJoint returns the core of makeCommitted after replica "b2", which runs on the emptied disk of "b", has caught
// up. Its newest version is the joint version.
func makeJoint(t *testing.T) *storedCore {
	t.Helper()
	c := startStored(t, makeCommitted(t).files)
	g := c.lead(0, "a", "b")
	c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{From: "b", Successor: "b2", Zone: "z3"})
	c.tick(TickInterval)
	must.NotNil(t, g.change)
	c.send(wire.KindAcceptReply, &wire.AcceptReply{Term: g.term, From: "b2", Version: g.committed.Version, OK: true})
	must.NotNil(t, g.proposal)
	must.True(t, isJoint(*g.proposal))
	must.Eq(t, g.proposal.Version, g.accepted.Version)
	return c
}

// makeBeforeRelease3 returns a core that starts on files as release 1 wrote them: the bootstrap does not name its
// proposer, and the bodies contain the data that is part of the edit log since release 3.
func makeBeforeRelease3(t *testing.T) *storedCore {
	t.Helper()
	own := "0123456789abcdef"
	bootstrap := wire.Bootstrap{BootstrapID: "old", Voters: storedVoters(own), Commit: true}
	at := func(seq uint64) wire.Version { return wire.Version{Term: 2, Seq: seq} }
	indexAt := wire.Version{Partition: storedIndexPartition, Term: 3, Seq: 4}
	settled := makeCommitted(t).host.groups[0].committed
	config := storedConfig(t, settled)
	history := storedEditLog(t, settled).History
	must.Len(t, 2, history)
	history[0].Version, history[1].Version = at(2), at(3)
	config.ConfigVersion, config.LegacyHistory = at(3), history
	config.LegacyEdits = []wire.LegacyEdit{
		{EditID: "sheet-1", Sum: legacySum(storedPut(wire.Version{}, 100, "")), Version: at(2)},
		{EditID: "sheet-2", Sum: legacySum(storedPut(wire.Version{}, 200, "")), Version: at(3)},
	}
	for i, e := range []wire.Edit{routingEdit(t, 0, 5, 1), routingEdit(t, 5, 7, 1)} {
		var sent routingpb.RoutingEdit
		must.NoError(t, proto.Unmarshal(e.Body, &sent))
		config.LegacyRevisions = append(config.LegacyRevisions, wire.LegacyRevision{Number: sent.Revision, Sum: routing.LegacyDigest(&sent), Base: sent.Base, Version: at(4 + uint64(i))})
	}
	index := wire.IndexBody{
		ShardMaps:    map[string]wire.ShardMap{"docs": {Name: "c1", Shards: 4, Next: "c2", NextShards: 8}},
		LeaseHolders: map[string]wire.LeaseHolder{"move docs": {Node: "node-1", LeaseID: 1}},
		LegacyEdits:  []wire.LegacyEdit{{EditID: "cut-1", Sum: legacySum(storedReshardEdit("cut", "", storedFirstReshard)), Version: indexAt}},
	}
	versions := []wire.Versioned{
		{Version: at(6), Voters: bootstrap.Voters, PreviousVoters: bootstrap.Voters, Body: wire.Encode(&config)},
		{Version: indexAt, Voters: bootstrap.Voters, PreviousVoters: bootstrap.Voters, Body: wire.Encode(&index)},
	}
	files := map[string][]byte{
		"seat": diskfile.Pack([]byte(own)), "formation": diskfile.Pack(wire.Encode(&bootstrap)),
		"part-0.promise":                         diskfile.Pack(wire.Encode(&wire.Vote{Term: 2, From: own})),
		"part-0.stamp-000000000002-000000000006": diskfile.Pack(wire.Encode(&versions[0])),
		"part-1.stamp-000000000003-000000000004": diskfile.Pack(wire.Encode(&versions[1])),
	}
	return startStored(t, files)
}

// legacySum returns the digest of an edit as releases before 3 stored it.
func legacySum(e wire.Edit) uint64 {
	h := fnv.New64a()
	h.Write([]byte(e.Op + "\x00" + e.Name + "\x00"))
	h.Write(e.Body)
	return h.Sum64()
}

// storedFolders lists the folders and the functions that create them.
var storedFolders = []struct {
	name string
	make func(*testing.T) *storedCore
}{
	{"consented", makeConsented},
	{"settled", makeCommitted},
	{"joint", makeJoint},
	{"before-release-3", makeBeforeRelease3},
}

// TestStoredDataIsWrittenAsBefore creates the folders again and compares them: this release must write the same
// files.
func TestStoredDataIsWrittenAsBefore(t *testing.T) {
	for _, folder := range storedFolders {
		t.Run(folder.name, func(t *testing.T) {
			made := folder.make(t).files
			if *updateStored {
				writeStored(t, folder.name, made)
			}
			stored := readStored(t, folder.name)
			must.Eq(t, sortedKeys(stored), sortedKeys(made))
			for name := range stored {
				must.True(t, bytes.Equal(stored[name], made[name]), must.Sprint(name))
			}
		})
	}
}
