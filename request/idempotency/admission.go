// The side of the node that wants a key let in: it asks all owners, those that are
// silent or unsure again while there is time, and decides.

package idempotency

import (
	"encoding/json"
	"fmt"
	"slices"

	"wallport/request/search"
	"wallport/request/snapshot"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

type admission struct {
	id        uint64
	request   Admit
	owners    []snapshot.Node
	deadline  int64
	replies   map[string]ownerReply
	attempted bool
	// decideAt is set once a majority let the key in and only slower owners are waited for.
	decideAt int64
}

// admit claims a key at its owners.
func (c *Coordinator) admit(ctx *kernel.Context, id uint64, a Admit) {
	cp := c.snapshot()
	if c.inMinority(cp, ctx.Now) {
		ctx.Counts.Add("claims_minority", 1)
		ctx.Reply(id, search.Admission{Code: "short", Reason: "this node sees too few of the fleet to vouch for a key"})
		return
	}
	c.lastID++
	n := c.lastID
	pending := &admission{id: id, request: a, deadline: ctx.Now + min(a.Timeout, MaxAdmissionWait), replies: map[string]ownerReply{}}
	c.admissions[n] = pending
	if !c.rosterUnknown(ctx.Now) {
		pending.owners = Owners(a.Key, cp.KeyOwners)
		c.sendClaims(ctx, n, pending)
	}
	if c.admissions[n] != nil {
		ctx.AfterFor(min(ResendInterval, pending.deadline-ctx.Now), "idempotency", n)
	}
}

// rosterUnknown tells that this process has just started and cannot know yet who else is there: the
// owners that it would ask were too few.
func (c *Coordinator) rosterUnknown(now int64) bool {
	if c.caughtUpAt == 0 {
		return now-c.startedAt < RosterConvergence
	}
	return now-c.caughtUpAt < RosterLoadWait
}

// sendClaims asks every owner that has not let the key in yet.
func (c *Coordinator) sendClaims(ctx *kernel.Context, n uint64, pending *admission) {
	m := wire.AdmitRequest{Key: pending.request.Key, Index: pending.request.Index, From: c.token(n), Sum: pending.request.Digest}
	for _, h := range pending.owners {
		switch {
		case c.admissions[n] == nil:
			return
		case pending.replies[h.Name].code == "in":
		case h.Origin == c.mesh.Self():
			c.receiveReply(ctx, n, c.handleClaim(ctx, m))
		default:
			ctx.SendTo(h.Addr, wire.KindAdmitRequest, n, &m)
		}
	}
}

func (c *Coordinator) receiveReply(ctx *kernel.Context, n uint64, r wire.AdmitReply) {
	pending := c.admissions[n]
	if pending == nil || pending.request.Key != r.Key {
		return
	}
	for _, h := range pending.owners {
		// By name: an owner that was started anew answers for its place, as one that is unsure.
		if h.Name == r.Name || h.Origin == r.From {
			pending.replies[h.Name] = ownerReply{code: r.Code, owners: r.KeyOwners}
		}
	}
	pending.attempted = pending.attempted || r.Attempted
	switch r.Code {
	case "done", "running", "conflict":
		c.finish(ctx, n, search.Admission{Code: search.AdmissionCode(r.Code), Outcome: r.Body})
		return
	}
	c.decide(ctx, n, pending)
}

// decide lets a key in that a majority of its owners let in. A caller's word that this
// is its first try makes up for owners that cannot be sure.
func (c *Coordinator) decide(ctx *kernel.Context, n uint64, pending *admission) {
	if len(pending.owners) == 0 {
		return
	}
	switch {
	case !pending.majority(pending.request.FirstAttempt):
		// An owner that let it in may have lost it since, or the roster have grown.
		return
	case len(pending.replies) == len(pending.owners):
	case pending.decideAt == 0:
		pending.decideAt = ctx.Now + StragglerWait
		ctx.AfterFor(StragglerWait, "idempotency", n)
		return
	case ctx.Now < pending.decideAt:
		return
	}
	c.finish(ctx, n, search.Admission{Code: "in", Token: c.token(n), Repeat: pending.attempted})
}

// onTimer is a claim's timer: it decides, asks again, or gives up.
func (c *Coordinator) onTimer(ctx *kernel.Context, n uint64) {
	pending := c.admissions[n]
	switch {
	case pending == nil:
		return
	case pending.request.Repeatable:
		// The owner is silent: what cannot be told from a first try is one.
		delete(c.admissions, n)
		ctx.Reply(pending.id, search.Admission{Code: "in"})
		return
	}
	if !c.rosterUnknown(ctx.Now) {
		pending.addOwners(Owners(pending.request.Key, c.snapshot().KeyOwners))
	}
	if c.decide(ctx, n, pending); c.admissions[n] == nil || pending.decideAt > ctx.Now {
		return
	}
	if ctx.Now < pending.deadline {
		ctx.Counts.Add("claims_asked_again", 1)
		c.sendClaims(ctx, n, pending)
		if c.admissions[n] != nil {
			ctx.AfterFor(min(ResendInterval, pending.deadline-ctx.Now), "idempotency", n)
		}
		return
	}
	if pending.majority(true) {
		// Those that would know have lost what they knew, and an earlier try may have run.
		ctx.Counts.Add("claims_unknown", 1)
		c.finish(ctx, n, search.Admission{Code: "unknown"})
		return
	}
	ctx.Counts.Add("claims_short", 1)
	c.finish(ctx, n, search.Admission{Code: "short", Reason: fmt.Sprintf("%d of the key's %d home nodes answered", pending.countAgreeing(), len(pending.owners))})
}

// addOwners adds owners that this node has learned of meanwhile. None is left out: it may hold the claim.
func (a *admission) addOwners(owners []snapshot.Node) {
	for _, h := range owners {
		if !slices.ContainsFunc(a.owners, func(o snapshot.Node) bool { return o.Name == h.Name }) {
			a.owners = append(a.owners, h)
		}
	}
}

// token names one claim, not its node: two claims of one key through one node
// must not release each other.
func (c *Coordinator) token(n uint64) string { return fmt.Sprintf("%s#%d", c.mesh.Self(), n) }

func (c *Coordinator) finish(ctx *kernel.Context, n uint64, v search.Admission) {
	pending := c.admissions[n]
	delete(c.admissions, n)
	ctx.Reply(pending.id, v)
	switch v.Code {
	case "in":
	case "unknown":
		// It stays unknown: what was not let in now must not be let in later either.
		c.broadcast(ctx, pending.owners, wire.Outcome{Key: pending.request.Key, Code: "done"})
	default:
		c.broadcast(ctx, pending.owners, wire.Outcome{Key: pending.request.Key, Code: "released", Body: []byte(c.token(n))})
	}
}

// publishOutcome settles a key that this node was let in with.
func (c *Coordinator) publishOutcome(ctx *kernel.Context, a RecordOutcome) {
	m := wire.Outcome{Key: a.Key, Code: a.Code}
	switch {
	case a.Code == "unseen":
		c.forgetRepeat(ctx, a.Key)
		return
	case a.Code == "released":
		m.Body, m.Attempted = []byte(a.Token), a.Attempted
	default:
		if b, err := json.Marshal(a.Outcome); err == nil {
			m.Body = b
		}
	}
	c.broadcast(ctx, Owners(a.Key, c.snapshot().KeyOwners), m)
}

func (c *Coordinator) broadcast(ctx *kernel.Context, owners []snapshot.Node, m wire.Outcome) {
	for _, h := range owners {
		if h.Origin == c.mesh.Self() {
			c.updateRecord(ctx, m)
			continue
		}
		ctx.SendTo(h.Addr, wire.KindOutcome, 0, &m)
	}
}
