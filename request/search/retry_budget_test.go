package search

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
)

// TestRetryBudgetHoldsInAnyTenSeconds guards against bursts of retries after a pause. It interrupts the
// traffic for some seconds at a time: credit that was earned before a window of ten seconds must not
// raise the number of retries in that window above the window's budget.
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
		must.LessEq(t, f/5+60, e, must.Sprintf("too many retries in the ten seconds from second %d", s))
	}
	must.Greater(t, 1000, all, must.Sprint("too few retries were granted for the test to be meaningful"))
}
