// Package operate carries an operator's change from the node that took it to
// the owner of the part, and waits a bounded while for the fleet to have it in
// force. When the outcome cannot be known it says so, never 'refused'.
package operate

import (
	"fmt"

	"wallport/kernel"
	"wallport/members"
	"wallport/mesh"
	"wallport/replica"
	"wallport/pulls"
	"wallport/routingpb"
	"wallport/state"
	"wallport/wire"
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

// Carry is an edit to carry to the owner of its part.
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
// certainly no owner took the edit, or "unknown".
type Result struct {
	Reply    wire.EditReply
	InForce  int
	Laggards []string
}

// ReadRouting asks for the routing table in force, confirmed by a majority after the question
// came. GiveUpUs is how long that may take; 0 stands for GiveUp.
type ReadRouting struct{ GiveUpUs int64 }

// Routing answers ReadRouting. Code is "ok" or "shed"; Table is nil where no table was ever set.
type Routing struct {
	Table *routingpb.RoutingTable
	Code  string
}

type call struct {
	req   Carry
	read  bool
	began int64
	tries int
	hops  int
	// open counts the sendings that nobody has declined.
	open  int
	reply *wire.EditReply
	at    int64
}

func (c *call) giveUp() int64 {
	if c.req.GiveUpUs > 0 {
		return c.req.GiveUpUs
	}
	return GiveUp
}

// waits is how long the call waits for the nodes, from the reply on.
func (c *call) waits() int64 {
	w := c.req.WaitUs
	if w == 0 {
		w = ForceWait
	}
	if c.req.GiveUpUs > 0 {
		w = min(w, c.began+c.req.GiveUpUs-c.at)
	}
	return w
}

// Operate is the plug-in of a node, and of a core, which operators may reach as well.
type Operate struct {
	mesh    *mesh.Mesh
	pulls   *pulls.Pulls
	seats   *replica.Host
	members *members.Members
	calls   map[uint64]*call

	rebuilds map[uint64]*rebuilding
}

func init() {
	kernel.Register(kernel.Registration{Rank: 50, Roles: []string{"node", "core"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return &Operate{
			mesh: kernel.Find[*mesh.Mesh](k), pulls: kernel.Find[*pulls.Pulls](k), seats: kernel.Find[*replica.Host](k),
			members: kernel.Find[*members.Members](k), calls: map[uint64]*call{}, rebuilds: map[uint64]*rebuilding{},
		}
	}})
}

// Name is the plug-in's name.
func (o *Operate) Name() string { return "operate" }

// Kinds are the frames that it takes.
func (o *Operate) Kinds() []uint8 { return []uint8{wire.KindEditReply, wire.KindRebuildReply} }

// Step takes one input.
func (o *Operate) Step(t *kernel.Turn, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Call:
		o.called(t, v)
	case kernel.Tick:
		var id uint64
		if _, err := fmt.Sscan(v.Key, &id); err != nil {
			return
		}
		if r := o.rebuilds[id]; r != nil {
			o.rebuildStep(t, id, r)
			return
		}
		o.try(t, id)
	case replica.Replied:
		o.replied(t, v.ID, v.Reply)
	case kernel.Message:
		if v.Kind == wire.KindRebuildReply {
			var m wire.RebuildReply
			if wire.Decode(v.Body, &m) == nil {
				o.rebuildReplied(t, v.ID, m)
			}
			return
		}
		var r wire.EditReply
		if wire.Decode(v.Body, &r) == nil {
			o.replied(t, v.ID, r)
		}
	}
}

func (o *Operate) called(t *kernel.Turn, v kernel.Call) {
	c := &call{began: t.Now}
	switch ask := v.Ask.(type) {
	case Rebuild:
		o.rebuild(t, v.ID, ask.Part)
		return
	case ReadRouting:
		c.read, c.req = true, Carry{Edit: wire.Edit{Part: state.Config, Op: "read"}, GiveUpUs: ask.GiveUpUs}
	case Carry:
		c.req = ask
		if c.req.Edit.EditID == "" {
			c.req.Edit.EditID = fmt.Sprintf("%016x%016x", t.Rand.Uint64(), t.Rand.Uint64())
		}
	default:
		t.Answer(v.ID, Result{Reply: wire.EditReply{Code: "invalid"}})
		return
	}
	o.calls[v.ID] = c
	o.try(t, v.ID)
}
