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
	// GracePeriod is added to the longest deadline of the configuration. The sum is how long an owner that
	// lost its records stays uncertain, and how long an admitted key may stay without an outcome.
	GracePeriod = 3 * clock.Second
	// MinUncertainty is the lower bound of the sum of GracePeriod and the longest deadline. It covers the time
	// in which callers repeat their requests after all owners have lost their records.
	MinUncertainty = 9 * clock.Second
	// UncertaintyUnconfigured replaces the sum of GracePeriod and the longest deadline while there is no
	// configuration that states the deadlines.
	UncertaintyUnconfigured = 15 * clock.Second
	// RosterConvergence is the time within which every node learns a new roster.
	RosterConvergence = 2_500 * clock.Millisecond
	// RosterLoadWait is how long after it caught up with a peer a process may still lack the complete roster.
	RosterLoadWait = 100 * clock.Millisecond
	// MaxRecords bounds the number of records of an owner, KeyTTL their age.
	MaxRecords = 32768
	KeyTTL     = 5 * clock.Minute
	// StragglerWait is how long an admission waits for the remaining owners after a majority admitted the key.
	StragglerWait = 40 * clock.Millisecond
	// ResendInterval is the interval at which owners that did not reply, or were uncertain, are asked again.
	ResendInterval = 80 * clock.Millisecond
	// MaxAdmissionWait bounds the duration of an admission.
	MaxAdmissionWait = 900 * clock.Millisecond
	// ActiveRosterCheck is the delay of a roster check after a new snapshot, and the interval of the checks
	// while an epoch has not converged. IdleRosterCheck is the interval otherwise.
	ActiveRosterCheck = 200 * clock.Millisecond
	IdleRosterCheck   = clock.Second
)

const (
	pluginName = "idempotency"
	// timerRoster is the key of the timer for roster checks. All other timers carry the id of an admission.
	timerRoster = "roster"
)

// Codes of a wire.AdmitReply.
const (
	replyAdmitted = "in"
	// replyUncertain means that the owner has no conflicting record, but may have lost one.
	replyUncertain  = "unsure"
	replyInProgress = "running"
	replyCompleted  = "done"
	replyConflict   = "conflict"
)

// Codes of a wire.Outcome.
const (
	// outcomeReleased frees the key, because its request did not run.
	outcomeReleased  = "released"
	outcomeCompleted = "done"
	// outcomePending marks a record without an outcome in a hand-over.
	outcomePending = "running"
)

// Admit is a kernel call that requests the admission of a key. The reply is a [search.Admission].
type Admit struct {
	Key   string
	Index string
	// Digest identifies the content of the request.
	Digest uint64
	// FirstAttempt is the caller's assertion that it has never sent this key before.
	FirstAttempt bool
	// Timeout bounds the duration of the admission, as does MaxAdmissionWait. It is ignored if Repeatable is set.
	Timeout clock.Micros
	// Repeatable marks a search or read, which is always admitted. The reply only states whether the key was
	// used before, in which case the request is charged to the retry budget.
	Repeatable bool
}

// RecordOutcome is a kernel call that ends the admission of a key. It has no reply. Code is a
// [search.Resolution].
type RecordOutcome struct {
	Key  string
	Code string
	// Token is the token of the admission.
	Token string
	// Attempted reports whether an attempt was made before the key was released. If so, the next request with
	// the key is charged to the retry budget.
	Attempted bool
	Outcome   search.Outcome
}

// record is an owner's record of a key.
type record struct {
	digest uint64
	// token identifies the admission. It is contested if two requests may have been admitted.
	token     string
	completed bool
	// uncertain reports whether the owner's last reply to an admission request for the key was uncertain.
	uncertain  bool
	outcome    []byte
	admittedAt clock.Micros
}

// Coordinator is a node's plug-in for idempotency keys. It requests admissions for the node's own requests, and
// acts as an owner of keys for all nodes.
type Coordinator struct {
	mesh       *mesh.Mesh
	builder    *snapshot.Builder
	configSync *configsync.Sync
	// snapshot returns the builder's newest snapshot.
	snapshot func() *snapshot.Snapshot
	records  map[string]*record
	// recordOrder lists the keys of records, oldest first.
	recordOrder []string
	admissions  map[uint64]*admission
	lastID      uint64
	// roster holds the KeyOwners (not the Roster) of the snapshot as of the last roster check. A change opens an
	// epoch.
	roster []snapshot.Node
	epochs []*epoch
	// maxDeadline is the longest deadline of all configurations under which requests may still be running, as
	// of deadlineReadAt.
	maxDeadline, deadlineReadAt clock.Micros
	// startedAt is when this process started. caughtUpAt is when it first had all entries of a peer; 0 means not yet.
	startedAt, caughtUpAt clock.Micros
	// rosterCheckAt is the time of the next roster check; 0 means that none is scheduled.
	rosterCheckAt clock.Micros
	recent        recentKeys
	// initialIndexes holds, per partition of the control state, the indexes that had a shard map when this process
	// first received the partition's state.
	initialIndexes map[int]map[string]bool
}

func init() {
	kernel.Register(kernel.Registration{Rank: 80, Roles: []string{"node"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		builder := kernel.Find[*snapshot.Builder](k)
		return &Coordinator{
			mesh: kernel.Find[*mesh.Mesh](k), builder: builder, configSync: kernel.Find[*configsync.Sync](k), snapshot: builder.Current,
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

// Step processes one input.
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

// scheduleRosterCheck schedules a roster check after the given time, unless an earlier one is scheduled already.
func (c *Coordinator) scheduleRosterCheck(ctx *kernel.Context, within clock.Micros) {
	if at := ctx.Now + within; c.rosterCheckAt == 0 || at < c.rosterCheckAt {
		c.rosterCheckAt = at
		ctx.After(within, pluginName, timerRoster)
	}
}
