// Package operations carries an operator's change from the node that took it to
// the leader of the partition, and waits a bounded while for the fleet to have it in
// force. When the outcome cannot be known it says so, never 'refused'.
package operations

import (
	"fmt"

	"wallport/cluster/membership"
	"wallport/cluster/mesh"
	"wallport/control/configsync"
	"wallport/control/replica"
	"wallport/control/state"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of an operator's call.
const (
	AttemptInterval = 400_000
	CallTimeout     = 4_000_000
	InForceTimeout  = 2_500_000
	// minAttempts is how often an edit is tried before it is given up; maxRedirects how often it is handed on.
	minAttempts  = 5
	maxRedirects = 16
)

// Submit is an edit to carry to the leader of its partition.
type Submit struct {
	Edit wire.Edit
	// AwaitInForce asks to wait, once the edit is committed, until every live node reports it in force.
	AwaitInForce bool
	// AwaitTimeout is how long that may take; 0 stands for InForceTimeout.
	AwaitTimeout int64
	// Timeout is how long the whole answer may take, the wait included; 0 stands for CallTimeout and the wait.
	Timeout int64
}

// Result is what came of it. Reply.Code is "ok", "lost_race", "invalid", "conflict", "shed" where
// certainly no leader took the edit, or "unknown".
type Result struct {
	Reply    wire.EditReply
	InForce  int
	Laggards []string
}

// Service is the plug-in of a node, and of a core, which operators may reach as well.
type Service struct {
	mesh       *mesh.Mesh
	configSync *configsync.Sync
	host       *replica.Host
	members    *membership.Members
	calls      map[uint64]*call
	// zoneRegions are the zones that the settings name, with their regions; empty where they name none.
	zoneRegions map[string]string

	rebuilds    map[uint64]*rebuildState
	statusCalls map[uint64]*statusCall
	// targetVoters is how many voters a group should have.
	targetVoters int
}

func init() {
	kernel.Register(kernel.Registration{Rank: 50, Roles: []string{"node", "core"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Service{
			mesh: kernel.Find[*mesh.Mesh](k), configSync: kernel.Find[*configsync.Sync](k), host: kernel.Find[*replica.Host](k),
			zoneRegions: k.Boot.Settings.Regions, members: kernel.Find[*membership.Members](k), calls: map[uint64]*call{}, rebuilds: map[uint64]*rebuildState{},
			statusCalls:  map[uint64]*statusCall{},
			targetVoters: k.Boot.Settings.Voters(),
		}
	}})
}

// Name is the plug-in's name.
func (o *Service) Name() string { return "operate" }

// Kinds are the frames that it takes.
func (o *Service) Kinds() []uint8 {
	return []uint8{wire.KindEditReply, wire.KindRebuildReply, wire.KindStatusReply}
}

// Step takes one input.
func (o *Service) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Call:
		o.startCall(ctx, v)
	case kernel.Canceled:
		// What is under way may be taken; nothing more is sent for it.
		delete(o.calls, v.ID)
		delete(o.statusCalls, v.ID)
	case kernel.Tick:
		if r := o.rebuilds[v.ID]; r != nil {
			o.rebuildTimer(ctx, v.ID, r)
			return
		}
		if read := o.statusCalls[v.ID]; read != nil {
			o.finishStatus(ctx, v.ID, read)
			return
		}
		o.attempt(ctx, v.ID)
	case replica.Replied:
		o.editReplied(ctx, v.ID, v.Reply)
	case kernel.Message:
		o.receive(ctx, v)
	}
}

func (o *Service) receive(ctx *kernel.Context, v kernel.Message) {
	switch v.Kind {
	case wire.KindRebuildReply:
		var reply wire.RebuildReply
		if wire.Decode(v.Body, &reply) == nil {
			o.rebuildReplied(ctx, v.ID, reply)
		}
	case wire.KindStatusReply:
		var reply wire.StatusReply
		if wire.Decode(v.Body, &reply) == nil {
			o.statusReplied(ctx, v.ID, reply)
		}
	default:
		var reply wire.EditReply
		if wire.Decode(v.Body, &reply) == nil {
			o.editReplied(ctx, v.ID, reply)
		}
	}
}

func (o *Service) startCall(ctx *kernel.Context, v kernel.Call) {
	c := &call{startedAt: ctx.Now}
	switch ask := v.Request.(type) {
	case Rebuild:
		o.startRebuild(ctx, v.ID, ask.Partition)
		return
	case ReadStatus:
		o.startStatus(ctx, v.ID)
		return
	case ReadRouting:
		c.answer = routingOutcome
		c.command = Submit{Edit: wire.Edit{Partition: state.ConfigPartition, Op: wire.OpRead}, Timeout: ask.Timeout}
	case ReadHistory:
		c.answer = historyOutcome
		c.command = Submit{Edit: wire.Edit{Partition: state.ConfigPartition, Op: wire.OpHistory}}
	case Submit:
		if ask.Edit.Op == wire.OpDrainZone && ask.Edit.Name != "" && !o.knowsZone(ask.Edit.Name, ctx.Now) {
			ctx.Reply(v.ID, unknownZone(ask.Edit.Name))
			return
		}
		c.answer = func(res Result) any { return res }
		c.command = ask
		if c.command.Edit.EditID == "" {
			c.command.Edit.EditID = fmt.Sprintf("%016x%016x", ctx.Rand.Uint64(), ctx.Rand.Uint64())
		}
	default:
		ctx.Reply(v.ID, Result{Reply: wire.EditReply{Code: wire.CodeInvalid}})
		return
	}
	o.calls[v.ID] = c
	o.attempt(ctx, v.ID)
}
