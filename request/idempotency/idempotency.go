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
	// Grace is how long, beyond the sheet's longest deadline, an owner that lost what
	// it knew stays unsure, and a claim may go without an outcome.
	Grace = 3_000_000
	// UnsureLeast is the least of it: within it a caller repeats after everything was lost.
	UnsureLeast = 9_000_000
	// UnsureNoSheet is the same where no sheet tells the longest deadline yet.
	UnsureNoSheet = 15_000_000
	// SettleFor is how long a new roster takes to be everyone's.
	SettleFor   = 2_500_000
	RecordsMost = 32768
	KeyLife     = 300_000_000
	// RosterWait is how long after catching up its table has the whole roster.
	RosterWait = 100_000
	// LastWait is for owners that are slower than the majority; AskEvery is how soon
	// owners that were silent or unsure are asked again.
	LastWait = 40_000
	AskEvery = 80_000
	GiveUp   = 900_000
	// FollowAt is how soon a change of the roster is looked at, and how often while some
	// epoch is open; CalmAt is how often otherwise.
	FollowAt = 200_000
	CalmAt   = 1_000_000
)

// Admit is a Call to claim a key within a time. First is the caller's own word that
// it never sent this key before.
type Admit struct {
	Key    string
	Index  string
	Sum    uint64
	First  bool
	Within int64
	// Again marks a search or read, which may run again but at the budget's cost.
	Again bool
}

// Settle is a Call to settle a key; it has no answer.
type Settle struct {
	Key     string
	Code    string
	Token   string
	Tried   bool
	Outcome search.Outcome
}

type record struct {
	sum  uint64
	from string
	done bool
	// unsure is that the owner could not vouch for the key when it last answered the claim.
	unsure bool
	body   []byte
	at     int64
}

// Coordinator is the plug-in of a node.
type Coordinator struct {
	mesh       *mesh.Mesh
	table      *snapshot.Table
	configSync *configsync.Sync
	// snapshot is the table's newest snapshot.
	snapshot   func() *snapshot.Snapshot
	records    map[string]*record
	order      []string
	admissions map[uint64]*admission
	next       uint64
	roster     []snapshot.Node
	epochs     []*epoch
	longest    int64
	// began is when this process started, caught when it first had all that a peer has.
	began, caught int64
	// looked is when the roster was last looked at, dueAt when it will be next.
	looked int64
	dueAt  int64
	seen   seenKeys
	// first holds, per part, the indexes that had a cut when this process first saw it.
	first map[int]map[string]bool
}

func init() {
	kernel.Register(kernel.Registration{Rank: 80, Roles: []string{"node"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		built := kernel.Find[*snapshot.Table](k)
		return &Coordinator{
			mesh: kernel.Find[*mesh.Mesh](k), table: built, configSync: kernel.Find[*configsync.Sync](k), snapshot: built.Current,
			records: map[string]*record{}, admissions: map[uint64]*admission{}, seen: seenKeys{at: map[string]int64{}}, first: map[int]map[string]bool{},
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
		c.began = ctx.Now
		c.loseRecords(ctx)
		c.arm(ctx, FollowAt)
	case mesh.CaughtUp:
		if c.caught == 0 {
			c.caught = ctx.Now
		}
	case kernel.Thawed:
		c.loseRecords(ctx)
		clear(c.first)
		c.arm(ctx, FollowAt)
	case snapshot.Built:
		c.arm(ctx, FollowAt)
	case mesh.Stored:
		if v.Entry.Type == "part" {
			c.firstSeen(v.Entry)
		}
	case kernel.Tick:
		if v.Key == "roster" {
			if ctx.Now >= c.dueAt {
				c.dueAt = 0
				c.followRoster(ctx)
			}
			return
		}
		c.retry(ctx, v.ID)
	case kernel.Call:
		switch a := v.Request.(type) {
		case Admit:
			if a.Again {
				c.askSeen(ctx, v.ID, a)
				return
			}
			c.admit(ctx, v.ID, a)
		case Settle:
			c.tellOutcome(ctx, a)
		}
	case kernel.Message:
		c.message(ctx, v)
	}
}

func (c *Coordinator) message(ctx *kernel.Context, v kernel.Message) {
	switch v.Kind {
	case wire.KindAdmitRequest:
		var m wire.AdmitRequest
		if wire.Decode(v.Body, &m) == nil {
			r := c.answerClaim(ctx, m)
			ctx.Send(v.Conn, wire.KindAdmitReply, v.ID, &r)
		}
	case wire.KindAdmitReply:
		var m wire.AdmitReply
		if wire.Decode(v.Body, &m) == nil {
			c.replied(ctx, v.ID, m)
		}
	case wire.KindOutcome:
		var m wire.Outcome
		if wire.Decode(v.Body, &m) == nil {
			c.settle(ctx, m)
		}
	case wire.KindSeenRequest:
		var m wire.SeenRequest
		if wire.Decode(v.Body, &m) != nil {
			return
		}
		if m.Forget {
			c.seen.forget(m.Key)
			return
		}
		ctx.Send(v.Conn, wire.KindSeenReply, v.ID, &wire.SeenReply{Key: m.Key, Seen: c.seen.add(m.Key, ctx.Now)})
	case wire.KindSeenReply:
		var m wire.SeenReply
		if wire.Decode(v.Body, &m) == nil {
			c.seenReply(ctx, v.ID, m)
		}
	case wire.KindRecordsRequest:
		var m wire.RecordsRequest
		if wire.Decode(v.Body, &m) == nil {
			c.handOver(ctx, v.Conn, m)
		}
	case wire.KindRecordsReply:
		var m wire.RecordsReply
		if wire.Decode(v.Body, &m) == nil {
			c.handed(ctx, m)
		}
	}
}

// arm has the roster looked at within a while; an earlier look takes the place of a later one.
func (c *Coordinator) arm(ctx *kernel.Context, within int64) {
	if at := ctx.Now + within; c.dueAt == 0 || at < c.dueAt {
		c.dueAt = at
		ctx.After(within, "idempotency", "roster")
	}
}
