package idempotency

import (
	"fmt"

	"wallport/api/configpb"
	"wallport/cluster/mesh"
	"wallport/request/search"
	"wallport/request/snapshot"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
)

// modelNode is a node of the model. Its fields describe its current process or, while it is down, its last process.
type modelNode struct {
	model *model
	name  string
	count int
	up    bool
	// upAt is when the node's latest process started. downAt is when a process of the node last crashed.
	upAt, downAt int64
	coordinator  *Coordinator
	view         *snapshot.Snapshot
	peak         int
}

func (n *modelNode) incarnation() incarnation { return incarnation{n, n.count} }

func (l incarnation) alive() bool { return l.node.up && l.node.count == l.count }

// start starts a process of the node that does not see any other node yet.
func (n *modelNode) start() {
	n.count++
	n.up, n.upAt = true, n.model.now
	key := fmt.Sprintf("%-32s", fmt.Sprintf("%s/%d", n.name, n.count))
	k := kernel.New(kernel.Boot{Settings: settings.Settings{Mesh: n.name, Name: n.name}, Role: "node", Seed: 1, Key: kernel.KeyFrom([]byte(key))})
	n.coordinator = kernel.Find[*Coordinator](k)
	n.coordinator.snapshot = func() *snapshot.Snapshot { return n.view }
	n.peak = 0
	n.updateView([]*modelNode{n})
	n.step(kernel.Start{})
}

// observe rebuilds the node's roster from the given nodes.
func (n *modelNode) observe(others []*modelNode) {
	n.updateView(others)
	n.step(snapshot.Built{})
}

func (n *modelNode) updateView(others []*modelNode) {
	live := 0
	var owners []snapshot.Node
	for _, o := range others {
		gone := !o.up && n.model.now-o.downAt > snapshot.RosterTTL
		if gone && o != n {
			continue
		}
		isLive := o.up || n.model.now-o.downAt < second
		if isLive {
			live++
		}
		owners = append(owners, snapshot.Node{Name: o.name, Addr: o.name, Origin: o.coordinator.mesh.Self(), Live: isLive})
	}
	n.peak = max(n.peak, live)
	n.view = &snapshot.Snapshot{
		KeyOwners: owners, Roster: owners, LiveNodeCount: live, Divisor: n.peak,
		Configuration: &configpb.Sheet{Services: []*configpb.Service{{MaxDeadlineUs: 5 * second}}},
	}
}

// step passes an input to the node's process and carries out its output.
func (n *modelNode) step(in kernel.Input) {
	ctx := &kernel.Context{Now: n.model.now, Rand: n.model.rand, Counts: kernel.NewCounts()}
	n.coordinator.Step(ctx, in)
	process := n.incarnation()
	for _, s := range ctx.Output.Sends {
		n.model.send(process, s)
	}
	for _, timer := range ctx.Output.Timers {
		n.model.after(timer.At-n.model.now, func() {
			if process.alive() {
				n.step(timer.Tick)
			}
		})
	}
	for _, a := range ctx.Output.Replies {
		answered := n.model.calls[a.ID]
		delete(n.model.calls, a.ID)
		answered(a.Value.(search.Admission))
	}
}

// restart starts a process of the node. At first the process sees a random subset of the other nodes, and later all
// of them.
func (n *modelNode) restart() {
	n.start()
	m, process := n.model, n.incarnation()
	some := []*modelNode{n}
	for _, o := range m.nodes {
		if o != n && m.rand.IntN(3) == 0 {
			some = append(some, o)
		}
	}
	first := m.between(20*ms, 200*ms)
	m.after(first, func() {
		if process.alive() {
			n.observe(some)
			n.step(mesh.CaughtUp{})
		}
	})
	m.after(first+m.between(0, second), func() {
		if process.alive() {
			n.observe(m.nodes)
		}
	})
	m.announceRoster()
}
