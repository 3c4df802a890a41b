package healthcheck

import (
	"crypto/ed25519"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/cluster/mesh"
	"wallport/request/discovery"
	"wallport/request/snapshot"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

const unhealthy = "s1"

// node is a process with the mesh, snapshot builder and health check plug-ins, and simulated peers.
type node struct {
	k   *kernel.Kernel
	now int64
}

func keyOf(n byte) kernel.Key {
	seed := make([]byte, ed25519.SeedSize)
	seed[0] = n
	return kernel.KeyFrom(seed)
}

func newNode(peers byte) *node {
	e := settings.Settings{Name: "a", Mesh: "10.0.0.1:1", PassiveHealth: true}
	n := &node{k: kernel.New(kernel.Boot{Settings: e, Role: "node", Seed: 1, Key: keyOf(0)}), now: 5_000_000}
	n.feed(kernel.Start{})
	for i := range peers {
		n.feed(kernel.ConnUp{Conn: uint64(i) + 1, Addr: "10.0.0.2:1", Peer: kernel.Fingerprint(keyOf(i + 1).Public), Mesh: true})
	}
	n.receiveEntry(1, mesh.EntryBackendList, discovery.LeaseTask, &wire.BackendList{LeaseID: 1, Complete: true, Backends: []wire.Backend{{ID: unhealthy}}})
	return n
}

func (n *node) feed(in kernel.Input) { n.k.Step(n.now, n.now, in) }

// receiveEntry delivers an entry that a peer announces.
func (n *node) receiveEntry(peer byte, typ, id string, body interface {
	MarshalMsg([]byte) ([]byte, error)
}) {
	b, _ := body.MarshalMsg(nil)
	key := keyOf(peer)
	entry := &wire.Entry{Type: typ, ID: id, Origin: key.Public, Count: 1, Body: b}
	entry.Sig = ed25519.Sign(key.Private, wire.Encode(entry))
	n.feed(kernel.Received{Conn: uint64(peer), Data: wire.Seal(wire.KindGossip, 0, entry)})
}

// evaluate advances the clock by ReportInterval and makes the node evaluate its backends.
func (n *node) evaluate() {
	n.now += ReportInterval
	n.feed(kernel.Tick{Plugin: "mesh", Key: "reach"})
	n.feed(kernel.Tick{Plugin: "table", Key: "build"})
	n.feed(kernel.Tick{Plugin: pluginName, Key: timerCheck})
}

func (n *node) reports() int64 { return n.k.Counts.Of("opinions_told").Load() }

// setFailures sets the number of consecutive failures that the node has counted for the backend, and makes the node
// evaluate its backends.
func (n *node) setFailures(fails int64) {
	kernel.Find[*snapshot.Builder](n.k).Gauges.Of(unhealthy).Failures.Store(fails)
	n.evaluate()
}

func TestHealthReportsAreLimitedToEnoughReporters(t *testing.T) {
	for _, c := range []struct {
		name    string
		agree   byte
		state   string
		reports int64
	}{
		{"no other node reports", 0, "lost", 1},
		{"too few other nodes agree", EnoughReporters - 1, "lost", 1},
		{"enough other nodes agree", EnoughReporters, "lost", 0},
		{"enough other nodes report another state", EnoughReporters, "slow", 1},
		{"more than enough other nodes agree", EnoughReporters + 3, "lost", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newNode(EnoughReporters + 3)
			must.Eq(t, 1, len(kernel.Find[*snapshot.Builder](n.k).Current().Backends))
			for i := range c.agree {
				n.receiveEntry(i+1, mesh.EntryHealthReport, unhealthy, &wire.HealthReport{State: c.state})
			}
			n.setFailures(snapshot.EjectThreshold)
			must.Eq(t, c.reports, n.reports())
		})
	}
}

// TestReportingNodeKeepsReporting checks that a node keeps its report although enough other nodes report the
// same state, and that it withdraws the report when the backend is healthy again.
func TestReportingNodeKeepsReporting(t *testing.T) {
	n := newNode(EnoughReporters)
	n.setFailures(snapshot.EjectThreshold)
	must.Eq(t, 1, n.reports())
	for i := range byte(EnoughReporters) {
		n.receiveEntry(i+1, mesh.EntryHealthReport, unhealthy, &wire.HealthReport{State: "lost"})
	}
	n.evaluate()
	n.evaluate()
	must.Eq(t, 1, n.reports())
	n.setFailures(0)
	must.Eq(t, 2, n.reports(), must.Sprint("the report is withdrawn"))
	ownReport := false
	kernel.Find[*mesh.Mesh](n.k).Each(mesh.EntryHealthReport, func(_ *wire.Entry, origin string) {
		ownReport = ownReport || origin == kernel.Find[*mesh.Mesh](n.k).Self()
	})
	must.False(t, ownReport)
}
