// Contact with a majority: what a leader may still say, and what a core that is
// asked for its state may call confirmed, rests on heartbeat rounds that a
// majority answered, counted from when they were sent.
package part

import (
	"slices"

	"wallport/kernel"
	"wallport/mesh"
	"wallport/pulls"
	"wallport/wire"
)

// Bounds of contact, in microseconds.
const (
	// ContactFor is how long after its sending a confirmed round stands for contact with a majority.
	ContactFor = 1_000_000
	// RelayedFor is how long after a core asked another one, that one's contact is passed on.
	RelayedFor = 2_000_000
)

// sentRound is a heartbeat round that is not confirmed yet.
type sentRound struct {
	round uint64
	at    int64
}

// contact is what a replica knows of contact with a majority for its group.
type contact struct {
	// A leader's rounds on their way, oldest first, and when the newest was sent that a majority answered.
	sent        []sentRound
	confirmedAt int64
	// offsets lead from the leader's clock to that of each voter, or to a moment before it.
	offsets map[string]int64
	// provenAt is, at a follower, a moment of its own clock not later than the sending of a round that a
	// majority answered; committed is the version that the leader had committed by then.
	provenAt  int64
	committed wire.Stamp
}

// leads begins a leader's account: nothing of its term is confirmed yet.
func (c *contact) leads() {
	c.sent, c.confirmedAt, c.offsets = nil, 0, map[string]int64{}
}

// sends notes a round; one too old to prove anything is dropped.
func (c *contact) sends(round uint64, now int64) {
	c.sent = slices.DeleteFunc(c.sent, func(r sentRound) bool { return now-r.at > ContactFor })
	c.sent = append(c.sent, sentRound{round, now})
}

// confirms notes which rounds a majority has answered.
func (c *contact) confirms(answered func(round uint64) bool) {
	for len(c.sent) > 0 && answered(c.sent[0].round) {
		c.confirmedAt = max(c.confirmedAt, c.sent[0].at)
		c.sent = c.sent[1:]
	}
}

// within tells whether a leader's newest confirmed round was sent less than d ago.
func (c *contact) within(now, d int64) bool {
	return c.confirmedAt > 0 && now-c.confirmedAt <= d
}

// proofFor is the proof of contact that goes to a voter with a heartbeat, on that voter's clock.
func (c *contact) proofFor(id string) int64 {
	offset, known := c.offsets[id]
	if !known || c.confirmedAt == 0 {
		return 0
	}
	return max(0, c.confirmedAt+offset)
}

// proven takes the proof of a leader's heartbeat. One on another clock, that of an earlier life of
// this process, proves nothing.
func (c *contact) proven(at, now int64, committed wire.Stamp) {
	if at <= 0 || at > now {
		return
	}
	c.provenAt = max(c.provenAt, at)
	if mesh.Newer(committed, c.committed) {
		c.committed = committed
	}
}

// inContact tells whether a version that is handed out holds all that was acknowledged until
// shortly before, by this replica's own contact with a majority.
func (g *Group) inContact(now int64, version wire.Stamp) bool {
	if g.role == owner {
		return g.ready && g.contact.within(now, ContactFor)
	}
	return g.contact.provenAt > 0 && now-g.contact.provenAt <= ContactFor && !mesh.Newer(g.contact.committed, version)
}

// clock is this process's steady clock as it is told to leaders: its origin is another one at
// each start, so that a proof for an earlier life is none for this one.
func (s *Seats) clock(now int64) int64 { return s.clockOrigin + now }

// clockOrigins is the range from which the origin of a clock is drawn.
const clockOrigins = 1 << 60

// pulledFrom notes the contact of another core that has answered this one's pull.
func (s *Seats) pulledFrom(v pulls.Pulled) {
	for _, g := range s.groups {
		if v.Contact&(1<<uint(g.part)) != 0 {
			g.relayedAt = max(g.relayedAt, v.AskedAt)
		}
	}
}

// noteContact logs and counts when a leader loses its contact with a majority.
func (g *Group) noteContact(t *kernel.Turn) {
	lost := g.ready && !g.contact.within(t.Now, ContactFor)
	if lost && !g.lostContact {
		t.Counts.Add("part_contact_lost", 1)
		t.Note(1, "part_contact_lost", "part", g.part, "term", g.term, "confirmed_us_ago", t.Now-g.contact.confirmedAt)
	}
	g.lostContact = lost
}
