// A disk that is slow, stalled or full: the group goes on without it, and it
// is a replica again as soon as it is well.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

func TestOwnerWithAStalledDiskCommitsByTheOthersAndStepsDown(t *testing.T) {
	c := newCore(t, nil)
	g := owns(t, c)
	c.beats(g, 200_000, "a", "b")
	c.edit(1, wire.Edit{Op: "empty", Name: "z0"})
	must.Eq(t, map[uint64]string{1: "ok"}, replies(t, c.take(g)), must.Sprint("two of three hold it"))
	c.beats(g, SlowDiskAfter+2*TickInterval, "a", "b")
	must.Eq(t, "stalled", c.s.diskProblem)
	must.Eq(t, follower, g.role)
	must.True(t, g.leader == "a" || g.leader == "b")
}

func TestSickSeatIsNoSuccessor(t *testing.T) {
	c := newCore(t, nil)
	g := owns(t, c)
	c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{Term: g.term, From: "a", Round: g.round, Stored: g.accepted.Version, OK: true, DiskProblem: true})
	c.now++
	must.Eq(t, "", g.bestSuccessor(&kernel.Context{Now: c.now}))
	c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{Term: g.term, From: "b", Round: g.round, Stored: g.accepted.Version, OK: true})
	must.Eq(t, "b", g.bestSuccessor(&kernel.Context{Now: c.now}))
}

func pre(t *testing.T, c *core, term uint64) wire.VoteReply {
	return sent[wire.VoteReply](t, c.send(wire.KindVote, &wire.Vote{Term: term, From: "a", Pre: true}), wire.KindVoteReply)[0]
}

func TestSlowDiskVotesAndAFullOneDoesNot(t *testing.T) {
	c := newCore(t, nil)
	c.s.setSick(&kernel.Context{}, "slow")
	must.True(t, pre(t, c, 5).Granted)
	c.s.setSick(&kernel.Context{}, "no space left on device")
	must.False(t, pre(t, c, 5).Granted)
	out := c.send(wire.KindVote, &wire.Vote{Term: 5, From: "a"})
	must.Len(t, 1, out.Writes)
	out = c.feed(kernel.Written{Plugin: "seats", Key: out.Writes[0].Key, Err: "no space left on device"})
	must.SliceEmpty(t, out.Sends, must.Sprint("a promise that is not on the disk is none"))
}

func TestFullDiskIsTriedAgainAndWellOnceThereIsRoom(t *testing.T) {
	c := newCore(t, nil)
	out := c.send(wire.KindAccept, &wire.Accept{Term: 5, From: "a", Versioned: version(5, 1)})
	c.feed(kernel.Written{Plugin: "seats", Key: out.Writes[0].Key, Err: "no space left on device"})
	must.NotEq(t, "", c.s.diskProblem)
	c.now += DiskProbeInterval
	out = c.tick()
	must.Len(t, 1, out.Writes)
	must.SliceEmpty(t, c.tick().Writes, must.Sprint("one try at a time"))
	c.sync(out)
	must.Eq(t, "", c.s.diskProblem)
	// What it missed is brought again, and taken.
	must.True(t, accepted(t, c.sync(c.send(wire.KindAccept, &wire.Accept{Term: 5, From: "a", Versioned: version(5, 1)}))).OK)
}

func TestNoSeatBeforeItsNameIsSynced(t *testing.T) {
	c := emptyCore(t, nil)
	delete(c.k.Boot.Files, "seat")
	c.s.replicaID, c.s.writes = "", map[string]func(*kernel.Context, string){}
	out := c.feed(kernel.Start{})
	must.Eq(t, "", c.s.ReplicaID())
	for _, w := range out.Writes {
		c.feed(kernel.Written{Plugin: "seats", Key: w.Key, Err: "no space left on device"})
	}
	must.Eq(t, "", c.s.ReplicaID())
	c.now += DiskProbeInterval + 1
	c.sync(c.tick())
	must.NotEq(t, "", c.s.ReplicaID())
}

// A replica that lacks the newest version is given it, but not with every heartbeat.
func TestHandingOverIsBounded(t *testing.T) {
	c := newCore(t, nil)
	g := owns(t, c)
	n := 0
	for range 20 {
		c.now += 100_000
		out := c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{Term: g.term, From: "b", Round: g.round, OK: true})
		n += len(sent[wire.Accept](t, out, wire.KindAccept))
	}
	must.Eq(t, 4, n)
}
