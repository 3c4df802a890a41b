// The side of the node that wants a key let in: it asks all homes, those that are
// silent or unsure again while there is time, and decides.
package claims

import (
	"encoding/json"
	"fmt"
	"slices"

	"wallport/inquiry"
	"wallport/kernel"
	"wallport/table"
	"wallport/wire"
)

type asking struct {
	id      uint64
	ask     Ask
	homes   []table.Node
	until   int64
	replies map[string]homeReply
	tried   bool
	// decideAt is set once a majority let the key in and only slower homes are waited for.
	decideAt int64
}

// ask claims a key at its homes.
func (c *Claims) ask(t *kernel.Turn, id uint64, a Ask) {
	cp := c.snapshot()
	if c.minority(cp, t.Now) {
		t.Counts.Add("claims_minority", 1)
		t.Answer(id, inquiry.Verdict{Code: "short", Why: "this node sees too few of the fleet to vouch for a key"})
		return
	}
	c.next++
	n := c.next
	w := &asking{id: id, ask: a, until: t.Now + min(a.Within, GiveUp), replies: map[string]homeReply{}}
	c.asks[n] = w
	if !c.fresh(t.Now) {
		w.homes = Homes(a.Key, cp.Homes)
		c.send(t, n, w)
	}
	if c.asks[n] != nil {
		t.After(min(AskEvery, w.until-t.Now), "claims", fmt.Sprint(n))
	}
}

// fresh tells that this process has just started and cannot know yet who else is there: the
// homes that it would ask were too few.
func (c *Claims) fresh(now int64) bool {
	if c.caught == 0 {
		return now-c.began < SettleFor
	}
	return now-c.caught < RosterWait
}

// send asks every home that has not let the key in yet.
func (c *Claims) send(t *kernel.Turn, n uint64, w *asking) {
	m := wire.Claim{Key: w.ask.Key, Index: w.ask.Index, From: c.token(n), Sum: w.ask.Sum}
	for _, h := range w.homes {
		switch {
		case c.asks[n] == nil:
			return
		case w.replies[h.Name].code == "in":
		case h.Origin == c.mesh.Self():
			c.replied(t, n, c.claim(t, m))
		default:
			t.SendTo(h.Addr, wire.KindClaim, n, &m)
		}
	}
}

func (c *Claims) replied(t *kernel.Turn, n uint64, r wire.ClaimReply) {
	w := c.asks[n]
	if w == nil || w.ask.Key != r.Key {
		return
	}
	for _, h := range w.homes {
		// By name: a home that was started anew answers for its place, as one that is unsure.
		if h.Name == r.Name || h.Origin == r.From {
			w.replies[h.Name] = homeReply{code: r.Code, homes: r.Homes}
		}
	}
	w.tried = w.tried || r.Tried
	switch r.Code {
	case "done", "running", "conflict":
		c.end(t, n, inquiry.Verdict{Code: r.Code, Body: r.Body})
		return
	}
	c.decide(t, n, w)
}

// decide lets a key in that a majority of its homes let in. A caller's word that this
// is its first try makes up for homes that cannot be sure.
func (c *Claims) decide(t *kernel.Turn, n uint64, w *asking) {
	if len(w.homes) == 0 {
		return
	}
	enough := w.majority(w.ask.First)
	switch {
	case enough && len(w.replies) == len(w.homes):
	case w.decideAt > 0 && t.Now >= w.decideAt:
	case enough && w.decideAt == 0:
		w.decideAt = t.Now + LastWait
		t.After(LastWait, "claims", fmt.Sprint(n))
		return
	default:
		return
	}
	c.end(t, n, inquiry.Verdict{Code: "in", Token: c.token(n), Repeat: w.tried})
}

// again is a claim's timer: it decides, asks again, or gives up.
func (c *Claims) again(t *kernel.Turn, n uint64) {
	w := c.asks[n]
	switch {
	case w == nil:
		return
	case w.ask.Again:
		// The home is silent: what cannot be told from a first try is one.
		delete(c.asks, n)
		t.Answer(w.id, inquiry.Verdict{Code: "in"})
		return
	}
	if !c.fresh(t.Now) {
		w.widen(Homes(w.ask.Key, c.snapshot().Homes))
	}
	if c.decide(t, n, w); c.asks[n] == nil || w.decideAt > t.Now {
		return
	}
	if t.Now < w.until {
		t.Counts.Add("claims_asked_again", 1)
		c.send(t, n, w)
		if c.asks[n] != nil {
			t.After(min(AskEvery, w.until-t.Now), "claims", fmt.Sprint(n))
		}
		return
	}
	if w.majority(true) {
		// Those that would know have lost what they knew, and an earlier try may have run.
		t.Counts.Add("claims_unknown", 1)
		c.end(t, n, inquiry.Verdict{Code: "unknown"})
		return
	}
	t.Counts.Add("claims_short", 1)
	c.end(t, n, inquiry.Verdict{Code: "short", Why: fmt.Sprintf("%d of the key's %d home nodes answered", w.agreed(), len(w.homes))})
}

// widen adds homes that this node has learned of meanwhile. None is left out: it may hold the claim.
func (w *asking) widen(homes []table.Node) {
	for _, h := range homes {
		if !slices.ContainsFunc(w.homes, func(o table.Node) bool { return o.Name == h.Name }) {
			w.homes = append(w.homes, h)
		}
	}
}

// token names one claim, not its node: two claims of one key through one node
// must not release each other.
func (c *Claims) token(n uint64) string { return fmt.Sprintf("%s#%d", c.mesh.Self(), n) }

func (c *Claims) end(t *kernel.Turn, n uint64, v inquiry.Verdict) {
	w := c.asks[n]
	delete(c.asks, n)
	t.Answer(w.id, v)
	switch v.Code {
	case "in":
	case "unknown":
		// It stays unknown: what was not let in now must not be let in later either.
		c.spread(t, w.homes, wire.Settle{Key: w.ask.Key, Code: "done"})
	default:
		c.spread(t, w.homes, wire.Settle{Key: w.ask.Key, Code: "released", Body: []byte(c.token(n))})
	}
}

// tell settles a key that this node was let in with.
func (c *Claims) tell(t *kernel.Turn, a Tell) {
	m := wire.Settle{Key: a.Key, Code: a.Code}
	switch {
	case a.Code == "unseen":
		c.unseen(t, a.Key)
		return
	case a.Code == "released":
		m.Body, m.Tried = []byte(a.Token), a.Tried
	default:
		if b, err := json.Marshal(a.Outcome); err == nil {
			m.Body = b
		}
	}
	c.spread(t, Homes(a.Key, c.snapshot().Homes), m)
}

func (c *Claims) spread(t *kernel.Turn, homes []table.Node, m wire.Settle) {
	for _, h := range homes {
		if h.Origin == c.mesh.Self() {
			c.settle(t, m)
			continue
		}
		t.SendTo(h.Addr, wire.KindSettle, 0, &m)
	}
}
