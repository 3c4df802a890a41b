// A backend whose address has gone to another one: its answer is proof, and one is enough.

package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"
)

// elsewhere is the answer of another backend at the address.
func elsewhere() Result {
	return Result{Class: ClassRejected, Status: 421, WrongBackend: true}
}

// meetsAnother has a request of the route meet another backend at the address that it asks.
func (f *fixture) meetsAnother(t *testing.T) *backend {
	t.Helper()
	m := f.chart("read")
	a := asks(m.Step(begun, Begin{}))
	must.Len(t, 1, a)
	m.Step(begun+1_000, AttemptDone{N: a[0].N, Result: elsewhere()})
	return f.backendOf(a[0].Server.ID)
}

func TestABackendWhoseAddressIsAnothersIsAskedNoMore(t *testing.T) {
	f := fixed(1, 2)
	f.rich()
	b := f.meetsAnother(t)
	seats := f.currentView().pools["p0"].endpoints
	for at := int64(begun + 1_001); at < begun+replacedFor; at += 100_000 {
		for i := range seats {
			if seats[i].backend == b {
				must.Eq(t, standingDown, seats[i].standing(at, &latencyStats{}, false), must.Sprint("no trial: it would reach the other one"))
			}
		}
	}
	must.Eq(t, 1, f.count.ejections.Load())
}

func TestABackendIsTriedAgainOnceALongTimeHasPassed(t *testing.T) {
	f := fixed(1, 2)
	f.rich()
	b := f.meetsAnother(t)
	seats := f.currentView().pools["p0"].endpoints
	for i := range seats {
		if seats[i].backend == b {
			must.NotEq(t, standingDown, seats[i].standing(begun+1_000+replacedFor, &latencyStats{}, false))
		}
	}
}
