// Catch-up of a replica that was stopped for a while or returns with an empty disk: the duration does not depend on
// the number of missed versions, and the leader is not replaced. BenchmarkCatchUp reports figures for several sizes
// and numbers of changes.

package replica

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/control/state"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// catchUpLimit returns the maximum duration of a catch-up: the time that the replica waits before it may start an
// election, the time until the leader finds it and, with a new disk, makes it a voter, and twice the transfer time of
// the body over the replica's link.
func catchUpLimit(size int) clock.Micros {
	return ListenBeforeElection + LargeResendInterval + 1*clock.Second + 2*int64(size)*clock.Second/linkOf10Mbit
}

// retryAllowance is the additional time allowed for retransmitting a chunk that was lost because the replica was down
// when it was sent.
const retryAllowance = 1 * clock.Second

// catchUpResult contains the duration of a catch-up in microseconds, the bytes that the replica received, and the
// size of the body.
type catchUpResult struct {
	us, bytes, body int64
	// terms is the increase of the leader's term during the catch-up.
	terms uint64
}

// catchUpAfter stops a core, commits the given number of changes, starts the core again and measures its catch-up.
func catchUpAfter(t testing.TB, size, changes int, emptyDisk bool) catchUpResult {
	t.Helper()
	c := newBandwidthCluster(t, 0)
	revision := c.grow(size)
	away := c.awaitConverged()
	c.stop(away.id)
	for i := range changes {
		must.Eq(t, "ok", c.edit(pools(revision, 100, fmt.Sprintf("changed-%d", i%50)), 10*clock.Second).Code)
		revision++
	}
	returnAt := c.now + 3*clock.Second
	c.run(4*clock.Second, "the core stays stopped for 3 s", func() bool { return c.now >= returnAt })
	if emptyDisk {
		away.files = map[string][]byte{}
	}
	c.bytesPerSecond = linkOf10Mbit
	want := c.lead().committed().Version
	c.start(away.id)
	us := c.run(catchUpLimit(size), "the replica has caught up", func() bool { return away.hasSynced(want) })
	return catchUpResult{us, away.bytesIn, int64(len(c.lead().committed().Body)), c.lead().committed().Version.Term - want.Term}
}

// awaitConverged waits until the preferred leader leads the configuration and all cores hold the same version. It
// returns one of the other cores.
func (c *bandwidthCluster) awaitConverged() *bandwidthMember {
	c.t.Helper()
	c.run(60*clock.Second, "the preferred core leads", func() bool { return c.members["a"].host.Leads(state.ConfigPartition) })
	c.awaitAll(60 * clock.Second)
	return c.members["b"]
}

// bytesIn returns the bytes received by all cores.
func (c *bandwidthCluster) bytesIn() (n int64) {
	for _, m := range c.members {
		n += m.bytesIn
	}
	return n
}

func TestCatchUpAfterAbsence(t *testing.T) {
	sizes := []int{10_000, 100_000, 1_000_000, 4_000_000}
	if testing.Short() {
		sizes = sizes[:2]
	}
	for _, size := range sizes {
		for _, emptyDisk := range []bool{false, true} {
			t.Run(fmt.Sprintf("size=%d/empty=%v", size, emptyDisk), func(t *testing.T) {
				r := catchUpAfter(t, size, min(10, 3_000_000/size+2), emptyDisk)
				t.Logf("caught up after %d ms, having received %d KB", r.us/1000, r.bytes/1000)
				must.Eq(t, 0, r.terms, must.Sprint("the leader must not change during the catch-up"))
				// A core with a new disk rejoins through a membership change, which commits two more versions: the
				// joint version and the final version.
				maxBytes := 3*r.body + r.body/10 + 50_000
				if !emptyDisk {
					maxBytes = 2*r.body + 50_000
				}
				must.LessEq(t, maxBytes, r.bytes)
			})
		}
	}
}

func TestCatchUpTimeIndependentOfMissedChanges(t *testing.T) {
	few, many := catchUpAfter(t, 50_000, 10, false), catchUpAfter(t, 50_000, 600, false)
	must.Eq(t, 0, many.terms)
	must.LessEq(t, few.us+retryAllowance, many.us)
	must.LessEq(t, 2*many.body+50_000, many.bytes)
}

// A large version in transit to a replica must not delay the heartbeats to that replica or to the others.
func TestHeartbeatsPassLargeVersion(t *testing.T) {
	c := newBandwidthCluster(t, linkOf10Mbit)
	revision := c.grow(3_000_000)
	away := c.awaitConverged()
	l, term := c.lead(), c.lead().committed().Version.Term
	c.stop(away.id)
	must.Eq(t, "ok", c.edit(pools(revision, 100, "changed"), 60*clock.Second).Code)
	want := l.committed().Version
	returnAt := c.now + 3*clock.Second
	c.run(4*clock.Second, "the core stays stopped for 3 s", func() bool { return c.now >= returnAt })
	c.start(away.id)
	g := away.host.groups[state.ConfigPartition]
	worst := int64(0)
	c.run(catchUpLimit(3_000_000), "the replica has caught up", func() bool {
		if g.leaderSeen > 0 {
			worst = max(worst, c.now-g.leaderSeen)
		}
		return away.hasSynced(want)
	})
	t.Logf("longest time between two heartbeats: %d ms", worst/1000)
	must.Less(t, ElectionTimeout, worst)
	must.Eq(t, l, c.leader())
	must.Eq(t, term, l.committed().Version.Term)
}

// A replica that was down while several versions were committed is sent only the newest one.
func TestCatchUpSendsOnlyNewestVersion(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	must.NotNil(t, g)
	c.now += LargeResendInterval
	g.committed.Body = make([]byte, wire.MaxSingleFrame+1)
	reply := wire.LeaderHeartbeatReply{Term: g.term, From: "b", Round: g.heartbeatRound, OK: true}
	count := func() int64 { return c.kernel.Counts.Of("part_handed_over").Load() }
	c.send(wire.KindLeaderHeartbeatReply, &reply)
	must.Eq(t, 1, count())
	for range 5 {
		c.now += CatchUpInterval / 2
		c.send(wire.KindLeaderHeartbeatReply, &reply)
	}
	must.Eq(t, 1, count(), must.Sprint("a large version must not be sent again while it is in transit"))
	g.proposal = &wire.Versioned{Version: wire.Version{Term: g.term, Seq: 99}, Voters: g.committed.Voters}
	c.now += 2 * LargeResendInterval
	c.send(wire.KindLeaderHeartbeatReply, &reply)
	must.Eq(t, 1, count(), must.Sprint("the committed version must not be sent while a proposal that supersedes it is in flight"))
}

func TestRolledBackDiskIsDetected(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	reply := wire.LeaderHeartbeatReply{Term: g.term, From: "b", Round: g.heartbeatRound, Stored: wire.Version{}, OK: true}
	g.synced["b"] = syncedVersion{version: g.committed.Version, heartbeatRound: g.heartbeatRound}
	c.send(wire.KindLeaderHeartbeatReply, &reply)
	must.Eq(t, 0, c.kernel.Counts.Of("replicas_rolled_back").Load(), must.Sprint("a reply to a heartbeat that was sent before the acknowledgement must not count as a rollback"))
	reply.Round++
	c.send(wire.KindLeaderHeartbeatReply, &reply)
	must.Eq(t, 1, c.kernel.Counts.Of("replicas_rolled_back").Load())
	reply.Stored = g.committed.Version
	g.synced["b"] = syncedVersion{version: g.committed.Version, heartbeatRound: g.heartbeatRound}
	c.send(wire.KindLeaderHeartbeatReply, &reply)
	must.Eq(t, 1, c.kernel.Counts.Of("replicas_rolled_back").Load())
}

func BenchmarkCatchUp(b *testing.B) {
	for _, size := range []int{10_000, 100_000, 1_000_000, 4_000_000} {
		for _, changes := range []int{10, 100, 1000, 5000} {
			for _, emptyDisk := range []bool{false, true} {
				b.Run(fmt.Sprintf("size=%d/changes=%d/empty=%v", size, changes, emptyDisk), func(b *testing.B) {
					var r catchUpResult
					for range b.N {
						r = catchUpAfter(b, size, changes, emptyDisk)
					}
					b.ReportMetric(float64(r.us)/1000, "simulated-ms")
					b.ReportMetric(float64(r.bytes)/1000, "received-KB")
					b.ReportMetric(float64(r.terms), "terms")
				})
			}
		}
	}
}
