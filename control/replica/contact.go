package replica

import (
	"slices"

	"wallport/cluster/mesh"
	"wallport/control/configsync"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Contact with a majority decides what may be said. A leader's replies, its leases, and what a core calls
// confirmed in its answers to pulls all rest on heartbeat rounds that a majority has answered, counted from
// when the round was sent. A leader passes its contact on to the followers, on their own clocks.

const (
	// ContactFor is how long after its sending a confirmed round stands for contact with a majority.
	ContactFor = 1 * clock.Second
	// RelayedContactFor is how long after its pull a core passes on the contact of the core that answered.
	RelayedContactFor = 2 * clock.Second
	// clockOrigins is the range from which the origin of the clock is drawn that leaders are told.
	clockOrigins = 1 << 60
)

// sentRound is a heartbeat round that no majority has answered yet.
type sentRound struct {
	number uint64
	sentAt clock.Micros
}

// contact is what a replica knows of its group's contact with a majority.
type contact struct {
	// openRounds are a leader's rounds that no majority has answered, oldest first; confirmedAt is when the
	// newest round was sent that one has answered.
	openRounds  []sentRound
	confirmedAt clock.Micros
	// offsets are the differences between each voter's clock and the leader's, at most: a reply that was
	// delayed makes one smaller, which makes the proof older.
	offsets map[string]clock.Micros
	// provenAt is, at a follower and by its own clock, a moment not later than the sending of a round that a
	// majority answered; committed is the version that the leader had committed by then.
	provenAt  clock.Micros
	committed wire.Version
}

// reset begins a leader's term, in which nothing is confirmed yet.
func (c *contact) reset() {
	c.openRounds, c.confirmedAt, c.offsets = nil, 0, map[string]clock.Micros{}
}

// recordRound records a round, and forgets those that are too old to prove anything.
func (c *contact) recordRound(number uint64, now clock.Micros) {
	c.openRounds = slices.DeleteFunc(c.openRounds, func(r sentRound) bool { return now-r.sentAt > ContactFor })
	c.openRounds = append(c.openRounds, sentRound{number, now})
}

// recordClock records a voter's clock as its heartbeat reply shows it.
func (c *contact) recordClock(reply wire.LeaderHeartbeatReply, now clock.Micros) {
	if reply.Clock > 0 {
		c.offsets[reply.From] = reply.Clock - now
	}
}

// confirmedWithin reports whether a leader's newest confirmed round was sent at most span ago.
func (c *contact) confirmedWithin(now, span clock.Micros) bool {
	return c.confirmedAt > 0 && now-c.confirmedAt <= span
}

// proofFor is the proof of contact for a voter, on that voter's clock; 0 proves nothing.
func (c *contact) proofFor(id string) clock.Micros {
	offset, known := c.offsets[id]
	if !known || c.confirmedAt == 0 {
		return 0
	}
	return max(0, c.confirmedAt+offset)
}

// recordProof takes the proof of contact out of a leader's heartbeat. One on another clock, that of an earlier
// incarnation of this process, lies outside of the time since the start and proves nothing.
func (c *contact) recordProof(at, now clock.Micros, committed wire.Version) {
	if at <= 0 || at > now {
		return
	}
	c.provenAt = max(c.provenAt, at)
	if mesh.Newer(committed, c.committed) {
		c.committed = committed
	}
}

// confirmRounds records which of a leader's rounds a majority has answered.
func (g *Group) confirmRounds() {
	c := &g.contact
	for len(c.openRounds) > 0 && g.isConfirmed(c.openRounds[0].number) {
		c.confirmedAt = max(c.confirmedAt, c.openRounds[0].sentAt)
		c.openRounds = c.openRounds[1:]
	}
}

// isConfirmed reports whether a majority has answered a heartbeat round of this term, or a later one.
func (g *Group) isConfirmed(round uint64) bool {
	return quorum(g.newestVersion(), func(id string) bool { return id == g.self() || g.confirmedRounds[id] >= round })
}

// inContact reports whether a version that is handed out contains all that was acknowledged until shortly
// before, as far as this replica's own contact with a majority proves it.
func (g *Group) inContact(now clock.Micros, version wire.Version) bool {
	if g.role == leader {
		return g.ready && g.contact.confirmedWithin(now, ContactFor)
	}
	proven := g.contact.provenAt > 0 && now-g.contact.provenAt <= ContactFor
	return proven && !mesh.Newer(g.contact.committed, version)
}

// partitionBit is a partition's bit in the masks of a pull's reply.
func partitionBit(partition int) uint32 { return 1 << uint(partition) }

// reportContact tells the process that pulls whether the version that it has after the reply is confirmed.
func (g *Group) reportContact(now clock.Micros, version wire.Version, reply *wire.PullReply) {
	if g.inContact(now, version) {
		reply.ContactMask |= partitionBit(g.partition)
	}
	if g.relayedAt > 0 && now-g.relayedAt <= RelayedContactFor {
		reply.RelayedMask |= partitionBit(g.partition)
	}
}

// relayContact records the contact of another core that has answered a pull of this one.
func (h *Host) relayContact(v configsync.Pulled) {
	for _, g := range h.groups {
		if v.Contact&partitionBit(g.partition) != 0 {
			g.relayedAt = max(g.relayedAt, v.SentAt)
		}
	}
}

// clock is this process's monotonic clock as leaders are told it. Its origin is drawn anew at each start, so
// that a proof for an earlier incarnation proves nothing to this one.
func (h *Host) clock(now clock.Micros) clock.Micros { return h.clockOrigin + now }

// watchContact logs and counts when a leader loses its contact with a majority.
func (g *Group) watchContact(ctx *kernel.Context) {
	since := ctx.Now - max(g.leaderSince, g.contact.confirmedAt)
	lost := g.ready && since > ContactFor
	if lost && !g.contactLost {
		ctx.Counts.Add("part_contact_lost", 1)
		ctx.Log(kernel.LevelWarn, "leader_without_contact", "partition", g.partition, "term", g.term, "since_us", since)
	}
	g.contactLost = lost
}
