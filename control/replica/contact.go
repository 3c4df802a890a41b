// Contact with a majority: what a leader may still say, and what a core that is
// asked for its state may call confirmed, rests on heartbeat rounds that a
// majority answered, counted from when they were sent.

package replica

import (
	"slices"

	"wallport/cluster/mesh"
	"wallport/control/configsync"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Bounds of contact, in microseconds.
const (
	// ContactFor is how long after its sending a confirmed round stands for contact with a majority.
	ContactFor = 1_000_000
	// RelayedContactFor is how long after a core asked another one, that one's contact is passed on.
	RelayedContactFor = 2_000_000
	// clockOrigins is the range from which the origin of the clock is drawn that leaders are told.
	clockOrigins = 1 << 60
)

// sentRound is a heartbeat round that no majority has answered yet.
type sentRound struct {
	number uint64
	sentAt int64
}

// contact is what a replica knows of its group's contact with a majority.
type contact struct {
	// A leader's rounds on their way, oldest first, and when the newest was sent that a majority answered.
	openRounds  []sentRound
	confirmedAt int64
	// offsets lead from the leader's clock to that of each voter, or to a moment before it.
	offsets map[string]int64
	// provenAt is, at a follower, a moment of its own clock not later than the sending of a round that a
	// majority answered; committed is the version that the leader had committed by then.
	provenAt  int64
	committed wire.Version
}

// reset begins a leader's account: nothing of its term is confirmed yet.
func (c *contact) reset() {
	c.openRounds, c.confirmedAt, c.offsets = nil, 0, map[string]int64{}
}

// roundSent notes a round; those too old to prove anything are dropped.
func (c *contact) roundSent(round uint64, now int64) {
	c.openRounds = slices.DeleteFunc(c.openRounds, func(r sentRound) bool { return now-r.sentAt > ContactFor })
	c.openRounds = append(c.openRounds, sentRound{round, now})
}

// recordClock notes a voter's clock as its answer tells it.
func (c *contact) recordClock(r wire.LeaderHeartbeatReply, now int64) {
	if r.Clock > 0 {
		c.offsets[r.From] = r.Clock - now
	}
}

// confirmedWithin reports whether a leader's newest confirmed round was sent at most d ago.
func (c *contact) confirmedWithin(now, d int64) bool {
	return c.confirmedAt > 0 && now-c.confirmedAt <= d
}

// proofFor is the proof of contact that a voter is sent with a heartbeat, on that voter's clock.
func (c *contact) proofFor(id string) int64 {
	offset, known := c.offsets[id]
	if !known || c.confirmedAt == 0 {
		return 0
	}
	return max(0, c.confirmedAt+offset)
}

// recordProof takes the proof of a leader's heartbeat. One on another clock, that of an earlier life of
// this process, proves nothing.
func (c *contact) recordProof(at, now int64, committed wire.Version) {
	if at <= 0 || at > now {
		return
	}
	c.provenAt = max(c.provenAt, at)
	if mesh.Newer(committed, c.committed) {
		c.committed = committed
	}
}

// confirmRounds notes which of a leader's rounds a majority has answered.
func (g *Group) confirmRounds() {
	c := &g.contact
	for len(c.openRounds) > 0 && g.isConfirmed(c.openRounds[0].number) {
		c.confirmedAt = max(c.confirmedAt, c.openRounds[0].sentAt)
		c.openRounds = c.openRounds[1:]
	}
}

func (g *Group) isConfirmed(round uint64) bool {
	return quorum(g.newestVersion(), func(id string) bool { return id == g.self() || g.confirmedRounds[id] >= round })
}

// inContact reports whether a version that is handed out holds all that was acknowledged until
// shortly before, by this replica's own contact with a majority.
func (g *Group) inContact(now int64, version wire.Version) bool {
	if g.role == leader {
		return g.ready && g.contact.confirmedWithin(now, ContactFor)
	}
	proven := g.contact.provenAt > 0 && now-g.contact.provenAt <= ContactFor
	return proven && !mesh.Newer(g.contact.committed, version)
}

// knowsLeader reports whether callers may be sent to the leader that this replica knows.
func (g *Group) knowsLeader(now int64) bool {
	if g.role == leader {
		return g.contact.confirmedWithin(now, ContactFor)
	}
	return now-g.leaderSeen < StepDownAfter
}

// reportContact tells who pulls whether the version that it has now is confirmed.
func (g *Group) reportContact(now int64, version wire.Version, r *wire.PullReply) {
	bit := uint32(1) << uint(g.partition)
	if g.inContact(now, version) {
		r.ContactMask |= bit
	}
	if g.relayedAt > 0 && now-g.relayedAt <= RelayedContactFor {
		r.RelayedMask |= bit
	}
}

// relayContact notes the contact of another core that has answered this one's pull.
func (h *Host) relayContact(v configsync.Pulled) {
	for _, g := range h.groups {
		if v.Contact&(1<<uint(g.partition)) != 0 {
			g.relayedAt = max(g.relayedAt, v.SentAt)
		}
	}
}

// clock is this process's steady clock as leaders are told it. Its origin is another one at each
// start, so that a proof for an earlier life is none for this one.
func (h *Host) clock(now int64) int64 { return h.clockOrigin + now }

// watchContact logs and counts when a leader loses its contact with a majority.
func (g *Group) watchContact(ctx *kernel.Context) {
	since := ctx.Now - max(g.leaderSince, g.contact.confirmedAt)
	lost := g.ready && since > ContactFor
	if lost && !g.contactLost {
		ctx.Counts.Add("part_contact_lost", 1)
		ctx.Log(kernel.LevelWarn, "leader_without_contact", "part", g.partition, "term", g.term, "since_us", since)
	}
	g.contactLost = lost
}
