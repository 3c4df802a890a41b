// The clients' side of a node on the platform: one desk, one set of
// connections to backends, and the server that takes requests through them.

package main

import (
	"time"

	"wallport/platform"
	"wallport/request/backend"
	"wallport/request/dispatch"
	"wallport/request/gateway"
	"wallport/request/httpapi"
	"wallport/request/snapshot"
	"wallport/runtime/kernel"
	"wallport/runtime/process"
)

// openGateway serves clients and readiness until stop is called.
func openGateway(p *process.Process, operators *httpapi.Server, place platform.ProcessSettings, failed chan<- error) (stop func(), err error) {
	e, b := p.Kernel.Boot.Settings, kernel.Find[*snapshot.Table](p.Kernel)
	desk := dispatch.NewDispatcher(dispatch.Config{
		Snapshot: b.Current, Counts: p.Kernel.Counts, Seed: p.Kernel.Boot.Seed, StartedAt: p.Now(),
		Retry:      dispatch.RetryConfig{Ratio: e.Retries.Ratio, Allowance: e.Retries.Allowance, Window: e.Retries.Window},
		Invariants: p.Invariants(), OnTrace: requestLog(p.Sampled()),
	})
	operators.ExplainBy(func(id string) (any, bool) { return desk.Traces.Get(id) })
	client := backend.New(backend.Config{
		Names: platform.BackendNames(), Counts: p.Kernel.Counts, Frozen: p.Frozen, Thaws: p.Thaws,
		NodeCount: func() int {
			if c := b.Current(); c != nil {
				return c.Divisor
			}
			return 1
		},
	})
	s, err := gateway.Open(gateway.Config{
		ClientAddr: place.HTTP, ReadinessAddr: place.Readiness, Names: platform.GatewayNames(), Log: p.Log, Sampled: p.Sampled(), Counts: p.Kernel.Counts,
		Backends: client, Snapshot: b.Current, Now: p.Now, GracePeriod: e.Bounds.GracePeriod,
		AwaitThaw: func() { p.AwaitThaw(thawTimeout) },
		NewStateMachine: func(r dispatch.Request, now int64) gateway.StateMachine {
			return dispatch.NewStateMachine(desk, r, now)
		},
	})
	if err != nil {
		client.Close()
		return nil, err
	}
	go func() {
		if err := <-s.Failed(); err != nil {
			failed <- err
		}
	}()
	return func() {
		s.Stop()
		client.Close()
	}, nil
}

// thawTimeout bounds how long a request waits after a freeze for a fresh table.
const thawTimeout = 500 * time.Millisecond
