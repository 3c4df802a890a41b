// Tests of the slow start of single backends with extreme values of ramp_per_s. The fleet-wide rate is tested in
// fleet_test.go.

package dispatch

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
)

// extremeRamps are rates from the smallest to the largest number that a configuration can contain. Above 5 million, the
// token period of three nodes is less than 1 µs.
var extremeRamps = []float64{math.SmallestNonzeroFloat64, 1e-300, 1e-9, 0.001, 12, 999_999, 6e6, 1e9, 1e18, 1e300, math.MaxFloat64}

// coldFixture returns a fixture in which all backends are in slow start for a minute, at a rate that a fleet of the
// given number of nodes shares.
func coldFixture(ramp float64, nodes int) *fixture {
	f := newFixture(4, 3)
	f.snap.Divisor = nodes
	for _, p := range f.table.Pools {
		p.RampPerS = ramp
	}
	for _, p := range f.snap.Pools {
		for _, b := range p.Backends {
			b.WarmUpRemaining = clock.Minute
		}
	}
	f.publishTable()
	return f
}

// TestAnyRampIsServed guards against the failure of review/4: a very large ramp_per_s, which is acknowledged, made the
// token period 0, and the division by it ended the process as soon as a backend was cold.
func TestAnyRampIsServed(t *testing.T) {
	for _, ramp := range extremeRamps {
		for _, nodes := range []int{1, 3, 600} {
			t.Run(fmt.Sprintf("%g of %d", ramp, nodes), func(t *testing.T) {
				f, sent := coldFixture(ramp, nodes), 0
				const requests, interval = 200, 5 * clock.Millisecond
				for i := range int64(requests) {
					for _, route := range []string{"once", "read", "split", "gather"} {
						now := startTime + i*interval
						m := f.stateMachine(route)
						m.startedAt = now
						for _, s := range sends(m.Step(now, Begin{})) {
							sent++
							m.Step(now+clock.Millisecond, AttemptDone{N: s.N, Result: shardResult(fmt.Sprint("s", s.N), "a")})
						}
						must.True(t, m.Done() || ramp < 1e6, must.Sprint("a rate without effect must not leave a request unanswered"))
					}
				}
				if ramp >= 1e6*float64(nodes) {
					must.Eq(t, requests*(3+4), sent, must.Sprint("a rate above every load must not hold a request back"))
				}
				// The rate holds for each backend, over the whole second and for all nodes; this node has its part.
				most := 12 * (1 + math.Ceil(ramp*requests*float64(interval)/float64(clock.Second)/float64(nodes)))
				must.LessEq(t, most, float64(sent), must.Sprint("requests sent above the rate"))
			})
		}
	}
}

// TestTokenPeriodIsInRange guards against a conversion of a number out of range, whose result differs between amd64
// (the least integer) and arm64 (the greatest): on amd64, a very small ramp_per_s would have set no limit at all.
func TestTokenPeriodIsInRange(t *testing.T) {
	for _, ramp := range extremeRamps {
		for _, nodes := range []int{0, 1, 3, 600, math.MaxInt32} {
			period := tokenPeriod(ramp, nodes)
			must.Between(t, 0, period, maxTokenPeriod, must.Sprintf("%g of %d nodes", ramp, nodes))
		}
	}
	must.Eq(t, maxTokenPeriod, tokenPeriod(math.SmallestNonzeroFloat64, 1))
	must.Eq(t, 0, tokenPeriod(6e6, 3), must.Sprint("more than a token in each microsecond means that there is no limit"))
	must.Eq(t, 250*clock.Millisecond, tokenPeriod(20, 3))
}

// TestTokensAreNotLostToEachOther guards against a request that is turned away although tokens are left: of two requests that
// took a token at the same moment, one got none, however high the rate.
func TestTokensAreNotLostToEachOther(t *testing.T) {
	const ramp, takers, each = 1e6, 8, 2_000
	now := 100 * clock.Second
	var s slowStart
	s.nextToken.Store(now - tokenLifetime)
	var refused atomic.Int64
	var all sync.WaitGroup
	for range takers {
		all.Go(func() {
			for range each {
				if !s.take(now, ramp, 1) {
					refused.Add(1)
				}
			}
		})
	}
	all.Wait()
	must.Zero(t, refused.Load(), must.Sprintf("takes, of %d, although %d tokens were left", takers*each, tokenLifetime/tokenPeriod(ramp, 1)))
	taken := takers * each
	for s.take(now, ramp, 1) {
		taken++
	}
	must.Between(t, tokenLifetime/tokenPeriod(ramp, 1), clock.Micros(taken), tokenLifetime/tokenPeriod(ramp, 1)+1, must.Sprint("tokens in all"))
}
