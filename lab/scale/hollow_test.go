// Tests with a hollow fleet of six nodes, three cores and its own backends in this process: the fleet forms, accepts
// a configuration and a change, and loses a node; the counters are checked. The system chooses the ports. A wait ends
// as soon as its condition holds; its time limit is reached only if the fleet hangs.

package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"wallport/runtime/wire"
)

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	for !ok() {
		must.NoError(t, ctx.Err(), must.Sprint("timed out waiting until "+what))
		runtime.Gosched()
	}
}

func startHollow(t *testing.T, c HollowConfig) *Hollow {
	t.Helper()
	h, err := StartHollow(c)
	must.NoError(t, err)
	t.Cleanup(h.Stop)
	return h
}

// editUntilAccepted retries an edit until it is accepted.
func editUntilAccepted(t *testing.T, h *Hollow, a HostRequest) (e EditResult) {
	t.Helper()
	waitUntil(t, a.Op+" is accepted", func() bool {
		r := h.Do(a)
		if r.Edited != nil && r.Edited.Code == "ok" {
			e = *r.Edited
			return true
		}
		return false
	})
	return e
}

// allHaveVersion reports whether all running nodes have a version in force.
func (h *Hollow) allHaveVersion(s wire.Version) bool {
	for _, n := range h.nodes {
		if cp := n.builder.Current(); !n.ended.Load() && (cp == nil || cp.Config.ConfigVersion != s) {
			return false
		}
	}
	return true
}

// liveAt returns the number of running nodes that consider a member live.
func (h *Hollow) liveAt(name string) (n int) {
	for _, v := range h.nodes {
		for _, m := range v.builder.Current().Roster {
			if !v.ended.Load() && m.Name == name && m.Live {
				n++
			}
		}
	}
	return n
}

func TestHollowFleet(t *testing.T) {
	const nodes = 6
	list, stop, err := StartBackends(BackendsConfig{Count: 12, Shards: 4, Zones: 3, IP: "127.0.0.1"})
	must.NoError(t, err)
	t.Cleanup(stop)
	must.Len(t, 12, list)
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(wire.BackendList{Backends: list})
	}))
	t.Cleanup(platform.Close)

	cores := startHollow(t, HollowConfig{Role: "core", Count: 1, Zones: 3, IP: "127.0.0.1", Data: t.TempDir()})
	seeds := []string{cores.Up()[0].Mesh}
	startHollow(t, HollowConfig{Role: "core", Count: 2, First: 1, Zones: 3, IP: "127.0.0.1", Seeds: seeds, Data: t.TempDir()})
	h := startHollow(t, HollowConfig{Role: "node", Count: nodes, Zones: 3, IP: "127.0.0.1", Seeds: seeds, Platform: platform.URL})
	must.Len(t, nodes, h.Up())

	f := &run{shards: 4, rampUs: 3_000_000}
	editUntilAccepted(t, h, HostRequest{Op: "edit", Body: f.newConfig()})
	editUntilAccepted(t, h, HostRequest{Op: "cut", Name: Index, Body: json.RawMessage(`{"Name":"c1","Shards":4}`)})
	waitUntil(t, "all are ready", func() bool { return h.Do(HostRequest{Op: "sample"}).Sample.Ready == nodes })
	waitUntil(t, "all nodes consider node-5 live", func() bool { return h.liveAt("node-5") == nodes })

	must.Eq(t, "", h.Do(HostRequest{Op: "watch", Name: "node-5"}).Err)
	change := editUntilAccepted(t, h, HostRequest{Op: "edit", Body: f.newConfig()})
	waitUntil(t, "the change is in force on all nodes", func() bool { return h.allHaveVersion(change.Stamp) })
	lostAt := wallUs()
	must.Eq(t, "", h.Do(HostRequest{Op: "kill", Name: "node-5"}).Err)
	must.NotEq(t, "", h.Do(HostRequest{Op: "kill", Name: "node-5"}).Err, must.Sprint("killing a node that has already been stopped must return an error"))
	waitUntil(t, "no other node considers node-5 live", func() bool { return h.liveAt("node-5") == 0 })
	seen := h.Do(HostRequest{Op: "seen"}).Seen

	ack, every, _, never := inForce([]EditResult{change}, seen)
	must.Eq(t, 1, ack.N)
	must.Eq(t, nodes, every.N+never, must.Sprint("every node must count as in force or as never in force; the latter is possible for the node that was stopped"))
	must.LessEq(t, 1, never)
	lost, silent := detectionTimes(lostAt, "node-5", false, nodes-1, seen)
	must.Eq(t, 0, silent)
	must.Eq(t, nodes-1, lost.N)
	must.Positive(t, lost.P50)

	s := h.Do(HostRequest{Op: "sample"}).Sample
	must.Eq(t, nodes-1, s.Processes)
	for _, name := range []string{"steps", "frames_in", "frames_out", "frame_bytes_in", "frame_bytes_out", "condition_probes", "mesh_heartbeats_in"} {
		must.Positive(t, s.Counts[name], must.Sprint(name))
	}
	must.NotEq(t, "", h.Do(HostRequest{Op: "seen"}).Err, must.Sprint("reading observations after the watch has been stopped must return an error"))
	must.NotEq(t, "", h.Do(HostRequest{Op: "dance"}).Err)
}

func TestInForceTimes(t *testing.T) {
	at := func(seq uint64) wire.Version { return wire.Version{Term: 1, Seq: seq} }
	edits := []EditResult{{SentUs: 100, AtUs: 110, Stamp: at(2)}, {SentUs: 200, AtUs: 220, Stamp: at(3)}}
	seen := []Observation{
		{AtUs: 50, Node: "a", Stamp: at(1)}, {AtUs: 105, Node: "a", Stamp: at(2)}, {AtUs: 230, Node: "a", Stamp: at(3)},
		{AtUs: 50, Node: "b", Stamp: at(1)}, {AtUs: 225, Node: "b", Stamp: at(3)},
		{AtUs: 50, Node: "c", Stamp: at(1)}, {AtUs: 130, Node: "c", Stamp: at(2)},
		{AtUs: 60, Node: "c", About: "a", Live: true},
	}
	ack, every, all, never := inForce(edits, seen)
	must.Eq(t, Times{N: 2, P50: 10, P99: 20, Most: 20, Sum: 30}, ack)
	// Times in microseconds from acknowledgement to being in force. First change: node a 0 (before the
	// acknowledgement), b 115 (with the second change), c 20. Second change: a 10, b 5, c never.
	must.Eq(t, Times{N: 5, P50: 10, P99: 115, Most: 115, Sum: 150}, every)
	must.Eq(t, Times{N: 2, P50: 10, P99: 115, Most: 115, Sum: 125}, all)
	must.Eq(t, 1, never)
}

func TestDetectionTimes(t *testing.T) {
	var seen []Observation
	for i := range 4 {
		n := fmt.Sprint(i)
		seen = append(seen, Observation{AtUs: 10, Node: n, About: "x", Live: true}, Observation{AtUs: int64(100 + i), Node: n, About: "x"}, Observation{AtUs: 900, Node: n, About: "x"})
	}
	got, silent := detectionTimes(50, "x", false, 5, seen)
	must.Eq(t, 1, silent)
	must.Eq(t, Times{N: 4, P50: 51, P99: 53, Most: 53, Sum: 206}, got)
}
