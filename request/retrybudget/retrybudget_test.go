package retrybudget

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/request/tokenbucket"
	"wallport/runtime/clock"
)

const startedAt = 7 * clock.Second

func TestLimits(t *testing.T) {
	for _, c := range []struct {
		name                string
		now                 clock.Micros
		share               int64
		capacity, fairShare int64
	}{
		{name: "startup, small fleet", now: startedAt, share: 50 * tokenbucket.One, capacity: StartupCapacity, fairShare: StartupCapacity},
		{name: "startup, large fleet", now: startedAt + StartupPeriod - 1, share: 10, capacity: StartupCapacity, fairShare: StartupCapacity},
		{name: "small fleet", now: startedAt + StartupPeriod, share: 50 * tokenbucket.One, capacity: 50 * tokenbucket.One, fairShare: 50 * tokenbucket.One},
		{name: "one attempt", now: startedAt + StartupPeriod, share: tokenbucket.One, capacity: tokenbucket.One, fairShare: tokenbucket.One},
		{name: "large fleet", now: startedAt + StartupPeriod, share: 10, capacity: tokenbucket.One, fairShare: 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b Budget
			b.Init(startedAt)
			capacity, fairShare := b.Limits(c.now, c.share)
			must.Eq(t, c.capacity, capacity)
			must.Eq(t, c.fairShare, fairShare)
		})
	}
}

func TestRefillStartsAfterStartupPeriod(t *testing.T) {
	var b Budget
	b.Init(startedAt)
	must.Eq(t, 0, b.Balance())
	b.Refill(startedAt+StartupPeriod, tokenbucket.One, 100*tokenbucket.One)
	must.Eq(t, 0, b.Balance())
	b.Refill(startedAt+StartupPeriod+3*clock.Second, tokenbucket.One, 100*tokenbucket.One)
	must.Eq(t, 3*tokenbucket.One, b.Balance())
}
