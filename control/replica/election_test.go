// Elections: a candidate does not lead before its own vote is synced, a majority must come from the voters of the
// newest version, and a new leader adopts that version.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/diskfile"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// A leader whose own vote was not synced could, if killed and restarted, request votes for the same term again and
// assign one number to two versions.
func TestCandidateSyncsItsVoteBeforeLeading(t *testing.T) {
	c := newCore(t, nil)
	g := c.host.groups[0]
	c.feed(kernel.Tick{Plugin: "seats", Key: "tick"})
	c.now += 10 * clock.Second
	c.feed(kernel.Tick{Plugin: "seats", Key: "tick"})
	out := c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "a", Pre: true, Granted: true})
	must.Eq(t, candidate, g.role)
	c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "a", Granted: true})
	c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "b", Granted: true})
	must.Eq(t, candidate, g.role, must.Sprint("a candidate must not lead before its own vote is synced"))
	c.sync(out)
	must.Eq(t, leader, g.role)
}

func TestElectionsAreStaggered(t *testing.T) {
	var at []clock.Micros
	for _, me := range []string{"a", "b", "c"} {
		c := newCore(t, nil)
		c.host.replicaID = me
		g := c.host.groups[1]
		g.accepted.Voters = replicas("a", "b", "c")
		g.leader = "c"
		out := &kernel.Context{Now: 0, Rand: c.kernel.Rand, Counts: c.kernel.Counts}
		g.scheduleElection(out)
		at = append(at, g.electionAt)
	}
	must.Between(t, ElectionTimeout, at[1], ElectionTimeout+ElectionJitter, must.Sprint("the ranking of partition 1 must start at the second voter"))
	must.Between(t, ElectionTimeout+ElectionStagger, at[0], ElectionTimeout+ElectionStagger+ElectionJitter, must.Sprint("the lost leader must be left out of the ranking"))
}

// A candidate that was down holds an older version than the voters: it commits their version again.
func TestLeaderAdoptsHighestVersionOfVoters(t *testing.T) {
	mine, theirs := version(3, 1), version(4, 7)
	theirs.Body = wire.Encode(&wire.ConfigBody{DrainedZones: []string{"z9"}})
	c := newCore(t, map[string][]byte{versionFile(mine.Version): diskfile.Pack(wire.Encode(&mine))})
	g := c.host.groups[0]
	c.tick()
	c.now += 10 * clock.Second
	c.tick()
	out := c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "a", Pre: true, Granted: true, Stored: theirs})
	c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "a", Granted: true, Stored: theirs})
	c.sync(out)
	must.Eq(t, leader, g.role)
	must.NotNil(t, g.proposal)
	must.Eq(t, wire.Version{Term: g.term, Seq: 8}, g.proposal.Version)
	must.Eq(t, theirs.Body, g.proposal.Body)
}

// After a loss of all processes there is no leader to wait for, so the first election starts sooner.
func TestElectionTimeoutAtStart(t *testing.T) {
	for _, c := range []struct {
		known       bool
		leader      string
		now, at, to clock.Micros
	}{
		{true, "", 0, ElectionTimeoutAtStart, ElectionTimeoutAtStart + 2*ElectionStagger + ElectionJitter},
		{true, "", StartPeriod, StartPeriod + ElectionTimeout, StartPeriod + 2*ElectionTimeout},
		{true, "c", 0, ElectionTimeout, 2 * ElectionTimeout},
		{false, "", 0, ElectionTimeout, 2 * ElectionTimeout},
	} {
		k := newCore(t, nil)
		k.kernel.Boot.Settings.BootstrapKnown = c.known
		g := k.host.groups[0]
		g.accepted.Voters = replicas("a", "b", k.host.replicaID)
		g.leader = c.leader
		g.scheduleElection(&kernel.Context{Now: c.now + k.host.startedAt, Rand: k.kernel.Rand, Counts: k.kernel.Counts})
		must.Between(t, c.at, g.electionAt-k.host.startedAt, c.to, must.Sprint(c))
	}
}

// campaign returns a core that holds the given version and is a candidate in partition 0. Its own vote is synced.
func campaign(t *testing.T, mine wire.Versioned) (*core, *Group) {
	t.Helper()
	c := newCore(t, map[string][]byte{versionFile(mine.Version): diskfile.Pack(wire.Encode(&mine))})
	g := c.host.groups[0]
	c.tick()
	c.now += 10 * clock.Second
	c.tick()
	must.Eq(t, preCandidate, g.role)
	c.sync(c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "a", Pre: true, Granted: true, Stored: mine}))
	must.Eq(t, candidate, g.role)
	return c, g
}

// A replica that was replaced holds an older version. To be elected, it needs a majority of the voters of the newest
// version; a majority of the voters of its own version is not sufficient.
func TestElectionCountsVotersOfNewestVersion(t *testing.T) {
	c, g := campaign(t, version(3, 1))
	newest := version(4, 7)
	newest.Voters = replicas("a", "d", "e")
	c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "a", Granted: true, Stored: newest})
	c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "b", Granted: true, Stored: version(3, 1)})
	must.Eq(t, candidate, g.role, must.Sprint("a candidate must not lead with the votes of all voters of its own version but of only one of the three voters of the newest version"))
	c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "d", Granted: true, Stored: newest})
	must.Eq(t, leader, g.role)
}

// The version that a new leader adopted may be on its own disk only. Until a majority has synced it in the new term,
// no reply may be based on it, even if heartbeats are answered.
func TestNewLeaderServesAfterItsFirstCommit(t *testing.T) {
	c, g := campaign(t, version(3, 1))
	c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "a", Granted: true, Stored: version(2, 1)})
	must.Eq(t, leader, g.role)
	var out kernel.Output
	ask := func(e wire.Edit) {
		more := c.send(wire.KindEdit, &e)
		out.Sends = append(out.Sends, more.Sends...)
	}
	ask(wire.Edit{Op: wire.OpRead})
	ask(wire.Edit{Op: "put", Strict: true, Base: wire.Version{Term: 1, Seq: 1}, Body: []byte("{}")})
	for range 5 {
		c.now += HeartbeatInterval
		more := c.tick()
		out.Sends = append(out.Sends, more.Sends...)
		more = c.replyToHeartbeat(g, 0)
		out.Sends = append(out.Sends, more.Sends...)
	}
	must.Eq(t, leader, g.role)
	for _, reply := range sent[wire.EditReply](t, out, wire.KindEditReply) {
		must.Eq(t, "not_owner", reply.Code, must.Sprint("the leader must not serve while a majority answers heartbeats but has not synced its version"))
	}
	must.Zero(t, c.pullAll(t).ContactMask)
	must.Eq(t, string(stateNewLeader), c.partition0Status(t).State)
	c.acceptProposal(g)
	must.Eq(t, string(stateLeader), c.partition0Status(t).State)
	c.send(wire.KindEdit, &wire.Edit{Op: wire.OpRead})
	read := sent[wire.EditReply](t, c.replyToHeartbeat(g, 0), wire.KindEditReply)
	must.Len(t, 2, read, must.Sprint("the queued edit must be rejected and the read must be answered"))
	must.Eq(t, "ok", read[1].Code)
}
