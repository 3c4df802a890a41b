// Versions larger than a frame: they are committed, sent to every replica and adopted by the next leader. An edit
// whose result is too large is rejected before it is proposed.

package replica

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/control/state"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// linkOf10Mbit is the bandwidth of a 10 Mbit/s link in bytes per second.
const linkOf10Mbit = 10_000_000 / 8

// follower returns a core that does not lead the configuration.
func (c *bandwidthCluster) follower() *bandwidthMember {
	for _, id := range []string{"a", "b", "c"} {
		if m := c.members[id]; m != c.lead() {
			return m
		}
	}
	return nil
}

// hasSynced reports whether the newest version that a core knows to be committed is not older than at.
func (m *bandwidthMember) hasSynced(at wire.Version) bool {
	g := m.host.groups[state.ConfigPartition]
	return g.committed.Version == at || g.committed.Version.Term > at.Term || g.committed.Version.Term == at.Term && g.committed.Version.Seq > at.Seq
}

func (m *bandwidthMember) committed() wire.Versioned {
	return m.host.groups[state.ConfigPartition].committed
}

// grow commits edits until the configuration has at least size bytes, and returns its revision.
func (c *bandwidthCluster) grow(size int) (revision int64) {
	c.t.Helper()
	for i := 0; ; i++ {
		have := len(c.lead().committed().Body)
		if have >= size {
			return revision
		}
		step := min(size-have+1, 700_000)
		must.Eq(c.t, "ok", c.edit(pools(revision, step, fmt.Sprintf("pool-%d", i)), 60*clock.Second).Code)
		revision++
	}
}

// awaitAll runs until all running cores have committed the leader's newest version.
func (c *bandwidthCluster) awaitAll(within clock.Micros) clock.Micros {
	c.t.Helper()
	return c.run(within, "all running cores have committed the newest version", func() bool {
		l := c.leader()
		if l == nil {
			return false
		}
		for _, m := range c.members {
			if m.up && !m.hasSynced(l.committed().Version) {
				return false
			}
		}
		return true
	})
}

// Two valid edits of 600 KB make a version that exceeds a frame of 1 MiB.
func TestVersionLargerThanFrameIsCommitted(t *testing.T) {
	c := newBandwidthCluster(t, linkOf10Mbit)
	must.Eq(t, "ok", c.edit(pools(0, 600_000, "p"), 10*clock.Second).Code)
	must.Eq(t, "ok", c.edit(pools(1, 600_000, "q"), 10*clock.Second).Code)
	must.Eq(t, "ok", c.edit(pools(2, 10, "r"), 10*clock.Second).Code)
	c.awaitAll(10 * clock.Second)
	body := c.lead().committed().Body
	for _, m := range c.members {
		must.True(t, bytes.Equal(body, m.committed().Body), must.Sprint(m.id))
	}
}

func TestEditExceedingBodyLimitIsRejected(t *testing.T) {
	c := newBandwidthCluster(t, 0)
	revision := c.grow(state.MaxConfigBody - 300_000)
	before := c.lead().committed().Version
	reply := c.edit(pools(revision, 400_000, "one-more"), 10*clock.Second)
	must.Eq(t, "invalid", reply.Code)
	must.Len(t, 1, reply.Findings)
	must.Eq(t, "configuration", reply.Findings[0].Path)
	must.StrContains(t, reply.Findings[0].Text, fmt.Sprint(state.MaxConfigBody))
	must.Eq(t, before, c.lead().committed().Version, must.Sprint("the rejected edit must not be proposed"))
	must.Eq(t, "ok", c.edit(pools(revision, 1000, "small"), 10*clock.Second).Code)
	// An edit that makes the configuration smaller is accepted.
	must.Eq(t, "ok", c.edit(pools(revision+1, 1000, "pool-0"), 10*clock.Second).Code)
	must.Eq(t, "ok", c.edit(pools(revision+2, 400_000, "one-more"), 10*clock.Second).Code)
}

// Three versions of each partition, plus a fourth that is being written, fit on a disk of 64 MB.
func TestLargestVersionsFitDisk(t *testing.T) {
	const diskBytes = 64_000_000
	total := 0
	for partition := range state.Partitions {
		maxVersion := state.MaxBody(partition) + state.MaxEditLog(partition) + state.TickAllowance
		total += (VersionsKept + 1) * maxVersion
		must.LessEq(t, wire.MaxMessage, maxVersion+wire.MaxSingleFrame)
	}
	must.LessEq(t, diskBytes*2/3, total)
}

// A leader that receives heartbeat replies from a majority, but whose proposal is never synced by a majority, must not
// keep its edits forever.
func TestLeaderStepsDownWithoutAcks(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	c.edit(1, wire.Edit{Op: "empty", Name: "z0"})
	c.edit(2, wire.Edit{Op: "empty", Name: "z1"})
	must.NotNil(t, g.proposal)
	var out kernel.Output
	for end := c.now + ProposalTimeout + 1*clock.Second; c.now < end && g.role == leader; c.now += TickInterval {
		for _, id := range []string{"a", "b"} {
			c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{Term: g.term, From: id, Round: g.heartbeatRound, Stored: g.committed.Version, OK: true})
		}
		out = c.tick()
	}
	must.Eq(t, follower, g.role)
	must.Eq(t, map[uint64]string{1: "unknown", 2: "not_owner"}, replies(t, out))
	must.Nil(t, g.proposal)
}

func TestEditQueueIsBoundedByBytes(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	large := wire.Edit{Op: "routing", Body: make([]byte, 900_000)}
	c.edit(1, wire.Edit{Op: "empty", Name: "z0"})
	for id := uint64(2); id < 20; id++ {
		got := replies(t, c.edit(id, large))
		must.LessEq(t, MaxQueuedBytes, g.queuedBytes())
		if id > 12 {
			must.Eq(t, map[uint64]string{id: "shed"}, got)
		}
	}
}

// A version that was committed before a change of leader is committed again in the new leader's term and served
// afterwards.
func TestNextLeaderRecommitsLargeVersion(t *testing.T) {
	c := newBandwidthCluster(t, linkOf10Mbit)
	revision := c.grow(1_500_000)
	c.awaitAll(20 * clock.Second)
	old := c.lead()
	was := old.committed()
	before := c.bytesIn()
	c.stop(old.id)
	took := c.run(30*clock.Second, "another core leads", func() bool { l := c.leader(); return l != nil && l != old })
	moved := c.bytesIn() - before
	t.Logf("new leader after %d ms, %d KB transferred", took/1000, moved/1000)
	must.LessEq(t, 100_000, moved, must.Sprint("the body must not be sent again, because both remaining cores already hold it"))
	now := c.lead().committed()
	must.Greater(t, was.Version.Term, now.Version.Term)
	must.True(t, bytes.Equal(was.Body, now.Body))
	n := 0
	for _, m := range c.members {
		if m.up && m.host.groups[state.ConfigPartition].accepted.Version == now.Version {
			n++
		}
	}
	must.Eq(t, 2, n, must.Sprint("a majority must have synced the version in the new term"))
	must.Eq(t, "ok", c.edit(pools(revision, 10, "next"), 20*clock.Second).Code)
}

// A leader that stops designates a replica that was down as its successor. The successor must not lead with its older
// state.
func TestNamedSuccessorAdoptsNewestVersion(t *testing.T) {
	c := newBandwidthCluster(t, linkOf10Mbit)
	c.grow(200_000)
	c.awaitAll(20 * clock.Second)
	l := c.lead()
	away := c.follower()
	c.stop(away.id)
	was := c.edit(pools(int64(len(c.pools())), 900_000, "new"), 20*clock.Second).Version
	c.start(away.id)
	g := away.host.groups[state.ConfigPartition]
	c.run(5*clock.Second, "the core follows the leader", func() bool { return g.leader == l.id || g.isVoter() })
	must.False(t, away.hasSynced(was))
	c.stop(l.id)
	c.step(away, kernel.Received{Conn: 1 << 41, Data: wire.Seal(wire.KindLeaderHeartbeat, 0, &wire.LeaderHeartbeat{Partition: state.ConfigPartition, Term: g.votedTerm + 1, From: l.id, TransferTo: away.id})})
	c.run(30*clock.Second, "a core leads the configuration", func() bool { return c.leader() != nil })
	must.True(t, c.leader().hasSynced(was))
}

// pools returns the names of the pools in the configuration that the leader has committed.
func (c *bandwidthCluster) pools() []string {
	cfg, err := state.ReadConfig(c.lead().committed().Body)
	must.NoError(c.t, err)
	table, err := state.RoutingOf(cfg)
	must.NoError(c.t, err)
	var names []string
	for _, p := range table.GetPools() {
		names = append(names, p.Name)
	}
	return names
}
