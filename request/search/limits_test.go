// Tests of the limits of a configuration.

package search

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/api/configpb"
	"wallport/cluster/loadreport"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
)

// TestLimitsOfAnySizeAdmit guards against a sheet whose capacity or ceiling is near the greatest integer, which Check
// accepts: converted to thousandths of tokens it is out of range. The result of that conversion depends on the machine;
// on amd64 it is negative, so that the limiters were never refilled and every request was rejected.
func TestLimitsOfAnySizeAdmit(t *testing.T) {
	for _, limit := range []int64{1_000_000, math.MaxInt64 / 2000, math.MaxInt64/1000 + 1, math.MaxInt64} {
		d := &Dispatcher{LoadReport: &loadreport.Reporter{}}
		snap := &snapshot.Snapshot{LiveNodeCount: 3}
		index := &snapshot.Index{Name: "i", Service: &configpb.Service{Index: "i"}, Capacity: float64(limit), Limits: map[string]snapshot.Limit{
			string(KindSearch): {Share: float64(limit), RateLimit: float64(limit)},
		}}
		now := 100 * clock.Second
		for range 10_000 {
			now += 100
			ok, by := d.withinLimits(snap, index, KindSearch, now)
			must.True(t, ok, must.Sprint(limit, by))
		}
		own := d.limitersOf("i").kinds[KindSearch]
		must.Positive(t, own.rate.Balance(), must.Sprint("a limiter must not overflow"))
		must.Positive(t, own.quota.Balance())
	}
}
