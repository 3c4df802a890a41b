// A membership change that was in progress when the process ended is resumed: the joint version needs both
// majorities, and the version after it needs the new voters only.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/wire"
)

func TestStoredMembershipChangeResumes(t *testing.T) {
	c := startStored(t, readStored(t, "joint"))
	must.True(t, isJoint(c.host.groups[0].accepted))
	g := c.lead(0, "a")
	must.Eq(t, wire.Version{Term: 3, Seq: 10}, c.host.CommittedVersion(0))
	must.Eq(t, []string{storedReplica, "a", "b2"}, ids(g.committed.Voters))
	must.Eq(t, []string{storedReplica, "a", "b"}, ids(g.committed.PreviousVoters))
	if g.proposal == nil {
		c.tick(TickInterval)
	}
	c.commit(g, "b2")
	must.Eq(t, wire.Version{Term: 3, Seq: 11}, c.host.CommittedVersion(0))
	must.Eq(t, []string{storedReplica, "a", "b2"}, ids(c.host.VotersOf(0)))
	must.Eq(t, []string{storedReplica, "a", "b2"}, ids(g.committed.PreviousVoters))
	// Edits from before the change are still known, and new edits need a majority of the new voters only.
	c.checkReplies(g, []string{"b2"}, []storedReply{
		{"first configuration repeated", storedPut(wire.Version{}, 100, "sheet-1"), "ok", 1, 2},
		{"second routing table repeated", routingEdit(t, 5, 7, 1), "ok", 1, 5},
		{"a new routing table", routingEdit(t, 7, 9, 1), "ok", 3, 12},
	})
	must.Eq(t, []wire.Replica{{ID: storedReplica, Zone: "z1", Addr: "10.0.0.1:1"}, {ID: "a", Zone: "z2", Addr: "10.0.0.2:1"}, {ID: "b2", Zone: "z3", Addr: "10.0.0.3:1"}}, c.host.VotersOf(0))
	// The next process finds the change completed.
	again := startStored(t, c.files)
	must.False(t, isJoint(again.host.groups[0].accepted))
	must.Eq(t, wire.Version{Term: 3, Seq: 12}, again.host.groups[0].accepted.Version)
}

func TestStoredMembershipChangeNeedsBothMajorities(t *testing.T) {
	for _, alone := range []string{"b", "b2"} {
		t.Run(alone, func(t *testing.T) {
			c := startStored(t, readStored(t, "joint"))
			g := c.preVote(0)
			c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: alone, Pre: true, Granted: true})
			must.Eq(t, preCandidate, g.role, must.Sprint("votes from only one of the two majorities must not be sufficient"))
			c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "a", Pre: true, Granted: true})
			must.Eq(t, candidate, g.role)
			c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: alone, Granted: true})
			must.Eq(t, candidate, g.role, must.Sprint("votes from only one of the two majorities must not be sufficient"))
			c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "a", Granted: true})
			must.Eq(t, leader, g.role)
		})
	}
}

// Another voter may become the leader and complete the change. This replica then accepts a version without its body if
// it holds the version with the same body (Base).
func TestStoredMembershipChangeIsFollowed(t *testing.T) {
	c := startStored(t, readStored(t, "joint"))
	held := c.host.groups[0].accepted
	next := wire.Versioned{Version: wire.Version{Term: 3, Seq: 10}, Voters: held.Voters, PreviousVoters: held.Voters}
	r := acceptReply(t, c.send(wire.KindAccept, &wire.Accept{To: storedReplica, Term: 3, From: "a", Versioned: next, Base: wire.Version{Term: 2, Seq: 9}}))
	must.True(t, r.OK)
	must.Eq(t, next.Version, r.Version)
	c.send(wire.KindLeaderHeartbeat, &wire.LeaderHeartbeat{To: storedReplica, Term: 3, From: "a", Round: 1, Committed: next.Version})
	must.Eq(t, next.Version, c.host.CommittedVersion(0))
	must.Eq(t, []string{storedReplica, "a", "b2"}, ids(c.host.VotersOf(0)))
	must.Eq(t, held.Body, c.host.groups[0].committed.Body)
	must.Eq(t, held.EditLog, c.host.groups[0].committed.EditLog)
}
