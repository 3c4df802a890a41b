// Rules of contact with a majority: which replies prove it, and for how long.

package replica

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// pullAll returns the reply to a pull from a process that has no version yet.
func (c *core) pullAll(t *testing.T) wire.PullReply {
	t.Helper()
	return sent[wire.PullReply](t, c.send(wire.KindPull, &wire.Pull{}), wire.KindPullReply)[0]
}

// replyToHeartbeat sends the reply of voter "a", one of the two other voters, to the newest heartbeat round.
func (c *core) replyToHeartbeat(g *Group, voterClock clock.Micros) kernel.Output {
	return c.send(wire.KindLeaderHeartbeatReply, &wire.LeaderHeartbeatReply{Term: g.term, From: "a", Round: g.heartbeatRound, Stored: g.accepted.Version, OK: true, Clock: voterClock})
}

// A process may be delayed for too short a time to be treated as suspended, and then answer requests before its next
// tick. Whether its replies are confirmed must therefore depend on the clock, not on the tick.
func TestLeaderContactExpiresByClock(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	must.Zero(t, c.pullAll(t).ContactMask, must.Sprint("contact must not be reported before a heartbeat round is answered"))
	c.now += HeartbeatInterval
	c.tick()
	c.replyToHeartbeat(g, 0)
	must.Eq(t, 1, c.pullAll(t).ContactMask)
	c.tick()
	must.Eq(t, 1, c.kernel.Counts.Of("part_in_contact_now").Load())
	must.Zero(t, c.kernel.Counts.Of("part_contact_lost").Load(), must.Sprint("a newly elected leader must not be counted as having lost its contact"))
	must.Len(t, 1, c.pullAll(t).Leaders)
	c.now += ContactFor
	must.Eq(t, 1, c.pullAll(t).ContactMask)
	c.now++
	must.Zero(t, c.pullAll(t).ContactMask)
	must.SliceEmpty(t, c.pullAll(t).Leaders, must.Sprint("callers must not be sent to a leader without contact"))
	must.Eq(t, leader, g.role, must.Sprint("the leader must not step down before the next tick"))
	c.tick()
	must.Eq(t, follower, g.role)
	must.Zero(t, c.kernel.Counts.Of("part_in_contact_now").Load())
	must.Eq(t, 1, c.kernel.Counts.Of("part_contact_lost").Load())
}

// The age of contact counts from when the round was sent: a late reply only proves that there was contact at that
// time.
func TestContactCountsFromSendingOfRound(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	c.now += HeartbeatInterval
	c.tick()
	c.now += ContactFor - HeartbeatInterval
	c.replyToHeartbeat(g, 0)
	must.Eq(t, 1, c.pullAll(t).ContactMask)
	c.now += 2 * HeartbeatInterval
	must.Zero(t, c.pullAll(t).ContactMask)
}

func TestReplyOfEarlierTermConfirmsNothing(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	c.now += HeartbeatInterval
	c.tick()
	c.edit(1, wire.Edit{Op: "read"})
	reply := wire.LeaderHeartbeatReply{Term: g.term - 1, From: "a", Round: g.heartbeatRound + 9, Stored: g.accepted.Version, OK: true}
	must.MapEmpty(t, replies(t, c.send(wire.KindLeaderHeartbeatReply, &reply)))
	must.Zero(t, c.pullAll(t).ContactMask)
	must.Eq(t, map[uint64]string{1: "ok"}, replies(t, c.replyToHeartbeat(g, 0)))
}

// heartbeat sends the core a heartbeat of leader "a" in term 5 and returns the core's reply.
func (c *core) heartbeat(t *testing.T, contactAt clock.Micros, committed wire.Version) wire.LeaderHeartbeatReply {
	t.Helper()
	message := wire.LeaderHeartbeat{Term: 5, From: "a", Round: 1, ContactAt: contactAt, Committed: committed}
	return sent[wire.LeaderHeartbeatReply](t, c.send(wire.KindLeaderHeartbeat, &message), wire.KindLeaderHeartbeatReply)[0]
}

// A heartbeat proves contact at a time in the follower's own clock, regardless of how long the heartbeat was in
// transit.
func TestFollowerContactExpiresByItsClock(t *testing.T) {
	v := version(5, 1)
	c := newCore(t, nil)
	c.sync(c.send(wire.KindAccept, &wire.Accept{Term: 5, From: "a", Versioned: v}))
	clock := c.heartbeat(t, 0, v.Version).Clock
	must.Zero(t, c.pullAll(t).ContactMask, must.Sprint("a heartbeat of a leader without contact must not prove contact"))
	c.heartbeat(t, clock, v.Version)
	must.Eq(t, 1, c.pullAll(t).ContactMask)
	c.now += ContactFor + 1
	must.Zero(t, c.pullAll(t).ContactMask)
	c.heartbeat(t, clock, v.Version)
	must.Zero(t, c.pullAll(t).ContactMask, must.Sprint("a delayed heartbeat whose proof is too old must not prove contact"))
	now := c.heartbeat(t, clock+ContactFor, v.Version).Clock
	must.Eq(t, 1, c.pullAll(t).ContactMask)
	// The follower does not confirm its state while it lacks a version that it knows to be committed.
	c.heartbeat(t, now, wire.Version{Term: 5, Seq: 2})
	must.Zero(t, c.pullAll(t).ContactMask)
	c.sync(c.send(wire.KindAccept, &wire.Accept{Term: 5, From: "a", Versioned: version(5, 2)}))
	c.heartbeat(t, now, wire.Version{Term: 5, Seq: 2})
	must.Eq(t, 1, c.pullAll(t).ContactMask)
}

// A process ignores the proof of contact in a heartbeat that was sent for its earlier incarnation.
func TestContactProofOfEarlierIncarnationIsIgnored(t *testing.T) {
	v := version(5, 1)
	first, again := newCore(t, nil), newCore(t, nil)
	again.host.clockOrigin = first.host.clockOrigin / 2
	for _, c := range []*core{first, again} {
		c.sync(c.send(wire.KindAccept, &wire.Accept{Term: 5, From: "a", Versioned: v}))
	}
	clock := first.heartbeat(t, 0, v.Version).Clock
	again.heartbeat(t, clock, v.Version)
	must.Zero(t, again.pullAll(t).ContactMask)
	must.Between(t, 1, first.host.clockOrigin, clockOrigins)
	other := kernel.New(kernel.Boot{Settings: settings.Settings{Mesh: "10.0.0.1:1"}, Role: "core", Seed: 2, Key: kernel.KeyFrom(make([]byte, 32))})
	other.Step(1, 1, kernel.Start{})
	must.NotEq(t, first.host.clockOrigin, kernel.Find[*Host](other).clockOrigin)
}

// The proof in a heartbeat is expressed in the receiver's clock and is as old as the newest confirmed round.
func TestHeartbeatsCarryProofOnReceiversClock(t *testing.T) {
	c := newCore(t, nil)
	g := electLeader(t, c)
	c.now += HeartbeatInterval
	c.tick()
	sentAt := c.now
	c.now += 20 * clock.Millisecond
	c.replyToHeartbeat(g, 7*clock.Second)
	c.now += HeartbeatInterval
	heartbeats := sent[wire.LeaderHeartbeat](t, c.tick(), wire.KindLeaderHeartbeat)
	must.Len(t, 2, heartbeats)
	for _, b := range heartbeats {
		if b.To == "a" {
			must.Eq(t, 7*clock.Second-20*clock.Millisecond, b.ContactAt)
			continue
		}
		must.Zero(t, b.ContactAt, must.Sprint("a heartbeat to a voter whose clock is not known must contain no proof"))
	}
	must.Eq(t, sentAt, g.contact.confirmedAt)
}

// A core without a replica of a partition relays, for a limited time, the contact of a core that answered its pull.
func TestStandbyRelaysContactForLimitedTime(t *testing.T) {
	c := newCore(t, nil)
	c.feed(kernel.SeedsChanged{Seeds: []string{"10.0.0.9:1"}})
	pullID := uint64(0)
	for range 40 {
		c.now += 100 * clock.Millisecond
		out := c.feed(kernel.Tick{Plugin: "pulls", Key: "pull"})
		for _, s := range out.Sends {
			if f, err := wire.Open(s.Data); err == nil && f.Kind == wire.KindPull {
				pullID = f.ID
			}
		}
		if pullID > 0 {
			break
		}
	}
	must.Positive(t, pullID)
	at := c.now
	c.now += 50 * clock.Millisecond
	c.feed(kernel.Received{Conn: 5, Data: wire.Seal(wire.KindPullReply, pullID, &wire.PullReply{ContactMask: 1, RelayedMask: 2})})
	must.Eq(t, 1, c.pullAll(t).RelayedMask, must.Sprint("relayed contact must not be relayed again"))
	must.Zero(t, c.pullAll(t).ContactMask)
	c.now = at + RelayedContactFor + 1
	must.Zero(t, c.pullAll(t).RelayedMask)
}
