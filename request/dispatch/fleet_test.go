// Tests of the limits that apply to all nodes together: the retry budgets and the request rate of backends in slow
// start.

package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/random"
)

// TestRetryBudgetAcrossRestartsAndTrafficDrops checks that the nodes stay within the retry budgets although processes
// restart repeatedly, each time with an empty budget, and although the traffic drops.
func TestRetryBudgetAcrossRestartsAndTrafficDrops(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{3, 11, 88} {
		for seed := range uint64(2) {
			s := defaultDeployment(seed)
			s.nodes, s.allowance, s.slots, s.pauseLength = nodes, 62, 4, 0
			s.search, s.quick, s.once, s.read = 300, 0, 0, 100
			w := newSimulation(s)
			r := rand.New(rand.NewPCG(seed, 1))
			faultsAt := map[float64]func(){
				// The budgets are full when all backends begin to lose 60 % of the responses at 5 s. At 14 s the traffic
				// drops to almost nothing.
				5: func() {
					for _, b := range w.backends {
						b.lossRate = 0.6
					}
				},
				14: func() { w.search, w.read = 2, 1; w.startClients(w.now + 20*second) },
			}
			for i := range 12 {
				faultsAt[4+float64(i)*0.8+0.1] = func() {
					n := w.nodes[r.IntN(nodes)]
					n.down = true
					w.after(400_000, func() { n.restart(w.now) })
				}
			}
			w.run(t, 14, faultsAt)
			w.advance(w.now + 15*second)
			w.checkRules(t)
		}
	}
}

func TestSlowStartLimitsWarmingBackends(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{1, 11, 88} {
		for seed := range uint64(3) {
			s := defaultDeployment(seed)
			s.nodes, s.slowStartRate = nodes, 12
			w := newSimulation(s)
			w.run(t, 12, map[float64]func(){
				1: func() { w.crash(2, w.someBackends(0.5, "shard", "desk")) },
				// All backends enter slow start at the same time, and the snapshots show it.
				7: func() {
					for _, b := range w.backends {
						b.warmUntil = w.now + 3*second
					}
					for _, n := range w.nodes {
						n.refreshSnapshot()
					}
				},
			})
			cold := 0
			for _, a := range w.journal.arrivals {
				if a.warmingUp {
					cold++
				}
			}
			must.Positive(t, cold, must.Sprint("backends in slow start receive requests"))
			t.Logf("%d nodes: %d arrivals at backends in slow start", nodes, cold)
		}
	}
}

// TestRetryBudgetUnderConstantRestarts checks the retry budgets while all processes restart every 1.5 s, each time
// with an empty budget.
func TestRetryBudgetUnderConstantRestarts(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		s := defaultDeployment(seed)
		s.nodes, s.search, s.quick, s.once, s.read, s.pauseLength = 40, 60, 0, 0, 60, 0
		w := newSimulation(s)
		for _, b := range w.backends {
			b.lossRate = 0.7
		}
		faultsAt := map[float64]func(){}
		for i := range 6 {
			faultsAt[1.5*float64(i)] = func() {
				for _, n := range w.nodes {
					n.restart(w.now)
				}
			}
		}
		w.run(t, 9, faultsAt)
	}
}

// TestRetryBudgetOfFleetLargerThanAllowance checks a fleet in which each node's fair share of the allowance is far
// less than one attempt. Since a node can only save whole attempts, the attempts saved by all nodes could together
// exceed the allowance.
func TestRetryBudgetOfFleetLargerThanAllowance(t *testing.T) {
	t.Parallel()
	const nodes, allowance = 600, 30.0
	for seed := range uint64(3) {
		r := rand.New(rand.NewPCG(seed, 5))
		snap := &snapshot.Snapshot{Divisor: nodes}
		now := 60 * clock.Second
		var dispatchers []*Dispatcher
		for range nodes {
			dispatchers = append(dispatchers, NewDispatcher(Config{Counts: kernel.NewCounts(), Seed: r.Uint64(), Retry: RetryConfig{Ratio: 0.2, Allowance: allowance}}))
		}
		var j journal
		j.init()
		rnd := random.Source(seed)
		kind := requestKinds[0]
		// For 40 s no request is retried, so that the budgets fill up; then every request is retried up to three times.
		for i := range 60 * 560 {
			now += clock.Second / 560
			d := dispatchers[r.IntN(nodes)]
			p := &pool{name: "p", retryBudget: d.retryBudgetOf("p")}
			p.retryBudget.replenish(now, snap.Divisor, &rnd)
			id := fmt.Sprint(i)
			j.recordAttempt(now, id, &kind)
			for range 3 {
				if i > 40*560 && d.withdrawRetry(p, now, snap.Divisor) {
					j.arrivals = append(j.arrivals, &arrival{at: now, id: id, pool: "p", repeated: true})
				}
			}
		}
		must.SliceEmpty(t, j.checkRetryBudget(0.2, allowance, 10*second, func(string) []string { return []string{"p"} }), must.Sprintf("seed %d: the fleet exceeds the retry budget", seed))
		must.Greater(t, 500, len(j.arrivals), must.Sprint("the number of retries shows that the budget is used"))
	}
}
