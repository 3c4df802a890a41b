// Versions in votes and proposals: a body is sent only to replicas that lack it.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/wire"
)

// A replica that holds an older version is not elected while a replica with a newer version is running.
func TestCandidateWithOlderVersionIsNotElected(t *testing.T) {
	newer := version(4, 7)
	c := newCore(t, nil)
	c.host.groups[0].accepted = newer
	ask := func(held wire.Version) bool {
		return sent[wire.VoteReply](t, c.send(wire.KindVote, &wire.Vote{Term: 9, From: "a", Pre: true, Stored: held}), wire.KindVoteReply)[0].Granted
	}
	must.False(t, ask(version(4, 6).Version))
	must.True(t, ask(newer.Version))
	c.host.stopping = true
	must.True(t, ask(version(4, 6).Version), must.Sprint("a stopping replica must grant the pre-vote, because it starts no election itself"))
}

// A vote reply contains the body only for a candidate that lacks it.
func TestVoteRepliesCarryOnlyNewerVersions(t *testing.T) {
	newer := version(4, 7)
	for held, want := range map[wire.Version]int{version(4, 6).Version: len(newer.Body), newer.Version: 0, version(5, 1).Version: 0} {
		c := newCore(t, nil)
		c.host.groups[0].accepted = newer
		out := c.sync(c.send(wire.KindVote, &wire.Vote{Term: 9, From: "a", Stored: held}))
		r := sent[wire.VoteReply](t, out, wire.KindVoteReply)[0]
		must.True(t, r.Granted)
		must.Eq(t, newer.Version, r.Stored.Version)
		must.Len(t, want, r.Stored.Body)
	}
}

// large returns a version whose body is transferred in chunks.
func large(term, seq uint64) wire.Versioned {
	v := version(term, seq)
	v.Body = make([]byte, wire.MaxSingleFrame+1)
	return v
}

func TestAcceptWithoutBodyUsesHeldBase(t *testing.T) {
	c := newCore(t, nil)
	held, next := large(4, 7), version(5, 8)
	c.host.groups[0].accepted = held
	next.Body = nil
	out := c.send(wire.KindAccept, &wire.Accept{Term: 5, From: "a", Versioned: next, Base: held.Version})
	must.Len(t, 1, out.Writes)
	must.True(t, acceptReply(t, c.sync(out)).OK)
	must.Eq(t, next.Version, c.host.groups[0].accepted.Version)
	must.Eq(t, len(held.Body), len(c.host.groups[0].accepted.Body))
}

func TestAcceptWithoutBodyNeedsBase(t *testing.T) {
	c := newCore(t, nil)
	c.host.groups[0].accepted = large(4, 6)
	next := version(5, 8)
	next.Body = nil
	out := c.send(wire.KindAccept, &wire.Accept{Term: 5, From: "a", Versioned: next, Base: wire.Version{Term: 4, Seq: 7}})
	must.SliceEmpty(t, out.Writes)
	r := acceptReply(t, out)
	must.False(t, r.OK)
	must.True(t, r.LacksBase)
}

// A body is omitted only for replicas that have reported that they hold it and that they support Base.
func TestProposalOmitsHeldBody(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	v := large(g.term, 9)
	g.synced = map[string]syncedVersion{
		"holds": {version: wire.Version{Term: 1, Seq: 8}, supportsBase: true}, "other": {version: wire.Version{Term: 1, Seq: 7}, supportsBase: true},
		"older release": {version: wire.Version{Term: 1, Seq: 8}},
	}
	for id, want := range map[string]int{"holds": 0, "other": len(v.Body), "older release": len(v.Body), "unknown": len(v.Body)} {
		a := g.withBase(wire.Accept{Versioned: v}, id, wire.Version{Term: 1, Seq: 8})
		must.Len(t, want, a.Versioned.Body, must.Sprint(id))
		must.Eq(t, want == 0, a.Base != wire.Version{}, must.Sprint(id))
	}
	must.Len(t, len(v.Body), g.withBase(wire.Accept{Versioned: v}, "holds", wire.Version{}).Versioned.Body)
}

func TestReplicaLackingBaseIsSentBody(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	c.edit(1, wire.Edit{Op: "empty", Name: "z0"})
	must.NotNil(t, g.proposal)
	out := c.send(wire.KindAcceptReply, &wire.AcceptReply{Term: g.term, From: "b", Version: g.proposal.Version, LacksBase: true})
	sentAgain := sent[wire.Accept](t, out, wire.KindAccept)
	must.Len(t, 1, sentAgain)
	must.Eq(t, "b", sentAgain[0].To)
	must.Eq(t, g.proposal.Body, sentAgain[0].Versioned.Body)
	out = c.send(wire.KindAcceptReply, &wire.AcceptReply{Term: g.term, From: "b", Version: wire.Version{Term: 1}, LacksBase: true})
	must.SliceEmpty(t, sent[wire.Accept](t, out, wire.KindAccept), must.Sprint("a reply about a version that is not in flight must be ignored"))
}
