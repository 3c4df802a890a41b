// Tests of a backend whose address another backend has taken over. A single response from the other backend suffices
// to detect this.

package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
)

// wrongBackendResult returns the result of an attempt to which another backend at the address responded.
func wrongBackendResult() Result {
	return Result{Class: ClassRejected, Status: 421, WrongBackend: true}
}

// sendToReplacedBackend sends a request to an address at which another backend responds, and returns the intended
// backend.
func (f *fixture) sendToReplacedBackend(t *testing.T) *backend {
	t.Helper()
	m := f.stateMachine("read")
	a := sends(m.Step(startTime, Begin{}))
	must.Len(t, 1, a)
	m.Step(startTime+1_000, AttemptDone{N: a[0].N, Result: wrongBackendResult()})
	return f.backendOf(a[0].Backend.ID)
}

func TestReplacedBackendIsDown(t *testing.T) {
	f := newFixture(1, 2)
	f.fillRetryBudgets()
	b := f.sendToReplacedBackend(t)
	endpoints := f.currentView().pools["p0"].endpoints
	for at := clock.Micros(startTime + 1_001); at < startTime+replacedFor; at += 100_000 {
		for i := range endpoints {
			if endpoints[i].backend == b {
				must.Eq(t, standingDown, endpoints[i].standing(at, &latencyStats{}, false), must.Sprint("no trial is due: it would reach the other backend"))
			}
		}
	}
	must.Eq(t, 1, f.count.ejections.Load())
}

func TestReplacedBackendIsTriedAgainLater(t *testing.T) {
	f := newFixture(1, 2)
	f.fillRetryBudgets()
	b := f.sendToReplacedBackend(t)
	endpoints := f.currentView().pools["p0"].endpoints
	for i := range endpoints {
		if endpoints[i].backend == b {
			must.NotEq(t, standingDown, endpoints[i].standing(startTime+1_000+replacedFor, &latencyStats{}, false))
		}
	}
}
