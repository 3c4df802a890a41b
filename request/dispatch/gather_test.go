// Tests of the state machine of a single request that fans out.

package dispatch

import (
	"bytes"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

func shardResult(seal string, records ...string) Result {
	r := success("")
	r.Seal = seal
	for _, v := range records {
		r.Body = append(r.Body, (v + "................")[:recordSize]...)
	}
	return r
}

func TestGatherMergesGreatestRecords(t *testing.T) {
	f := newFixture(4, 3)
	m := f.stateMachine("gather")
	must.Len(t, 4, sends(m.Step(startTime, Begin{})))
	m.Step(startTime+1000, AttemptDone{N: 0, Result: shardResult("s0", "b", "d")})
	m.Step(startTime+1000, AttemptDone{N: 1, Result: shardResult("s1", "a", "d")})
	m.Step(startTime+1000, AttemptDone{N: 2, Result: shardResult("s2")})
	o := outcomeOf(m.Step(startTime+2000, AttemptDone{N: 3, Result: shardResult("s3", "c")}))
	must.Eq(t, 200, o.Status)
	must.Eq(t, 0, o.Missing)
	must.Eq(t, []string{"s0", "s1", "s2", "s3"}, o.Seals)
	must.Eq(t, "d...............d...............c...............", string(o.Body))
	must.Nil(t, o.Response)
}

func TestGatherRejectsWithTooFewPools(t *testing.T) {
	f := newFixture(4, 2)
	for _, id := range []string{"p1-0", "p1-1", "p2-0", "p2-1"} {
		f.backendOf(id).eject(startTime)
	}
	acts := f.stateMachine("gather").Step(startTime, Begin{})
	must.SliceEmpty(t, sends(acts))
	must.Eq(t, 503, outcomeOf(acts).Status)
	must.Positive(t, outcomeOf(acts).RetryAfter)
}

func TestGatherRespondsWithoutDownPool(t *testing.T) {
	f := newFixture(4, 2)
	f.backendOf("p1-0").eject(startTime)
	f.backendOf("p1-1").eject(startTime)
	m := f.stateMachine("gather")
	must.Len(t, 3, sends(m.Step(startTime, Begin{})))
	m.Step(startTime+1000, AttemptDone{N: 0, Result: shardResult("s0", "b")})
	m.Step(startTime+1000, AttemptDone{N: 1, Result: shardResult("s1", "a")})
	o := outcomeOf(m.Step(startTime+2000, AttemptDone{N: 2, Result: shardResult("s2", "c")}))
	must.Eq(t, 200, o.Status)
	must.Eq(t, 1, o.Missing)
}

func TestGatherAtLatencyTarget(t *testing.T) {
	for _, priority := range []int32{1, 2} {
		f := newFixture(4, 2)
		f.table.Routes[0].Priority = priority
		f.publishTable()
		m := f.stateMachine("gather")
		m.Step(startTime, Begin{})
		for n := range 3 {
			m.Step(startTime+1000, AttemptDone{N: n, Result: shardResult("s"+string(rune('0'+n)), "b")})
		}
		o := outcomeOf(m.Step(m.targetAt, TimerFired{}))
		if priority == 2 {
			must.Eq(t, 1, o.Missing, must.Sprint("the request of lower priority responds without the missing shard"))
			continue
		}
		must.Nil(t, o, must.Sprint("the request of higher priority keeps waiting"))
		o = outcomeOf(m.Step(startTime+300_000, AttemptDone{N: 3, Result: shardResult("s3", "b")}))
		must.Eq(t, 0, o.Missing)
	}
}

func TestGatherRejectsRepeatedSealAndFailure(t *testing.T) {
	f := newFixture(4, 2)
	f.drainRetryBudgets()
	m := f.stateMachine("gather")
	m.Step(startTime, Begin{})
	for n := range 4 {
		r := shardResult("same", "b")
		if n == 3 {
			r.Status, r.Seal = 500, "other"
		}
		if o := outcomeOf(m.Step(startTime+1000, AttemptDone{N: n, Result: r})); o != nil {
			must.Eq(t, 502, o.Status)
			return
		}
	}
	must.Unreachable(t)
}

func TestGatherKeepsItsPoolsAfterRoutingChange(t *testing.T) {
	f := newFixture(4, 2)
	f.fillRetryBudgets()
	m := f.stateMachine("gather")
	m.Step(startTime, Begin{})
	f.table.Routes[0].FanoutPools = []string{"p1", "p2", "p3"}
	f.publishTable()
	must.SliceEmpty(t, sends(m.Step(startTime+1000, AttemptDone{N: 0, Result: Result{Class: ClassFailed}})), must.Sprint("the request is not retried at p0, which the route no longer uses"))
	must.Len(t, 1, sends(m.Step(startTime+1000, AttemptDone{N: 1, Result: Result{Class: ClassFailed}})))
	m.Step(startTime+1000, AttemptDone{N: 2, Result: shardResult("s2", "b")})
	m.Step(startTime+1000, AttemptDone{N: 3, Result: shardResult("s3", "b")})
	o := outcomeOf(m.Step(startTime+2000, AttemptDone{N: 4, Result: shardResult("s1", "b")}))
	must.Eq(t, 200, o.Status)
	must.Eq(t, 1, o.Missing, must.Sprint("p0 counts as missing: the routing table had it when the request began"))
}

func TestMergeMatchesSort(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	for round := range 500 {
		var parts [][]byte
		var all [][]byte
		for range r.IntN(6) {
			p := make([]byte, r.IntN(200))
			for i := range p {
				p[i] = byte(r.IntN(3)) * 127
			}
			parts = append(parts, p)
			for ; len(p) >= recordSize; p = p[recordSize:] {
				all = append(all, p[:recordSize])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		limit := r.IntN(25)
		must.Eq(t, bytes.Join(all[:min(limit, len(all))], nil), merge(parts, limit), must.Sprintf("round %d", round))
	}
}

func TestGatherDoesNotRetrySucceededShard(t *testing.T) {
	f := newFixture(4, 3)
	f.fillRetryBudgets()
	m := f.stateMachine("gather")
	m.Step(startTime, Begin{})
	early := sends(m.Step(m.shards[0].hedgeAt, TimerFired{}))
	must.SliceNotEmpty(t, early)
	m.Step(startTime+40_000, AttemptDone{N: 0, Result: shardResult("s0", "b")})
	var second int
	for _, a := range early {
		if a.Pool.Name == "p0" {
			second = a.N
		}
	}
	must.Positive(t, second)
	must.SliceEmpty(t, sends(m.Step(startTime+41_000, AttemptDone{N: second, Result: Result{Class: ClassFailed}})))
	m.Step(startTime+41_000, AttemptDone{N: 1, Result: shardResult("s1", "a")})
	m.Step(startTime+41_000, AttemptDone{N: 2, Result: shardResult("s2", "a")})
	must.Eq(t, 0, outcomeOf(m.Step(startTime+42_000, AttemptDone{N: 3, Result: shardResult("s3", "a")})).Missing)
}

// TestGatherSendsToAPoolNamedTwiceOnce guards against the failure of review/5: fanout_pools that named a pool twice made
// two shards of it, so that every response contained the pool's records twice and two seals of one service.
func TestGatherSendsToAPoolNamedTwiceOnce(t *testing.T) {
	f := newFixture(4, 3)
	f.table.Routes[0].FanoutPools = []string{"p0", "p1", "p2", "p0", "p2", "p0"}
	f.publishTable()
	m := f.stateMachine("gather")
	sent := sends(m.Step(startTime, Begin{}))
	must.Len(t, 3, sent)
	for i, s := range sent {
		must.Eq(t, []string{"p0", "p1", "p2"}[i], s.Pool.Name)
	}
	m.Step(startTime+1000, AttemptDone{N: 0, Result: shardResult("s0", "b", "d")})
	m.Step(startTime+1000, AttemptDone{N: 1, Result: shardResult("s1", "a", "d")})
	o := outcomeOf(m.Step(startTime+2000, AttemptDone{N: 2, Result: shardResult("s2", "c")}))
	must.Eq(t, 200, o.Status)
	must.Eq(t, 0, o.Missing)
	must.Eq(t, []string{"s0", "s1", "s2"}, o.Seals)
	must.Eq(t, "d...............d...............c...............", string(o.Body))
}

// TestGatherCountsAPoolNamedTwiceOnce guards against the same failure in the numbers of a response: the missing shards
// and the minimum coverage are counted over the set of pools.
func TestGatherCountsAPoolNamedTwiceOnce(t *testing.T) {
	f := newFixture(4, 2)
	f.table.Routes[0].FanoutPools, f.table.Routes[0].MinCoverage = []string{"p0", "p0", "p0", "p1"}, 0.5
	f.publishTable()
	f.backendOf("p0-0").eject(startTime)
	f.backendOf("p0-1").eject(startTime)
	m := f.stateMachine("gather")
	must.Len(t, 1, sends(m.Step(startTime, Begin{})), must.Sprint("one of two shards is enough, although the list names the other one three times"))
	o := outcomeOf(m.Step(startTime+1000, AttemptDone{N: 0, Result: shardResult("s0", "b")}))
	must.Eq(t, 200, o.Status)
	must.Eq(t, 1, o.Missing)
}

// TestNoResponseCoversMoreThanAllShards guards against an answer of a route whose min_coverage is above 1, which is
// acknowledged: no answer has that share of the parts in, so that none may be a success. The greatest coverage was also
// converted to a number of shards beyond an int.
func TestNoResponseCoversMoreThanAllShards(t *testing.T) {
	for _, coverage := range []float64{1.01, 75, 1e9, math.MaxFloat64} {
		f := newFixture(4, 2)
		f.table.Routes[0].MinCoverage = coverage
		f.publishTable()
		acts := f.stateMachine("gather").Step(startTime, Begin{})
		must.SliceEmpty(t, sends(acts), must.Sprint("no backend may run a request that cannot succeed"))
		must.Eq(t, 503, outcomeOf(acts).Status)
		must.Eq(t, reasonCoverage, outcomeOf(acts).Reason)
	}
}
