// Winning a term: no leader before its own vote is on its disk.
package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/diskfile"
	"wallport/kernel"
	"wallport/wire"
)

// A leader that others elected before its own vote was synced would, killed and started again,
// ask for the same term and give one number to two versions.
func TestNoOwnerBeforeItsOwnPromiseIsSynced(t *testing.T) {
	c := newCore(t, nil)
	g := c.s.groups[0]
	c.feed(kernel.Tick{Plugin: "seats", Key: "tick"})
	c.now += 10_000_000
	c.feed(kernel.Tick{Plugin: "seats", Key: "tick"})
	out := c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "a", Pre: true, Granted: true})
	must.Eq(t, candidate, g.role)
	c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "a", Granted: true})
	c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "b", Granted: true})
	must.Eq(t, candidate, g.role, must.Sprint("its own promise is not synced"))
	c.sync(out)
	must.Eq(t, leader, g.role)
}

func TestSeatsStandInTurn(t *testing.T) {
	var at []int64
	for _, me := range []string{"a", "b", "c"} {
		c := newCore(t, nil)
		c.s.replicaID = me
		g := c.s.groups[1]
		g.accepted.Voters = seats("a", "b", "c")
		g.leader = "c"
		out := &kernel.Turn{Now: 0, Rand: c.k.Rand, Counts: c.k.Counts}
		g.scheduleElection(out)
		at = append(at, g.electionAt)
	}
	must.Between(t, ElectionTimeout, at[1], ElectionTimeout+ElectionJitter, must.Sprint("part 1 begins with the second"))
	must.Between(t, ElectionTimeout+ElectionStagger, at[0], ElectionTimeout+ElectionStagger+ElectionJitter, must.Sprint("the owner that is gone has no turn"))
}

// A replica that was away holds less than the others: what it commits anew is theirs.
func TestOwnerAdoptsTheHighestVersionThatWasFound(t *testing.T) {
	mine, theirs := version(3, 1), version(4, 7)
	theirs.Body = wire.Encode(&wire.ConfigBody{Emptied: []string{"z9"}})
	c := newCore(t, map[string][]byte{versionFile(mine.Version): diskfile.Pack(wire.Encode(&mine))})
	g := c.s.groups[0]
	c.tick()
	c.now += 10_000_000
	c.tick()
	out := c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "a", Pre: true, Granted: true, Held: theirs})
	c.send(wire.KindVoteReply, &wire.VoteReply{Term: g.term, From: "a", Granted: true, Held: theirs})
	c.sync(out)
	must.Eq(t, leader, g.role)
	must.NotNil(t, g.proposal)
	must.Eq(t, wire.Version{Term: g.term, Seq: 8}, g.proposal.Version)
	must.Eq(t, theirs.Body, g.proposal.Body)
}

// After a loss of everything nobody is there to be waited for.
func TestASeatThatHasJustStartedStandsSoon(t *testing.T) {
	for _, c := range []struct {
		known       bool
		leader      string
		now, at, to int64
	}{
		{true, "", 0, ElectionTimeoutAtStart, ElectionTimeoutAtStart + 2*ElectionStagger + ElectionJitter},
		{true, "", StartPeriod, StartPeriod + ElectionTimeout, StartPeriod + 2*ElectionTimeout},
		{true, "c", 0, ElectionTimeout, 2 * ElectionTimeout},
		{false, "", 0, ElectionTimeout, 2 * ElectionTimeout},
	} {
		k := newCore(t, nil)
		k.k.Boot.Env.BootstrapKnown = c.known
		g := k.s.groups[0]
		g.accepted.Voters = seats("a", "b", k.s.replicaID)
		g.leader = c.leader
		g.scheduleElection(&kernel.Turn{Now: c.now + k.s.started, Rand: k.k.Rand, Counts: k.k.Counts})
		must.Between(t, c.at, g.electionAt-k.s.started, c.to, must.Sprint(c))
	}
}
