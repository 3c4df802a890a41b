package tokenbucket

import (
	"math"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
)

func TestAddStopsAtCapacity(t *testing.T) {
	var b Bucket
	b.Add(3*One, 2*One)
	must.Eq(t, 2*One, b.Balance())
	b.Add(One, One)
	must.Eq(t, 2*One, b.Balance(), must.Sprint("a smaller capacity does not reduce the balance"))
}

func TestRefillAddsTokensForElapsedTime(t *testing.T) {
	var b Bucket
	b.RefilledAt.Store(clock.Second)
	b.Refill(clock.Second/2, One, 10*One)
	must.Eq(t, 0, b.Balance(), must.Sprint("the first refill counts from RefilledAt"))
	b.Refill(3*clock.Second, One, 10*One)
	must.Eq(t, 2*One, b.Balance())
	b.Refill(3*clock.Second+999, One, 10*One)
	must.Eq(t, 2*One, b.Balance())
	must.Eq(t, 3*clock.Second, b.RefilledAt.Load(), must.Sprint("time worth less than a thousandth counts towards the next refill"))
	b.Refill(3*clock.Second+1000, One, 10*One)
	must.Eq(t, 2*One+1, b.Balance())
	b.Refill(clock.Minute, One, 10*One)
	must.Eq(t, 10*One, b.Balance())
}

func TestTake(t *testing.T) {
	for _, c := range []struct {
		name                        string
		holds, n, required, balance int64
		capacity                    int64
		ok                          bool
	}{
		{name: "enough", holds: 3 * One, n: One, required: One, capacity: 5 * One, balance: 2 * One, ok: true},
		{name: "too little", holds: One - 1, n: One, required: One, capacity: 5 * One, balance: One - 1},
		{name: "negative balance", holds: 2 * One, n: 5 * One, required: 2 * One, capacity: 2 * One, balance: -3 * One, ok: true},
		{name: "negative balance from empty bucket", n: One, required: One - 2*One, capacity: 2 * One, balance: -One, ok: true},
		{name: "amount beyond capacity is discarded", holds: 5 * One, n: One, required: One, capacity: 2 * One, balance: One, ok: true},
		{name: "amount beyond capacity does not count", holds: 5 * One, n: One, required: 3 * One, capacity: 2 * One, balance: 5 * One},
	} {
		t.Run(c.name, func(t *testing.T) {
			var b Bucket
			b.Add(c.holds, c.holds)
			must.Eq(t, c.ok, b.Take(c.n, c.required, c.capacity))
			must.Eq(t, c.balance, b.Balance())
		})
	}
}

func TestConcurrentTake(t *testing.T) {
	var b Bucket
	b.Add(1000*One, 1000*One)
	var taken atomic.Int64
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 500 {
				if b.Take(One, One, 1000*One) {
					taken.Add(1)
				}
			}
		})
	}
	all.Wait()
	must.Eq(t, 1000, taken.Load())
	must.Eq(t, 0, b.Balance())
}

// TestAmountIsBounded guards against a limit of any size that becomes a negative amount: the conversion of a number out
// of range gives the least integer on amd64 and the greatest on arm64.
func TestAmountIsBounded(t *testing.T) {
	for _, c := range []struct {
		tokens float64
		want   int64
	}{
		{0, 0}, {0.0005, 0}, {1.5, 1500}, {-2, -2000}, {1e12, 1e15}, {1e13, maxAmount}, {math.MaxInt64, maxAmount}, {math.MaxFloat64, maxAmount},
		{math.Inf(1), maxAmount}, {-1e300, -maxAmount},
	} {
		must.Eq(t, c.want, Amount(c.tokens), must.Sprint(c.tokens))
	}
	var b Bucket
	b.Refill(math.MaxInt64, maxAmount, maxAmount)
	must.Eq(t, maxAmount, b.Balance())
	b.Add(maxAmount, maxAmount)
	must.Eq(t, maxAmount, b.Balance())
}
