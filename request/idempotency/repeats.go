// Repeats of searches and reads: they may run again, but what they add to a pool's
// traffic is paid from its budget of extra tries, through whichever node they come.
// One owner of the key tells whether it was sent before. It is asked for a moment
// only: where it does not answer, the inquiry counts as a first try.

package idempotency

import (
	"wallport/request/search"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of repeats.
const (
	SeenWait = 20_000
	SeenFor  = 60_000_000
	SeenMost = 65536
)

// seenKeys remembers keys that were sent, oldest first.
type seenKeys struct {
	at    map[string]int64
	order []string
}

// add reports whether a key was there, and keeps it.
func (s *seenKeys) add(key string, now int64) bool {
	at, ok := s.at[key]
	before := ok && now-at < SeenFor
	if !ok {
		s.order = append(s.order, key)
	}
	s.at[key] = now
	for len(s.order) > SeenMost || len(s.order) > 0 && now-s.at[s.order[0]] >= SeenFor {
		delete(s.at, s.order[0])
		s.order = s.order[1:]
	}
	return before
}

func (s *seenKeys) has(key string, now int64) bool {
	at, ok := s.at[key]
	return ok && now-at < SeenFor
}

// forget lets the next try of a key count as the first.
func (s *seenKeys) forget(key string) {
	if _, ok := s.at[key]; ok {
		s.at[key] = -SeenFor
	}
}

// seenOwner is the address of the live owner that is asked, empty for this process
// itself; ok is false where none is live.
func (c *Coordinator) seenOwner(key string) (addr string, ok bool) {
	for _, h := range Owners(key, c.snapshot().KeyOwners) {
		if h.Origin == c.mesh.Self() {
			return "", true
		}
		if h.Live {
			return h.Addr, true
		}
	}
	return "", false
}

// askSeen asks whether a search or read was sent before.
func (c *Coordinator) askSeen(ctx *kernel.Context, id uint64, a Admit) {
	addr, ok := c.seenOwner(a.Key)
	if !ok || addr == "" {
		ctx.Reply(id, search.Verdict{Code: "in", Repeat: ok && c.seen.add(a.Key, ctx.Now)})
		return
	}
	c.next++
	c.admissions[c.next] = &admission{id: id, ask: a}
	ctx.SendTo(addr, wire.KindSeenRequest, c.next, &wire.SeenRequest{Key: a.Key})
	ctx.AfterFor(SeenWait, "idempotency", c.next)
}

func (c *Coordinator) seenReply(ctx *kernel.Context, n uint64, m wire.SeenReply) {
	pending := c.admissions[n]
	if pending == nil || !pending.ask.Again || pending.ask.Key != m.Key {
		return
	}
	delete(c.admissions, n)
	if m.Seen {
		ctx.Counts.Add("repeats_seen", 1)
	}
	ctx.Reply(pending.id, search.Verdict{Code: "in", Repeat: m.Seen})
}

// unseen takes a key back that came to nothing.
func (c *Coordinator) unseen(ctx *kernel.Context, key string) {
	if addr, ok := c.seenOwner(key); ok && addr != "" {
		ctx.SendTo(addr, wire.KindSeenRequest, 0, &wire.SeenRequest{Key: key, Forget: true})
		return
	}
	c.seen.forget(key)
}
