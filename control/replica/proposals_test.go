// Replies of a leader while a proposal is in flight: no reply is based on an uncommitted version, and no rejection is
// sent before a majority has confirmed the leader.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// electLeader makes the core the leader of partition 0, with the votes of replica "a" and the acknowledgements of "a"
// and "b".
func electLeader(t *testing.T, c *core) *Group {
	t.Helper()
	g := c.host.groups[0]
	c.feed(kernel.Tick{Plugin: "seats", Key: "tick"})
	c.now += 10 * clock.Second
	c.feed(kernel.Tick{Plugin: "seats", Key: "tick"})
	must.Eq(t, preCandidate, g.role)
	out := c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "a", Pre: true, Granted: true})
	c.sync(out)
	c.sync(c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "a", Granted: true}))
	must.Eq(t, leader, g.role)
	c.acceptProposal(g)
	must.True(t, g.ready)
	return g
}

// acceptProposal sends the acknowledgements of replicas "a" and "b" for the proposal, if there is one.
func (c *core) acceptProposal(g *Group) kernel.Output {
	if g.proposal == nil {
		return kernel.Output{}
	}
	accepted := wire.AcceptReply{Term: g.term, From: "a", Version: g.proposal.Version, OK: true}
	c.send(wire.KindAcceptReply, &accepted)
	accepted.From = "b"
	return c.send(wire.KindAcceptReply, &accepted)
}

// replies returns the codes of the replies to edits in an output, by request id.
func replies(t *testing.T, out kernel.Output) map[uint64]string {
	t.Helper()
	got := map[uint64]string{}
	for _, s := range out.Sends {
		f, err := wire.Open(s.Data)
		must.NoError(t, err)
		if f.Kind == wire.KindEditReply {
			var r wire.EditReply
			must.NoError(t, wire.Decode(f.Body, &r))
			got[f.ID] = string(r.Code)
		}
	}
	return got
}

func (c *core) edit(id uint64, e wire.Edit) kernel.Output {
	return c.feed(kernel.Received{Conn: 9, Data: wire.Seal(wire.KindEdit, id, &e)})
}

func TestEditsAreRepliedToAfterCommit(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	empty := wire.Edit{Op: "empty", Name: "z1", EditID: "one"}
	other := wire.Edit{Op: "refill", Name: "z1", EditID: "one"}
	must.MapEmpty(t, replies(t, c.edit(1, wire.Edit{Op: "empty", Name: "z0", EditID: "zero"})))
	// These edits wait for the proposal in flight and become one batch after it.
	must.MapEmpty(t, replies(t, c.edit(2, empty)))
	must.MapEmpty(t, replies(t, c.edit(3, empty)))
	must.MapEmpty(t, replies(t, c.edit(4, other)))
	must.Eq(t, map[uint64]string{1: "ok"}, replies(t, c.acceptProposal(g)), must.Sprint("the repeated edit must not be answered on the basis of an uncommitted version"))
	must.Eq(t, map[uint64]string{2: "ok", 3: "ok", 4: "conflict"}, replies(t, c.acceptProposal(g)))
}

func TestPendingEditsOfFencedLeaderAreUnknown(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	c.edit(1, wire.Edit{Op: "empty", Name: "z0", EditID: "zero"})
	c.edit(2, wire.Edit{Op: "empty", Name: "z1", EditID: "one"})
	c.edit(3, wire.Edit{Op: "empty", Name: "z1", EditID: "one"})
	c.acceptProposal(g)
	out := c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{Term: g.term + 1, From: "a"})
	must.Eq(t, map[uint64]string{2: "unknown", 3: "unknown"}, replies(t, out))
}

// A leader that is cut off by a network partition might reject an edit because of an outdated state. A leader may
// therefore reject an edit only after a majority has answered a heartbeat.
func TestRejectionsAreConfirmedByMajority(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	must.MapEmpty(t, replies(t, c.edit(1, wire.Edit{Op: "nonsense"})))
	round := g.heartbeatRound
	out := c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{Term: g.term, From: "a", Round: round - 1, Stored: g.accepted.Version, OK: true})
	must.MapEmpty(t, replies(t, out))
	out = c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{Term: g.term, From: "a", Round: round, Stored: g.accepted.Version, OK: true})
	must.Eq(t, map[uint64]string{1: "invalid"}, replies(t, out))
}
