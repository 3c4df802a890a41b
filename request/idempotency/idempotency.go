// Package idempotency keeps inquiry keys in the memory of their owner nodes, so that a
// correction or part fetch that a caller repeats through another node runs once. A
// majority of a key's owners must let it in. An owner that cannot be sure that it would
// know of the key says so; it becomes sure once enough of those that were owners
// before have handed over what they keep. docs/design/inquiry-keys.md has the reasons.
package idempotency

import (
	"wallport/cluster/mesh"
	"wallport/control/configsync"
	"wallport/request/search"
	"wallport/request/snapshot"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of the claims.
const (
	// GracePeriod is how long, beyond the sheet's longest deadline, an owner that lost what
	// it knew stays unsure, and a claim may go without an outcome.
	GracePeriod = 3_000_000
	// MinUncertainty is the least of it: within it a caller repeats after everything was lost.
	MinUncertainty = 9_000_000
	// UncertaintyUnconfigured is the same where no sheet tells the longest deadline yet.
	UncertaintyUnconfigured = 15_000_000
	// RosterConvergence is how long a new roster takes to be everyone's.
	RosterConvergence = 2_500_000
	MaxRecords        = 32768
	KeyTTL            = 300_000_000
	// RosterLoadWait is how long after catching up its table has the whole roster.
	RosterLoadWait = 100_000
	// StragglerWait is for owners that are slower than the majority; ResendInterval is how soon
	// owners that were silent or unsure are asked again.
	StragglerWait    = 40_000
	ResendInterval   = 80_000
	MaxAdmissionWait = 900_000
	// ActiveRosterCheck is how soon a change of the roster is looked at, and how often while some
	// epoch is open; IdleRosterCheck is how often otherwise.
	ActiveRosterCheck = 200_000
	IdleRosterCheck   = 1_000_000
)

// Admit is a Call to claim a key within a time. First is the caller's own word that
// it never sent this key before.
type Admit struct {
	Key          string
	Index        string
	Digest       uint64
	FirstAttempt bool
	Timeout      int64
	// Repeatable marks a search or read, which may run again but at the budget's cost.
	Repeatable bool
}

// RecordOutcome is a Call to settle a key; it has no answer.
type RecordOutcome struct {
	Key       string
	Code      string
	Token     string
	Attempted bool
	Outcome   search.Outcome
}

type record struct {
	digest    uint64
	token     string
	completed bool
	// uncertain is that the owner could not vouch for the key when it last answered the claim.
	uncertain  bool
	outcome    []byte
	admittedAt int64
}

// Coordinator is the plug-in of a node.
type Coordinator struct {
	mesh       *mesh.Mesh
	table      *snapshot.Table
	configSync *configsync.Sync
	// snapshot is the table's newest snapshot.
	snapshot    func() *snapshot.Snapshot
	records     map[string]*record
	recordOrder []string
	admissions  map[uint64]*admission
	lastID      uint64
	roster      []snapshot.Node
	epochs      []*epoch
	maxDeadline int64
	// startedAt is when this process started, caught when it first had all that a peer has.
	startedAt, caughtUpAt int64
	// deadlineReadAt is when the roster was last looked at, rosterCheckAt when it will be next.
	deadlineReadAt int64
	rosterCheckAt  int64
	recent         recentKeys
	// initialIndexes holds, per part, the indexes that had a cut when this process first saw it.
	initialIndexes map[int]map[string]bool
}

func init() {
	kernel.Register(kernel.Registration{Rank: 80, Roles: []string{"node"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		built := kernel.Find[*snapshot.Table](k)
		return &Coordinator{
			mesh: kernel.Find[*mesh.Mesh](k), table: built, configSync: kernel.Find[*configsync.Sync](k), snapshot: built.Current,
			records: map[string]*record{}, admissions: map[uint64]*admission{}, recent: recentKeys{seenAt: map[string]int64{}}, initialIndexes: map[int]map[string]bool{},
		}
	}})
}

// Name is the plug-in's name.
func (c *Coordinator) Name() string { return "idempotency" }

// Kinds are the frames that it takes.
func (c *Coordinator) Kinds() []uint8 {
	return []uint8{wire.KindAdmitRequest, wire.KindAdmitReply, wire.KindOutcome, wire.KindRecordsRequest, wire.KindRecordsReply, wire.KindSeenRequest, wire.KindSeenReply}
}

// Step takes one input.
func (c *Coordinator) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		c.startedAt = ctx.Now
		c.invalidateRecords(ctx)
		c.scheduleRosterCheck(ctx, ActiveRosterCheck)
	case mesh.CaughtUp:
		if c.caughtUpAt == 0 {
			c.caughtUpAt = ctx.Now
		}
	case kernel.Thawed:
		c.invalidateRecords(ctx)
		clear(c.initialIndexes)
		c.scheduleRosterCheck(ctx, ActiveRosterCheck)
	case snapshot.Built:
		c.scheduleRosterCheck(ctx, ActiveRosterCheck)
	case mesh.Stored:
		if v.Entry.Type == "part" {
			c.recordInitialIndexes(v.Entry)
		}
	case kernel.Tick:
		if v.Key == "roster" {
			if ctx.Now >= c.rosterCheckAt {
				c.rosterCheckAt = 0
				c.checkRoster(ctx)
			}
			return
		}
		c.onTimer(ctx, v.ID)
	case kernel.Call:
		switch a := v.Request.(type) {
		case Admit:
			if a.Repeatable {
				c.checkRepeat(ctx, v.ID, a)
				return
			}
			c.admit(ctx, v.ID, a)
		case RecordOutcome:
			c.publishOutcome(ctx, a)
		}
	case kernel.Message:
		c.receive(ctx, v)
	}
}

func (c *Coordinator) receive(ctx *kernel.Context, v kernel.Message) {
	switch v.Kind {
	case wire.KindAdmitRequest:
		var m wire.AdmitRequest
		if wire.Decode(v.Body, &m) == nil {
			r := c.handleClaim(ctx, m)
			ctx.Send(v.Conn, wire.KindAdmitReply, v.ID, &r)
		}
	case wire.KindAdmitReply:
		var m wire.AdmitReply
		if wire.Decode(v.Body, &m) == nil {
			c.receiveReply(ctx, v.ID, m)
		}
	case wire.KindOutcome:
		var m wire.Outcome
		if wire.Decode(v.Body, &m) == nil {
			c.updateRecord(ctx, m)
		}
	case wire.KindSeenRequest:
		var m wire.SeenRequest
		if wire.Decode(v.Body, &m) != nil {
			return
		}
		if m.Forget {
			c.recent.forget(m.Key)
			return
		}
		ctx.Send(v.Conn, wire.KindSeenReply, v.ID, &wire.SeenReply{Key: m.Key, Seen: c.recent.add(m.Key, ctx.Now)})
	case wire.KindSeenReply:
		var m wire.SeenReply
		if wire.Decode(v.Body, &m) == nil {
			c.receiveSeenReply(ctx, v.ID, m)
		}
	case wire.KindRecordsRequest:
		var m wire.RecordsRequest
		if wire.Decode(v.Body, &m) == nil {
			c.sendRecords(ctx, v.Conn, m)
		}
	case wire.KindRecordsReply:
		var m wire.RecordsReply
		if wire.Decode(v.Body, &m) == nil {
			c.receiveRecords(ctx, m)
		}
	}
}

// scheduleRosterCheck has the roster looked at within a while; an earlier look takes the place of a later one.
func (c *Coordinator) scheduleRosterCheck(ctx *kernel.Context, within int64) {
	if at := ctx.Now + within; c.rosterCheckAt == 0 || at < c.rosterCheckAt {
		c.rosterCheckAt = at
		ctx.After(within, "idempotency", "roster")
	}
}
