// Catch-up of a replica that was away or comes back with an empty disk: its duration does not depend on the
// number of missed versions, and the leader goes on leading meanwhile. BenchmarkCatchUp gives figures for
// several sizes and numbers of changes.

package replica

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/control/state"
	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// catchUpLimit is how long a replica that comes back may take: to listen, to be found and made a
// voter if its disk is new, and twice the time that its link takes for the body.
func catchUpLimit(size int) clock.Micros {
	return ListenBeforeElection + LargeResendInterval + 1*clock.Second + 2*int64(size)*clock.Second/linkOf10Mbit
}

// retryAllowance is what the loss of a piece that was sent while the replica was away may cost.
const retryAllowance = 1 * clock.Second

// catchUpResult is what the catch-up of a replica took.
type catchUpResult struct {
	us, bytes, body int64
	// terms is by how much the leader's term rose meanwhile.
	terms uint64
}

// catchUpAfter stops a core, changes the body so many times, and starts the core again.
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
	c.run(4*clock.Second, "it is away for a while", func() bool { return c.now >= returnAt })
	if emptyDisk {
		away.files = map[string][]byte{}
	}
	c.bytesPerSecond = linkOf10Mbit
	want := c.lead().committed().Version
	c.start(away.id)
	us := c.run(catchUpLimit(size), "the replica is whole again", func() bool { return away.hasSynced(want) })
	return catchUpResult{us, away.bytesIn, int64(len(c.lead().committed().Body)), c.lead().committed().Version.Term - want.Term}
}

// awaitConverged waits until the core that should lead the configuration does, and all hold the same; it
// gives one of the others.
func (c *bandwidthCluster) awaitConverged() *bandwidthMember {
	c.t.Helper()
	c.run(60*clock.Second, "the preferred core leads", func() bool { return c.members["a"].host.Leads(state.ConfigPartition) })
	c.awaitAll(60 * clock.Second)
	return c.members["b"]
}

// bytesIn is what all cores have received.
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
				t.Logf("whole again after %d ms and %d KB", r.us/1000, r.bytes/1000)
				must.Eq(t, 0, r.terms, must.Sprint("the leader leads on"))
				// A new disk takes a membership change, and so two versions.
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

// A large version on its way to a replica must not delay the heartbeats to it and to the others.
func TestHeartbeatsPassLargeVersion(t *testing.T) {
	c := newBandwidthCluster(t, linkOf10Mbit)
	revision := c.grow(3_000_000)
	away := c.awaitConverged()
	l, term := c.lead(), c.lead().committed().Version.Term
	c.stop(away.id)
	must.Eq(t, "ok", c.edit(pools(revision, 100, "changed"), 60*clock.Second).Code)
	want := l.committed().Version
	returnAt := c.now + 3*clock.Second
	c.run(4*clock.Second, "it is away for a while", func() bool { return c.now >= returnAt })
	c.start(away.id)
	g := away.host.groups[state.ConfigPartition]
	worst := int64(0)
	c.run(catchUpLimit(3_000_000), "the replica is whole again", func() bool {
		if g.leaderSeen > 0 {
			worst = max(worst, c.now-g.leaderSeen)
		}
		return away.hasSynced(want)
	})
	t.Logf("the longest wait for a heartbeat was %d ms", worst/1000)
	must.Less(t, ElectionTimeout, worst)
	must.Eq(t, l, c.leader())
	must.Eq(t, term, l.committed().Version.Term)
}

// A replica that was away while several versions were committed is sent only the newest one.
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
	must.Eq(t, 1, count(), must.Sprint("a large one is on its way"))
	g.proposal = &wire.Versioned{Version: wire.Version{Term: g.term, Seq: 99}, Voters: g.committed.Voters}
	c.now += 2 * LargeResendInterval
	c.send(wire.KindLeaderHeartbeatReply, &reply)
	must.Eq(t, 1, count(), must.Sprint("the one that is proposed takes its place"))
}

func TestRolledBackDiskIsDetected(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	reply := wire.LeaderHeartbeatReply{Term: g.term, From: "b", Round: g.heartbeatRound, Stored: wire.Version{}, OK: true}
	g.synced["b"] = syncedVersion{version: g.committed.Version, heartbeatRound: g.heartbeatRound}
	c.send(wire.KindLeaderHeartbeatReply, &reply)
	must.Eq(t, 0, c.kernel.Counts.Of("replicas_rolled_back").Load(), must.Sprint("sent before the acknowledgement"))
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
