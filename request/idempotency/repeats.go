package idempotency

import (
	"wallport/request/search"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Searches and reads may run again, but a repeated request is charged to the pool's retry budget, no matter which
// node receives it. One owner of the key reports whether the key was used before.
const (
	// RepeatCheckTimeout bounds the wait for that owner's reply. Without a reply the request counts as a first
	// attempt.
	RepeatCheckTimeout = 20 * clock.Millisecond
	// RepeatWindow is how long a key is remembered after its last use. MaxRecentKeys is the maximum number of
	// keys that are remembered.
	RepeatWindow  = clock.Minute
	MaxRecentKeys = 65536
)

// recentKeys remembers the keys that were used within the RepeatWindow.
type recentKeys struct {
	seenAt map[string]clock.Micros
	order  []string
}

// add records the use of a key and reports whether the key was used before.
func (s *recentKeys) add(key string, now clock.Micros) bool {
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

func (s *recentKeys) has(key string, now clock.Micros) bool {
	at, ok := s.seenAt[key]
	return ok && now-at < RepeatWindow
}

// forget makes the next use of a key count as the first.
func (s *recentKeys) forget(key string) {
	if _, ok := s.seenAt[key]; ok {
		s.seenAt[key] = -RepeatWindow
	}
}

// repeatOwner returns the address of the owner that remembers whether a key was used: the first live one. addr is
// empty if this process is that owner. ok is false if no owner is live.
func (c *Coordinator) repeatOwner(key string) (addr string, ok bool) {
	for _, owner := range Owners(key, c.snapshot().KeyOwners) {
		if owner.Origin == c.mesh.Self() {
			return "", true
		}
		if owner.Live {
			return owner.Addr, true
		}
	}
	return "", false
}

// checkRepeat asks the owner whether the key of a search or read was used before.
func (c *Coordinator) checkRepeat(ctx *kernel.Context, id uint64, a Admit) {
	addr, ok := c.repeatOwner(a.Key)
	if !ok || addr == "" {
		ctx.Reply(id, search.Admission{Code: search.AdmissionGranted, Repeat: ok && c.recent.add(a.Key, ctx.Now)})
		return
	}
	c.lastID++
	c.admissions[c.lastID] = &admission{id: id, request: a}
	ctx.SendTo(addr, wire.KindSeenRequest, c.lastID, &wire.SeenRequest{Key: a.Key})
	ctx.AfterFor(RepeatCheckTimeout, pluginName, c.lastID)
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
	ctx.Reply(pending.id, search.Admission{Code: search.AdmissionGranted, Repeat: m.Seen})
}

// forgetRepeat makes the owner forget a key whose request was not sent to any backend.
func (c *Coordinator) forgetRepeat(ctx *kernel.Context, key string) {
	if addr, ok := c.repeatOwner(key); ok && addr != "" {
		ctx.SendTo(addr, wire.KindSeenRequest, 0, &wire.SeenRequest{Key: key, Forget: true})
		return
	}
	c.recent.forget(key)
}
