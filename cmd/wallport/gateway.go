package main

import (
	"time"

	"wallport/platform"
	"wallport/request/backend"
	"wallport/request/dispatch"
	"wallport/request/gateway"
	"wallport/request/httpapi"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/process"
)

// thawTimeout limits how long a request waits for an up-to-date snapshot after the process was frozen.
const thawTimeout = 500 * time.Millisecond

// openGateway opens the listeners for the platform's clients and its readiness checks. All requests share one dispatcher
// and one backend client. The listeners are open until stop is called; if one fails before that, its error is sent to failed.
func openGateway(p *process.Process, operators *httpapi.Server, configured platform.ProcessSettings, failed chan<- error) (stop func(), err error) {
	set, builder := p.Kernel.Boot.Settings, kernel.Find[*snapshot.Builder](p.Kernel)
	dispatcher := dispatch.NewDispatcher(dispatch.Config{
		Snapshot: builder.Current, Counts: p.Kernel.Counts, Seed: p.Kernel.Boot.Seed, StartedAt: p.Now(),
		Retry:      dispatch.RetryConfig{Ratio: set.Retries.Ratio, Allowance: set.Retries.Allowance, Window: set.Retries.Window},
		Invariants: p.Invariants(), OnTrace: gateway.LogFailures(p.Sampled()),
	})
	operators.SetTraceFinder(func(id string) (any, bool) { return dispatcher.Traces.Get(id) })
	client := backend.New(backend.Config{
		Names: platform.BackendNames(), Counts: p.Kernel.Counts, Frozen: p.Frozen, Thaws: p.Thaws,
		NodeCount: func() int {
			if current := builder.Current(); current != nil {
				return current.Divisor
			}
			return 1
		},
	})
	server, err := gateway.Open(gateway.Config{
		ClientAddr: configured.HTTP, ReadinessAddr: configured.Readiness, Names: platform.GatewayNames(),
		Log: p.Log, Sampled: p.Sampled(), Counts: p.Kernel.Counts,
		Backends: client, Snapshot: builder.Current, Now: p.Now, GracePeriod: set.Bounds.GracePeriod,
		AwaitThaw: func() { p.AwaitThaw(thawTimeout) },
		NewStateMachine: func(request dispatch.Request, now clock.Micros) gateway.StateMachine {
			return dispatch.NewStateMachine(dispatcher, request, now)
		},
	})
	if err != nil {
		client.Close()
		return nil, err
	}
	go func() {
		if err := <-server.Failed(); err != nil {
			failed <- err
		}
	}()
	return func() {
		server.Stop()
		client.Close()
	}, nil
}
