// The benchmarks run clients and backends in a separate process, so that the CPU time and the allocations of
// this process are those of the node alone.

package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wallport/api/routingpb"
	"wallport/control/routing"
	"wallport/request/backend"
	"wallport/request/dispatch"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

const peerVar = "WALLPORT_BENCH_PEER"

func TestMain(m *testing.M) {
	if os.Getenv(peerVar) != "" {
		peerMain()
		return
	}
	os.Exit(m.Run())
}

// benchSnapshot returns a snapshot with a fan-out route over the given number of shards and a route to a single
// pool. Each pool has four backends.
func benchSnapshot(shards int, addrs []string) *snapshot.Snapshot {
	src := &routingpb.RoutingTable{Revision: 1, Limits: &routingpb.Limits{}}
	snap := &snapshot.Snapshot{Complete: true, Divisor: 1, LiveNodeCount: 1, Pools: map[string]*snapshot.Pool{}}
	var names []string
	for i := range len(addrs) / 4 {
		name := fmt.Sprint("pool-", i)
		names = append(names, name)
		src.Pools = append(src.Pools, &routingpb.Pool{Name: name, MaxConnections: 100})
		p := &snapshot.Pool{Pool: src.Pools[i]}
		for k, addr := range addrs[4*i : 4*i+4] {
			p.Backends = append(p.Backends, &snapshot.Backend{Backend: wire.Backend{ID: fmt.Sprint("i-", i, "-", k), Addr: addr, Pool: name, Slots: 8, Incarnation: 1}, Gauge: new(snapshot.Gauge)})
		}
		snap.Pools[name] = p
	}
	src.Routes = []*routingpb.Route{
		{Name: "all", Host: "h.example", Prefix: "/all/", Repeatable: true, TimeoutUs: 5_000_000, TargetLatencyUs: 1_000_000, MaxBackends: proto.Int32(2), FanoutPools: names[:shards], ResultLimit: 20, MinCoverage: 0.5},
		{Name: "one", Host: "h.example", Prefix: "/one/", TimeoutUs: 5_000_000, TargetLatencyUs: 1_000_000, MaxBackends: proto.Int32(1), Pool: names[0]},
	}
	snap.Routing = routing.Compile(src)
	return snap
}

func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct {
		name   string
		shards int
		j      job
	}{
		{"one", 4, job{Path: "/one", Post: true}},
		{"gathered-4", 4, job{Path: "/all"}},
		{"gathered-12", 12, job{Path: "/all"}},
		{"no-route", 4, job{Path: "/none"}},
		{"no-route-new-connections", 4, job{Path: "/none", Fresh: true}},
	} {
		b.Run(c.name, func(b *testing.B) { benchRequest(b, c.shards, c.j) })
	}
}

func benchRequest(b *testing.B, shards int, j job) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), peerVar+"="+strconv.Itoa(4*shards), "GOMAXPROCS=4")
	stdin, err := cmd.StdinPipe()
	must.NoError(b, err)
	stdout, err := cmd.StdoutPipe()
	must.NoError(b, err)
	cmd.Stderr = os.Stderr
	must.NoError(b, cmd.Start())
	defer func() { stdin.Close(); io.Copy(io.Discard, stdout); cmd.Wait() }()
	to, from := json.NewEncoder(stdin), json.NewDecoder(stdout)
	var addrs []string
	must.NoError(b, from.Decode(&addrs))

	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	snap, counts, began := benchSnapshot(shards, addrs), kernel.NewCounts(), time.Now()
	now := func() int64 { return time.Since(began).Microseconds() }
	get := func() *snapshot.Snapshot { return snap }
	dispatcher := dispatch.NewDispatcher(dispatch.Config{Snapshot: get, Counts: counts, Seed: 1, Retry: dispatch.RetryConfig{Ratio: 0.2, Allowance: 60}})
	cl := backend.New(backend.Config{Names: backend.Names{ID: "Try-Id", Budget: "Left", Target: "Meant-For", Seal: "Stamp", Load: "Busy", NotExecuted: "Did-Not-Run"}, Counts: counts})
	defer cl.Close()
	s, err := Open(Config{
		ClientAddr: "127.0.0.1:0", Names: Names{ID: "Try-Id", Budget: "Left", Seal: "Stamp", ShardSeals: "Stamps", MissingShards: "Parts-Missing"},
		Log: zap.NewNop(), Counts: counts, Backends: cl, Snapshot: get, Now: now, GracePeriod: 1 * clock.Second,
		NewStateMachine: func(r dispatch.Request, now clock.Micros) StateMachine {
			return dispatch.NewStateMachine(dispatcher, r, now)
		},
	})
	must.NoError(b, err)
	defer s.Stop()
	for s.Addr() == "" {
		runtime.Gosched()
	}
	j.Addr, j.Clients = s.Addr(), 8
	load := func(n int) (good int) {
		j.Requests = n
		must.NoError(b, to.Encode(j))
		must.NoError(b, from.Decode(&good))
		return good
	}
	load(400)
	n := max(8, b.N/8*8)
	var m0, m1 runtime.MemStats
	runtime.ReadMemStats(&m0)
	u0, s0 := cpu()
	b.ResetTimer()
	good := load(n)
	b.StopTimer()
	u1, s1 := cpu()
	runtime.ReadMemStats(&m1)
	if j.Path != "/none" && good < n {
		b.Errorf("%d of %d responses have status 200, want all", good, n)
	}
	b.ReportMetric(float64(u1-u0)/float64(n), "user-ns/op")
	b.ReportMetric(float64(s1-s0)/float64(n), "system-ns/op")
	b.ReportMetric(float64(m1.Mallocs-m0.Mallocs)/float64(n), "mallocs/op")
	b.ReportMetric(float64(m1.TotalAlloc-m0.TotalAlloc)/float64(n), "malloc-B/op")
}

// cpu returns the CPU time that this process has used so far, in nanoseconds.
func cpu() (user, system int64) {
	var r syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return r.Utime.Nano(), r.Stime.Nano()
}
