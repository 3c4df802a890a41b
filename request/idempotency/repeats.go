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
	RepeatCheckTimeout = 20_000
	RepeatWindow       = 60_000_000
	MaxRecentKeys      = 65536
)

// recentKeys remembers keys that were sent, oldest first.
type recentKeys struct {
	seenAt map[string]int64
	order  []string
}

// add reports whether a key was there, and keeps it.
func (s *recentKeys) add(key string, now int64) bool {
	at, ok := s.seenAt[key]
	before := ok && now-at < RepeatWindow
	if !ok {
		s.order = append(s.order, key)
	}
	s.seenAt[key] = now
	for len(s.order) > MaxRecentKeys || len(s.order) > 0 && now-s.seenAt[s.order[0]] >= RepeatWindow {
		delete(s.seenAt, s.order[0])
		s.order = s.order[1:]
	}
	return before
}

func (s *recentKeys) has(key string, now int64) bool {
	at, ok := s.seenAt[key]
	return ok && now-at < RepeatWindow
}

// forget lets the next try of a key count as the first.
func (s *recentKeys) forget(key string) {
	if _, ok := s.seenAt[key]; ok {
		s.seenAt[key] = -RepeatWindow
	}
}

// repeatOwner is the address of the live owner that is asked, empty for this process
// itself; ok is false where none is live.
func (c *Coordinator) repeatOwner(key string) (addr string, ok bool) {
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

// checkRepeat asks whether a search or read was sent before.
func (c *Coordinator) checkRepeat(ctx *kernel.Context, id uint64, a Admit) {
	addr, ok := c.repeatOwner(a.Key)
	if !ok || addr == "" {
		ctx.Reply(id, search.Admission{Code: "in", Repeat: ok && c.recent.add(a.Key, ctx.Now)})
		return
	}
	c.lastID++
	c.admissions[c.lastID] = &admission{id: id, request: a}
	ctx.SendTo(addr, wire.KindSeenRequest, c.lastID, &wire.SeenRequest{Key: a.Key})
	ctx.AfterFor(RepeatCheckTimeout, "idempotency", c.lastID)
}

func (c *Coordinator) receiveSeenReply(ctx *kernel.Context, n uint64, m wire.SeenReply) {
	pending := c.admissions[n]
	if pending == nil || !pending.request.Repeatable || pending.request.Key != m.Key {
		return
	}
	delete(c.admissions, n)
	if m.Seen {
		ctx.Counts.Add("repeats_seen", 1)
	}
	ctx.Reply(pending.id, search.Admission{Code: "in", Repeat: m.Seen})
}

// forgetRepeat takes a key back that came to nothing.
func (c *Coordinator) forgetRepeat(ctx *kernel.Context, key string) {
	if addr, ok := c.repeatOwner(key); ok && addr != "" {
		ctx.SendTo(addr, wire.KindSeenRequest, 0, &wire.SeenRequest{Key: key, Forget: true})
		return
	}
	c.recent.forget(key)
}
