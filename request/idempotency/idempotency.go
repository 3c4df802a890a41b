package idempotency

import (
	"wallport/cluster/mesh"
	"wallport/control/configsync"
	"wallport/request/search"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

const (
	// GracePeriod is how long, beyond the configuration's longest deadline, an owner that lost its records
	// stays uncertain, and a key may stay without an outcome.
	GracePeriod = 3 * clock.Second
	// MinUncertainty is the least such time: within it callers repeat requests after everything was lost.
	MinUncertainty = 9 * clock.Second
	// UncertaintyUnconfigured replaces it while there is no configuration that tells the longest deadline.
	UncertaintyUnconfigured = 15 * clock.Second
	// RosterConvergence is how long it takes until every node has a new roster.
	RosterConvergence = 2_500 * clock.Millisecond
	// RosterLoadWait is how long after catching up a process has the whole roster.
	RosterLoadWait = 100 * clock.Millisecond
	// MaxRecords bounds the records of an owner, KeyTTL their age.
	MaxRecords = 32768
	KeyTTL     = 5 * clock.Minute
	// StragglerWait is how long, once a majority admitted a key, the slower owners are waited for.
	StragglerWait = 40 * clock.Millisecond
	// ResendInterval is the time after which owners that were silent or uncertain are asked again.
	ResendInterval = 80 * clock.Millisecond
	// MaxAdmissionWait bounds the time that an admission takes.
	MaxAdmissionWait = 900 * clock.Millisecond
	// ActiveRosterCheck is how soon a change of the roster is noticed, and how often the roster is checked
	// while an epoch is open; IdleRosterCheck is how often otherwise.
	ActiveRosterCheck = 200 * clock.Millisecond
	IdleRosterCheck   = clock.Second
)

const (
	pluginName = "idempotency"
	// timerRoster checks the roster. All other timers carry the id of an admission.
	timerRoster = "roster"
)

// Codes of a wire.AdmitReply.
const (
	replyAdmitted = "in"
	// replyUncertain admits the key as far as the owner knows, which may have lost an earlier admission.
	replyUncertain  = "unsure"
	replyInProgress = "running"
	replyCompleted  = "done"
	replyConflict   = "conflict"
)

// Codes of a wire.Outcome.
const (
	// outcomeReleased frees the key: its request did not run.
	outcomeReleased  = "released"
	outcomeCompleted = "done"
	// outcomePending is a record without an outcome, when it is handed over.
	outcomePending = "running"
)

// Admit is a Call to admit a key. It is answered by a [search.Admission].
type Admit struct {
	Key   string
	Index string
	// Digest identifies the content of the request.
	Digest uint64
	// FirstAttempt is the caller's statement that it never sent this key before.
	FirstAttempt bool
	// Timeout bounds the admission, as MaxAdmissionWait does; it is not read where Repeatable is set.
	Timeout clock.Micros
	// Repeatable marks a search or read. It is always admitted, but a repeat costs the retry budget.
	Repeatable bool
}

// RecordOutcome is a Call that ends the admission of a key. It has no answer. Code is a
// [search.Resolution].
type RecordOutcome struct {
	Key  string
	Code string
	// Token is that of the admission.
	Token string
	// Attempted reports whether an attempt was made before the key is released: a repeat then costs the retry budget.
	Attempted bool
	Outcome   search.Outcome
}

// record is what an owner knows of a key.
type record struct {
	digest uint64
	// token names the admission; it is contested if there may have been two.
	token     string
	completed bool
	// uncertain reports that the owner could not vouch for the key when it last answered the admission.
	uncertain  bool
	outcome    []byte
	admittedAt clock.Micros
}

// Coordinator is the plug-in of a node: it admits keys for the requests of this node, and owns keys.
type Coordinator struct {
	mesh       *mesh.Mesh
	table      *snapshot.Table
	configSync *configsync.Sync
	// snapshot returns the table's newest snapshot.
	snapshot func() *snapshot.Snapshot
	records  map[string]*record
	// recordOrder lists the keys of records, oldest first.
	recordOrder []string
	admissions  map[uint64]*admission
	lastID      uint64
	// roster is the snapshot's KeyOwners, not its Roster, as of the last check: a change of it opens an epoch.
	roster []snapshot.Node
	epochs []*epoch
	// maxDeadline is the longest deadline of the configurations that requests may still run under, as of
	// deadlineReadAt.
	maxDeadline, deadlineReadAt clock.Micros
	// startedAt is when this process started, caughtUpAt when it first had all that a peer has; 0 is never.
	startedAt, caughtUpAt clock.Micros
	// rosterCheckAt is when the roster is checked next; 0 is not set.
	rosterCheckAt clock.Micros
	recent        recentKeys
	// initialIndexes holds, per partition, the indexes that had a shard map when this process first saw it.
	initialIndexes map[int]map[string]bool
}

func init() {
	kernel.Register(kernel.Registration{Rank: 80, Roles: []string{"node"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		built := kernel.Find[*snapshot.Table](k)
		return &Coordinator{
			mesh: kernel.Find[*mesh.Mesh](k), table: built, configSync: kernel.Find[*configsync.Sync](k), snapshot: built.Current,
			records: map[string]*record{}, admissions: map[uint64]*admission{}, recent: recentKeys{seenAt: map[string]clock.Micros{}}, initialIndexes: map[int]map[string]bool{},
		}
	}})
}

// Name returns the plug-in's name.
func (c *Coordinator) Name() string { return pluginName }

// Kinds returns the message kinds that the plug-in handles.
func (c *Coordinator) Kinds() []uint8 {
	return []uint8{wire.KindAdmitRequest, wire.KindAdmitReply, wire.KindOutcome, wire.KindRecordsRequest, wire.KindRecordsReply, wire.KindSeenRequest, wire.KindSeenReply}
}

// Step handles one input.
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
		if v.Key == timerRoster {
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
			r := c.handleAdmitRequest(ctx, m)
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

// scheduleRosterCheck has the roster checked within a time. An earlier check replaces a later one.
func (c *Coordinator) scheduleRosterCheck(ctx *kernel.Context, within clock.Micros) {
	if at := ctx.Now + within; c.rosterCheckAt == 0 || at < c.rosterCheckAt {
		c.rosterCheckAt = at
		ctx.After(within, pluginName, timerRoster)
	}
}
