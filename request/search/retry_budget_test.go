package search

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
)

// TestRetryBudgetHoldsInAnyTenSeconds interrupts the traffic for some seconds at a time: credit that was
// earned before a window of ten seconds must not exceed the budget of that window.
func TestRetryBudgetHoldsInAnyTenSeconds(t *testing.T) {
	snap := newSnapshot(1, 1)
	d := newTestDispatcher(snap)
	extras, firsts := map[int64]int64{}, map[int64]int64{}
	for now := clock.Micros(0); now < 90*clock.Second; now += 10 * clock.Millisecond {
		sec := now / clock.Second
		if sec%17 > 12 {
			continue
		}
		d.replenishRetryBudget(snap, "a", now)
		firsts[sec]++
		for range 2 {
			if sec%5 == 4 && d.takeRetries(snap, "a", now, 1) {
				extras[sec]++
			}
		}
	}
	var all int64
	for s := int64(0); s < 80; s++ {
		var e, f int64
		for i := s; i < s+10; i++ {
			e += extras[i]
			f += firsts[i]
		}
		all += e
		must.LessEq(t, f/5+60, e, must.Sprintf("from second %d", s))
	}
	must.Greater(t, 1000, all, must.Sprint("the budget must be used to a good part"))
}
