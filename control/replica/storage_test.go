// Disks that are slow, stalled or full: the group continues without the replica, which takes part again once its disk
// is healthy.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

func TestLeaderWithStalledDiskTransfersLeadership(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	c.exchangeHeartbeats(g, 200*clock.Millisecond, "a", "b")
	c.edit(1, wire.Edit{Op: "empty", Name: "z0"})
	must.Eq(t, map[uint64]string{1: "ok"}, replies(t, c.acceptProposal(g)), must.Sprint("the edit must be acknowledged, because two of three voters have synced it"))
	c.exchangeHeartbeats(g, SlowDiskAfter+2*TickInterval, "a", "b")
	must.Eq(t, "stalled", c.host.diskProblem)
	must.Eq(t, follower, g.role)
	must.True(t, g.leader == "a" || g.leader == "b")
}

func TestVoterWithDiskProblemIsNoSuccessor(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{Term: g.term, From: "a", Round: g.heartbeatRound, Stored: g.accepted.Version, OK: true, DiskProblem: true})
	c.now++
	must.Eq(t, "", g.bestSuccessor(&kernel.Context{Now: c.now}))
	c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{Term: g.term, From: "b", Round: g.heartbeatRound, Stored: g.accepted.Version, OK: true})
	must.Eq(t, "b", g.bestSuccessor(&kernel.Context{Now: c.now}))
}

func preVote(t *testing.T, c *core, term uint64) wire.VoteReply {
	t.Helper()
	return sent[wire.VoteReply](t, c.send(wire.KindVote, &wire.Vote{Term: term, From: "a", Pre: true}), wire.KindVoteReply)[0]
}

func TestPreVoteBySlowAndFullDisk(t *testing.T) {
	c := newCore(t, nil)
	c.host.setDiskProblem(&kernel.Context{}, "slow")
	must.True(t, preVote(t, c, 5).Granted)
	c.host.setDiskProblem(&kernel.Context{}, "no space left on device")
	must.False(t, preVote(t, c, 5).Granted)
	out := c.send(wire.KindVote, &wire.Vote{Term: 5, From: "a"})
	must.Len(t, 1, out.Writes)
	out = c.feed(kernel.Written{Plugin: "seats", Key: out.Writes[0].Key, Err: "no space left on device"})
	must.SliceEmpty(t, out.Sends, must.Sprint("a vote that could not be synced must not be sent"))
}

func TestFullDiskRecovers(t *testing.T) {
	c := newCore(t, nil)
	out := c.send(wire.KindAccept, &wire.Accept{Term: 5, From: "a", Versioned: version(5, 1)})
	c.feed(kernel.Written{Plugin: "seats", Key: out.Writes[0].Key, Err: "no space left on device"})
	must.NotEq(t, "", c.host.diskProblem)
	c.now += DiskCheckInterval
	out = c.tick()
	must.Len(t, 1, out.Writes)
	must.SliceEmpty(t, c.tick().Writes, must.Sprint("only one test write may be in progress at a time"))
	c.sync(out)
	must.Eq(t, "", c.host.diskProblem)
	// The version that the replica missed is sent again and synced.
	must.True(t, acceptReply(t, c.sync(c.send(wire.KindAccept, &wire.Accept{Term: 5, From: "a", Versioned: version(5, 1)}))).OK)
}

func TestReplicaIDIsSyncedBeforeUse(t *testing.T) {
	c := emptyCore(t, nil)
	delete(c.kernel.Boot.Files, "seat")
	c.host.replicaID, c.host.onWritten = "", map[string]writeDone{}
	out := c.feed(kernel.Start{})
	must.Eq(t, "", c.host.ReplicaID())
	for _, w := range out.Writes {
		c.feed(kernel.Written{Plugin: "seats", Key: w.Key, Err: "no space left on device"})
	}
	must.Eq(t, "", c.host.ReplicaID())
	c.now += DiskCheckInterval + 1
	c.sync(c.tick())
	must.NotEq(t, "", c.host.ReplicaID())
}

// A leader sends the newest version to a replica that lacks it, but not after every heartbeat reply.
func TestCatchUpIsRateLimited(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	n := 0
	for range 20 {
		c.now += 100 * clock.Millisecond
		out := c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{Term: g.term, From: "b", Round: g.heartbeatRound, OK: true})
		n += len(sent[wire.Accept](t, out, wire.KindAccept))
	}
	must.Eq(t, 4, n)
}
