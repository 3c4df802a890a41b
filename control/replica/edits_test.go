// Edits at a leader: two edits with the same revision in one batch, repeated edits after an election and after a power
// loss, a leader without a majority, and which messages contain the edit log.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/control/state"
	"wallport/runtime/clock"
	"wallport/runtime/diskfile"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// routingEdit returns an edit that replaces the routing table by a table of the given revision. Tables with different
// limits differ in content.
func routingEdit(t *testing.T, base, revision, limit int64) wire.Edit {
	t.Helper()
	b, err := proto.Marshal(&routingpb.RoutingEdit{
		Base: base, Revision: revision, Whole: &routingpb.RoutingTable{Revision: revision, Limits: &routingpb.Limits{MaxBodyBytes: limit}},
	})
	must.NoError(t, err)
	return wire.Edit{Op: "routing", Body: b}
}

// confirmHeartbeat sends the reply of voter "a" to the newest heartbeat round. Together with the leader, a majority
// has then answered it.
func (c *core) confirmHeartbeat(g *Group) kernel.Output {
	return c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{Term: g.term, From: "a", Round: g.heartbeatRound, Stored: g.accepted.Version, OK: true})
}

// leaderWithTwoEdits returns a leader that has committed one edit in each of two versions.
func leaderWithTwoEdits(t *testing.T) (*core, *Group) {
	t.Helper()
	c := newCore(t, nil)
	g := electLeader(t, c)
	c.edit(1, routingEdit(t, 0, 5, 1))
	must.Eq(t, map[uint64]string{1: "ok"}, replies(t, c.acceptProposal(g)))
	c.edit(2, routingEdit(t, 5, 7, 1))
	must.Eq(t, map[uint64]string{2: "ok"}, replies(t, c.acceptProposal(g)))
	return c, g
}

func TestBatchTakesOneEditPerRevision(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	c.edit(1, routingEdit(t, 0, 5, 1))
	// These edits wait for the proposal in flight.
	c.edit(2, routingEdit(t, 5, 7, 1))
	c.edit(3, routingEdit(t, 5, 7, 2))
	c.edit(4, routingEdit(t, 5, 7, 1))
	must.Eq(t, map[uint64]string{1: "ok"}, replies(t, c.acceptProposal(g)))
	must.Eq(t, map[uint64]string{2: "ok", 3: "lost_race", 4: "ok"}, replies(t, c.acceptProposal(g)))
}

// A later leader knows the same edits, whether it is another replica that was elected or the same replica after a
// power loss.
func TestAcceptedEditsAreKnownToNextLeader(t *testing.T) {
	_, was := leaderWithTwoEdits(t)
	held := was.committed
	for name, start := range map[string]func() (*core, *Group){
		"power lost": func() (*core, *Group) {
			c := newCore(t, map[string][]byte{versionFile(held.Version): diskfile.Pack(wire.Encode(&held))})
			return c, electLeader(t, c)
		},
		"elected": func() (*core, *Group) {
			c := newCore(t, nil)
			g := c.host.groups[0]
			c.tick()
			c.now += 10 * clock.Second
			c.tick()
			out := c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "a", Pre: true, Granted: true})
			c.sync(out)
			c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "a", Granted: true, Stored: held})
			must.Eq(t, leader, g.role)
			c.acceptProposal(g)
			return c, g
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, g := start()
			must.True(t, g.ready)
			c.edit(1, routingEdit(t, 0, 5, 1))
			c.edit(2, routingEdit(t, 0, 5, 2))
			c.edit(3, routingEdit(t, 5, 7, 1))
			c.edit(4, routingEdit(t, 5, 7, 2))
			must.Eq(t, map[uint64]string{1: "ok", 2: "lost_race", 3: "ok", 4: "lost_race"}, replies(t, c.confirmHeartbeat(g)))
		})
	}
}

// A leader that is not answered by a majority replies to no edit, no repeated edit and no read.
func TestPartitionedLeaderRepliesToNoEdit(t *testing.T) {
	c, g := leaderWithTwoEdits(t)
	for id, e := range []wire.Edit{
		routingEdit(t, 0, 5, 1), routingEdit(t, 0, 5, 2), routingEdit(t, 7, 9, 1), routingEdit(t, 7, 9, 2), {Op: "empty", Name: "z"},
		{Op: wire.OpRead}, {Op: wire.OpZoneVersion, Name: "z"}, {Op: wire.OpHistory}, {Op: "nonsense"},
	} {
		must.MapEmpty(t, replies(t, c.edit(uint64(id), e)))
	}
	c.now += StepDownAfter + 1
	told := replies(t, c.tick())
	must.NotEq(t, leader, g.role)
	for id, code := range told {
		must.SliceContains(t, []string{"unknown", "not_owner"}, code, must.Sprint(id))
	}
	must.MapLen(t, 9, told)
}

// The edit log is sent between replicas only: pulls, announcements and denied votes omit it.
func TestEditLogIsSentToReplicasOnly(t *testing.T) {
	c, g := leaderWithTwoEdits(t)
	must.NotNil(t, g.committed.EditLog)
	out := c.send(wire.KindPull, &wire.Pull{})
	f, err := wire.Open(out.Sends[0].Data)
	must.NoError(t, err)
	var pulled wire.PullReply
	must.NoError(t, wire.Decode(f.Body, &pulled))
	must.Len(t, 1, pulled.Versions)
	must.Nil(t, pulled.Versions[0].EditLog)
	told, ok := c.host.mesh.Partition(state.ConfigPartition)
	must.True(t, ok)
	must.Nil(t, told.EditLog)
	must.Eq(t, g.committed.Body, told.Body)
	config, err := state.ReadConfig(told.Body)
	must.NoError(t, err)
	must.True(t, config.LegacyRevisions == nil && config.LegacyEdits == nil && config.LegacyHistory == nil)

	// A denied vote contains the number of the voter's version and nothing of its content.
	held := g.committed
	c = newCore(t, map[string][]byte{versionFile(held.Version): diskfile.Pack(wire.Encode(&held))})
	must.Eq(t, held.EditLog, c.host.groups[0].accepted.EditLog)
	denied := c.send(wire.KindVote, &wire.Vote{Term: held.Version.Term - 1, From: "b"})
	f, err = wire.Open(denied.Sends[0].Data)
	must.NoError(t, err)
	var vote wire.VoteReply
	must.NoError(t, wire.Decode(f.Body, &vote))
	must.False(t, vote.Granted)
	must.Nil(t, vote.Stored.EditLog)
}

// A delayed edit of a zone is rejected by the leader, and the rejection is confirmed by a majority.
func TestStaleZoneEditIsRejected(t *testing.T) {
	c, g := leaderWithTwoEdits(t)
	c.edit(1, wire.Edit{Op: wire.OpZoneVersion, Name: "z"})
	base := readVersion(t, c.confirmHeartbeat(g))
	c.edit(2, wire.Edit{Op: "refill", Name: "z", EditID: "newer", Base: base})
	must.Eq(t, map[uint64]string{2: "ok"}, replies(t, c.acceptProposal(g)))
	must.MapEmpty(t, replies(t, c.edit(3, wire.Edit{Op: "empty", Name: "z", EditID: "late", Base: base})))
	must.Eq(t, map[uint64]string{3: string(wire.CodeStale)}, replies(t, c.confirmHeartbeat(g)))
	must.Nil(t, g.proposal)
}

func readVersion(t *testing.T, out kernel.Output) wire.Version {
	t.Helper()
	for _, s := range out.Sends {
		f, err := wire.Open(s.Data)
		must.NoError(t, err)
		var r wire.EditReply
		if f.Kind == wire.KindEditReply && wire.Decode(f.Body, &r) == nil {
			must.Eq(t, wire.CodeVersion, r.Code)
			return r.Version
		}
	}
	t.Fatal("the output contains no reply to an edit")
	return wire.Version{}
}
