package idempotency

import (
	"encoding/json"
	"fmt"
	"slices"

	"wallport/request/search"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// admission is an undecided admission of a key for a request that this node received.
type admission struct {
	id       uint64
	request  Admit
	owners   []snapshot.Node
	deadline clock.Micros
	// replies holds the last reply of each owner, by the owner's name.
	replies map[string]ownerReply
	// attempted reports whether an earlier request with the key was released after an attempt.
	attempted bool
	// decideAt is set once a majority admitted the key. It is the time until which the admission waits for the
	// remaining owners.
	decideAt clock.Micros
}

// admit starts the admission of a key. The admission ends when the owners' replies decide it, or at its deadline.
func (c *Coordinator) admit(ctx *kernel.Context, id uint64, a Admit) {
	current := c.snapshot()
	if c.inMinority(current, ctx.Now) {
		ctx.Counts.Add("claims_minority", 1)
		ctx.Reply(id, search.Admission{Code: search.AdmissionNoQuorum, Reason: "this node sees too few of the fleet to vouch for a key"})
		return
	}
	c.lastID++
	n := c.lastID
	pending := &admission{id: id, request: a, deadline: ctx.Now + min(a.Timeout, MaxAdmissionWait), replies: map[string]ownerReply{}}
	c.admissions[n] = pending
	if !c.rosterUnknown(ctx.Now) {
		pending.owners = Owners(a.Key, current.KeyOwners)
		c.sendAdmitRequests(ctx, n, pending)
	}
	if c.admissions[n] != nil {
		ctx.AfterFor(min(ResendInterval, pending.deadline-ctx.Now), pluginName, n)
	}
}

// rosterUnknown reports whether this process has just started and may not have the complete roster yet. With an
// incomplete roster it would ask too few owners.
func (c *Coordinator) rosterUnknown(now clock.Micros) bool {
	if c.caughtUpAt == 0 {
		return now-c.startedAt < RosterConvergence
	}
	return now-c.caughtUpAt < RosterLoadWait
}

// sendAdmitRequests sends an admission request to every owner that has not admitted the key yet.
func (c *Coordinator) sendAdmitRequests(ctx *kernel.Context, n uint64, pending *admission) {
	m := wire.AdmitRequest{Key: pending.request.Key, Index: pending.request.Index, From: c.token(n), Sum: pending.request.Digest}
	for _, owner := range pending.owners {
		switch {
		case c.admissions[n] == nil:
			return
		case pending.replies[owner.Name].code == replyAdmitted:
		case owner.Origin == c.mesh.Self():
			c.receiveReply(ctx, n, c.handleAdmitRequest(ctx, m))
		default:
			ctx.SendTo(owner.Addr, wire.KindAdmitRequest, n, &m)
		}
	}
}

func (c *Coordinator) receiveReply(ctx *kernel.Context, n uint64, r wire.AdmitReply) {
	pending := c.admissions[n]
	if pending == nil || pending.request.Key != r.Key {
		return
	}
	for _, owner := range pending.owners {
		// Replies are stored by name, so that the reply of a restarted owner, which is uncertain, replaces the
		// reply of its previous process.
		if owner.Name == r.Name || owner.Origin == r.From {
			pending.replies[owner.Name] = ownerReply{code: r.Code, owners: r.KeyOwners}
		}
	}
	pending.attempted = pending.attempted || r.Attempted
	switch r.Code {
	case replyCompleted, replyInProgress, replyConflict:
		c.finish(ctx, n, search.Admission{Code: search.AdmissionCode(r.Code), Outcome: r.Body})
		return
	}
	c.decide(ctx, n, pending)
}

// decide grants the admission if a majority of the key's owners admitted the key, after waiting up to StragglerWait
// for the remaining owners. If the caller asserts that this is its first attempt, uncertain owners count towards the
// majority.
func (c *Coordinator) decide(ctx *kernel.Context, n uint64, pending *admission) {
	if len(pending.owners) == 0 {
		return
	}
	switch {
	case !pending.majority(pending.request.FirstAttempt):
		// An earlier majority may no longer exist, because an owner lost its record or the roster grew.
		return
	case len(pending.replies) == len(pending.owners):
	case pending.decideAt == 0:
		pending.decideAt = ctx.Now + StragglerWait
		ctx.AfterFor(StragglerWait, pluginName, n)
		return
	case ctx.Now < pending.decideAt:
		return
	}
	c.finish(ctx, n, search.Admission{Code: search.AdmissionGranted, Token: c.token(n), Repeat: pending.attempted})
}

// onTimer handles the timer of an admission. It decides the admission, asks the owners again, or ends the
// admission at its deadline.
func (c *Coordinator) onTimer(ctx *kernel.Context, n uint64) {
	pending := c.admissions[n]
	switch {
	case pending == nil:
		return
	case pending.request.Repeatable:
		// The owner did not reply in time. The request counts as a first attempt.
		delete(c.admissions, n)
		ctx.Reply(pending.id, search.Admission{Code: search.AdmissionGranted})
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
		c.sendAdmitRequests(ctx, n, pending)
		if c.admissions[n] != nil {
			ctx.AfterFor(min(ResendInterval, pending.deadline-ctx.Now), pluginName, n)
		}
		return
	}
	if pending.majority(true) {
		// The owners without a conflicting record are a majority only if owners that may have lost their records
		// are counted. An earlier request may therefore have run.
		ctx.Counts.Add("claims_unknown", 1)
		c.finish(ctx, n, search.Admission{Code: search.AdmissionStateLost})
		return
	}
	ctx.Counts.Add("claims_short", 1)
	c.finish(ctx, n, search.Admission{Code: search.AdmissionNoQuorum, Reason: fmt.Sprintf("%d of the key's %d home nodes answered", pending.countAgreeing(), len(pending.owners))})
}

// addOwners adds owners that this node has learned of since the admission started. It removes no owner, because
// each of them may have a record of the key.
func (a *admission) addOwners(owners []snapshot.Node) {
	for _, owner := range owners {
		if !slices.ContainsFunc(a.owners, func(known snapshot.Node) bool { return known.Name == owner.Name }) {
			a.owners = append(a.owners, owner)
		}
	}
}

// token returns the token of an admission. It is unique per admission rather than per node, so that two
// admissions of one key through the same node cannot release each other.
func (c *Coordinator) token(n uint64) string { return fmt.Sprintf("%s#%d", c.mesh.Self(), n) }

// finish ends an admission and replies to the caller. If the key was not admitted, it also makes the owners release
// the key or, after a loss of their records, mark it as completed.
func (c *Coordinator) finish(ctx *kernel.Context, n uint64, result search.Admission) {
	pending := c.admissions[n]
	delete(c.admissions, n)
	ctx.Reply(pending.id, result)
	switch result.Code {
	case search.AdmissionGranted:
	case search.AdmissionStateLost:
		// An earlier request with the key may have run, so the key must not be admitted later either. It is marked
		// as completed without a known outcome.
		c.broadcast(ctx, pending.owners, wire.Outcome{Key: pending.request.Key, Code: outcomeCompleted})
	default:
		c.broadcast(ctx, pending.owners, wire.Outcome{Key: pending.request.Key, Code: outcomeReleased, Body: []byte(c.token(n))})
	}
}

// publishOutcome records the outcome of an admitted key at its owners.
func (c *Coordinator) publishOutcome(ctx *kernel.Context, a RecordOutcome) {
	m := wire.Outcome{Key: a.Key, Code: a.Code}
	switch {
	case a.Code == string(search.ResolutionNotSent):
		c.forgetRepeat(ctx, a.Key)
		return
	case a.Code == string(search.ResolutionReleased):
		m.Body, m.Attempted = []byte(a.Token), a.Attempted
	default:
		if b, err := json.Marshal(a.Outcome); err == nil {
			m.Body = b
		}
	}
	c.broadcast(ctx, Owners(a.Key, c.snapshot().KeyOwners), m)
}

func (c *Coordinator) broadcast(ctx *kernel.Context, owners []snapshot.Node, m wire.Outcome) {
	for _, owner := range owners {
		if owner.Origin == c.mesh.Self() {
			c.updateRecord(ctx, m)
			continue
		}
		ctx.SendTo(owner.Addr, wire.KindOutcome, 0, &m)
	}
}
