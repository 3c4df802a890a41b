package replica

import (
	"slices"

	"wallport/cluster/mesh"
	"wallport/control/configsync"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Contact with a majority decides what a replica may answer. A leader's replies, its leases, and the confirmations in
// a core's replies to pulls are valid only for a limited time after a heartbeat round that a majority has answered,
// counted from when the round was sent. In its heartbeats, a leader sends each follower the time of that round as a
// proof of contact, expressed in the follower's clock.

const (
	// ContactFor is how long a confirmed heartbeat round proves contact with a majority, counted from when it was
	// sent.
	ContactFor = 1 * clock.Second
	// RelayedContactFor is how long a core relays the contact of another core that answered its pull, counted from
	// when the pull was sent.
	RelayedContactFor = 2 * clock.Second
	// clockOrigins is the size of the range from which the random origin of the clock that is sent to leaders is
	// drawn.
	clockOrigins = 1 << 60
)

// sentRound is a heartbeat round that no majority has answered yet.
type sentRound struct {
	number uint64
	sentAt clock.Micros
}

// contact is what a replica knows about its group's contact with a majority.
type contact struct {
	// openRounds are a leader's rounds that no majority has answered yet, oldest first. confirmedAt is when the newest
	// round that a majority has answered was sent.
	openRounds  []sentRound
	confirmedAt clock.Micros
	// offsets are lower bounds of the difference between each voter's clock and the leader's: a delayed reply makes
	// the recorded offset smaller, which only makes the proof appear older.
	offsets map[string]clock.Micros
	// provenAt is set on a follower: a time, in the follower's own clock, that is not later than when a heartbeat
	// round that a majority has answered was sent. committed is the newest version that the leader reported as
	// committed in its heartbeats with such a proof.
	provenAt  clock.Micros
	committed wire.Version
}

// reset clears the state at the start of a leader's term, in which no round is confirmed yet.
func (c *contact) reset() {
	c.openRounds, c.confirmedAt, c.offsets = nil, 0, map[string]clock.Micros{}
}

// recordRound records a heartbeat round that was sent, and discards rounds that are too old to prove contact.
func (c *contact) recordRound(number uint64, now clock.Micros) {
	c.openRounds = slices.DeleteFunc(c.openRounds, func(r sentRound) bool { return now-r.sentAt > ContactFor })
	c.openRounds = append(c.openRounds, sentRound{number, now})
}

// recordClock records a voter's clock from its heartbeat reply.
func (c *contact) recordClock(reply wire.LeaderHeartbeatReply, now clock.Micros) {
	if reply.Clock > 0 {
		c.offsets[reply.From] = reply.Clock - now
	}
}

// confirmedWithin reports whether a leader's newest confirmed round was sent at most span ago.
func (c *contact) confirmedWithin(now, span clock.Micros) bool {
	return c.confirmedAt > 0 && now-c.confirmedAt <= span
}

// proofFor returns the proof of contact for a voter, as a time in that voter's clock; 0 means that there is no proof.
func (c *contact) proofFor(id string) clock.Micros {
	offset, known := c.offsets[id]
	if !known || c.confirmedAt == 0 {
		return 0
	}
	return max(0, c.confirmedAt+offset)
}

// recordProof records the proof of contact from a leader's heartbeat. A proof for an earlier incarnation of this
// process is in that incarnation's clock: it lies outside the time since the start of this process and is ignored.
func (c *contact) recordProof(at, now clock.Micros, committed wire.Version) {
	if at <= 0 || at > now {
		return
	}
	c.provenAt = max(c.provenAt, at)
	if mesh.Newer(committed, c.committed) {
		c.committed = committed
	}
}

// confirmRounds updates confirmedAt from the rounds that a majority has answered.
func (g *Group) confirmRounds() {
	c := &g.contact
	for len(c.openRounds) > 0 && g.isConfirmed(c.openRounds[0].number) {
		c.confirmedAt = max(c.confirmedAt, c.openRounds[0].sentAt)
		c.openRounds = c.openRounds[1:]
	}
}

// isConfirmed reports whether a majority has answered this heartbeat round or a later one of the same term.
func (g *Group) isConfirmed(round uint64) bool {
	return quorum(g.newestVersion(), func(id string) bool { return id == g.self() || g.confirmedRounds[id] >= round })
}

// inContact reports whether this replica's own contact with a majority proves that a version contains everything
// that was acknowledged up to ContactFor ago.
func (g *Group) inContact(now clock.Micros, version wire.Version) bool {
	if g.role == leader {
		return g.ready && g.contact.confirmedWithin(now, ContactFor)
	}
	proven := g.contact.provenAt > 0 && now-g.contact.provenAt <= ContactFor
	return proven && !mesh.Newer(g.contact.committed, version)
}

// partitionBit returns the bit of a partition in the masks of a pull reply.
func partitionBit(partition int) uint32 { return 1 << uint(partition) }

// reportContact sets the partition's bits in a pull reply if the version that the pulling process has after this
// reply is confirmed by contact, direct or relayed.
func (g *Group) reportContact(now clock.Micros, version wire.Version, reply *wire.PullReply) {
	if g.inContact(now, version) {
		reply.ContactMask |= partitionBit(g.partition)
	}
	if g.relayedAt > 0 && now-g.relayedAt <= RelayedContactFor {
		reply.RelayedMask |= partitionBit(g.partition)
	}
}

// relayContact records the contact reported by another core in its reply to this core's pull.
func (h *Host) relayContact(v configsync.Pulled) {
	for _, g := range h.groups {
		if v.Contact&partitionBit(g.partition) != 0 {
			g.relayedAt = max(g.relayedAt, v.SentAt)
		}
	}
}

// clock returns this process's monotonic clock as it is sent to leaders. Its origin is random for each start, so that
// a proof for an earlier incarnation is not valid for this one.
func (h *Host) clock(now clock.Micros) clock.Micros { return h.clockOrigin + now }

// watchContact logs and counts the loss of a leader's contact with a majority.
func (g *Group) watchContact(ctx *kernel.Context) {
	since := ctx.Now - max(g.leaderSince, g.contact.confirmedAt)
	lost := g.ready && since > ContactFor
	if lost && !g.contactLost {
		ctx.Counts.Add("part_contact_lost", 1)
		ctx.Log(kernel.LevelWarn, "leader_without_contact", "partition", g.partition, "term", g.term, "since_us", since)
	}
	g.contactLost = lost
}
