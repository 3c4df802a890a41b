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
	TryEvery  = 400_000
	GiveUp    = 4_000_000
	ForceWait = 2_500_000
	// triesLeast is how often an edit is tried before it is given up; hopsMost how often it is handed on.
	triesLeast = 5
	hopsMost   = 16
)

// Carry is an edit to carry to the leader of its partition.
type Carry struct {
	Edit wire.Edit
	// Wait asks to wait, once the edit is committed, until every live node reports it in force.
	Wait bool
	// WaitUs is how long that may take; 0 stands for ForceWait.
	WaitUs int64
	// GiveUpUs is how long the whole answer may take, the wait included; 0 stands for GiveUp and the wait.
	GiveUpUs int64
}

// Result is what came of it. Reply.Code is "ok", "lost_race", "invalid", "conflict", "shed" where
// certainly no leader took the edit, or "unknown".
type Result struct {
	Reply    wire.EditReply
	InForce  int
	Laggards []string
}

// Operate is the plug-in of a node, and of a core, which operators may reach as well.
type Operate struct {
	mesh       *mesh.Mesh
	configSync *configsync.Sync
	host       *replica.Host
	members    *membership.Members
	calls      map[uint64]*call
	// zones are the zones that the settings name, with their regions; empty where they name none.
	zones map[string]string

	rebuilds    map[uint64]*rebuilding
	statusReads map[uint64]*statusRead
	// wantedVoters is how many voters a group should have.
	wantedVoters int
}

func init() {
	kernel.Register(kernel.Registration{Rank: 50, Roles: []string{"node", "core"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Operate{
			mesh: kernel.Find[*mesh.Mesh](k), configSync: kernel.Find[*configsync.Sync](k), host: kernel.Find[*replica.Host](k),
			zones: k.Boot.Settings.Regions, members: kernel.Find[*membership.Members](k), calls: map[uint64]*call{}, rebuilds: map[uint64]*rebuilding{},
			statusReads:  map[uint64]*statusRead{},
			wantedVoters: k.Boot.Settings.Voters(),
		}
	}})
}

// Name is the plug-in's name.
func (o *Operate) Name() string { return "operate" }

// Kinds are the frames that it takes.
func (o *Operate) Kinds() []uint8 {
	return []uint8{wire.KindEditReply, wire.KindRebuildReply, wire.KindStatusReply}
}

// Step takes one input.
func (o *Operate) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Call:
		o.called(ctx, v)
	case kernel.Canceled:
		// What is under way may be taken; nothing more is sent for it.
		delete(o.calls, v.ID)
		delete(o.statusReads, v.ID)
	case kernel.Tick:
		if r := o.rebuilds[v.ID]; r != nil {
			o.rebuildTick(ctx, v.ID, r)
			return
		}
		if read := o.statusReads[v.ID]; read != nil {
			o.endStatus(ctx, v.ID, read)
			return
		}
		o.try(ctx, v.ID)
	case replica.Replied:
		o.replied(ctx, v.ID, v.Reply)
	case kernel.Message:
		o.message(ctx, v)
	}
}

func (o *Operate) message(ctx *kernel.Context, v kernel.Message) {
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
			o.replied(ctx, v.ID, reply)
		}
	}
}

func (o *Operate) called(ctx *kernel.Context, v kernel.Call) {
	c := &call{began: ctx.Now}
	switch ask := v.Request.(type) {
	case Rebuild:
		o.rebuild(ctx, v.ID, ask.Partition)
		return
	case ReadStatus:
		o.readStatus(ctx, v.ID)
		return
	case ReadRouting:
		c.outcome = routingOutcome
		c.req = Carry{Edit: wire.Edit{Partition: state.ConfigPartition, Op: wire.OpRead}, GiveUpUs: ask.GiveUpUs}
	case ReadHistory:
		c.outcome = historyOutcome
		c.req = Carry{Edit: wire.Edit{Partition: state.ConfigPartition, Op: wire.OpHistory}}
	case Carry:
		if ask.Edit.Op == "empty" && ask.Edit.Name != "" && !o.knowsZone(ask.Edit.Name, ctx.Now) {
			ctx.Reply(v.ID, unknownZone(ask.Edit.Name))
			return
		}
		c.outcome = func(res Result) any { return res }
		c.req = ask
		if c.req.Edit.EditID == "" {
			c.req.Edit.EditID = fmt.Sprintf("%016x%016x", ctx.Rand.Uint64(), ctx.Rand.Uint64())
		}
	default:
		ctx.Reply(v.ID, Result{Reply: wire.EditReply{Code: "invalid"}})
		return
	}
	o.calls[v.ID] = c
	o.try(ctx, v.ID)
}
