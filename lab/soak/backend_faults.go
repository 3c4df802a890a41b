// Faults of backends and of the platform's list of backends.

package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

func backendFaults() []faultKind {
	return []faultKind{
		{"backend_crash", 4, backendCrash},
		{"backend_crash_pool", 1, backendCrashPool},
		{"backend_reborn", 3, backendAddressReused},
		{"backend_drain", 4, backendDrain},
		{"backend_slow", 2, misbehave(behaviour{slow: 20, share: 1})},
		{"backend_silent", 2, misbehave(behaviour{hangs: true, share: 0.7})},
		{"backend_reset", 2, misbehave(behaviour{reset: true, share: 0.3})},
		{"backend_garbled", 2, misbehave(behaviour{garbled: true, share: 0.3})},
		{"backend_cut", 2, misbehave(behaviour{truncated: true, share: 0.3})},
		{"backend_surplus", 2, misbehave(behaviour{surplus: true, share: 0.4})},
		{"backend_sealless", 1, misbehave(behaviour{unsealed: true, share: 0.3})},
		{"backend_refuses", 2, misbehave(behaviour{rejects: true, share: 0.4})},
		{"backend_elsewhere", 1, misbehave(behaviour{misdirected: true, share: 0.2})},
		{"backend_early", 2, misbehave(behaviour{early: true, share: 0.5})},
		{"list_fails", 2, misbehaveList(listBehaviour{fails: true})},
		{"list_hangs", 2, misbehaveList(listBehaviour{hangs: true})},
		{"list_garbled", 1, misbehaveList(listBehaviour{garbles: true})},
		{"list_page_lost", 2, misbehaveList(listBehaviour{loses: true})},
	}
}

// anyPool draws a pool. A third of the draws return the pool of non-idempotent requests; the other draws return any
// pool, including that pool, with the same probability.
func anyPool(rng *rand.Rand) string {
	if rng.IntN(3) == 0 {
		return poolDispatch
	}
	names := poolNames()
	return names[rng.IntN(len(names))]
}

// anyBackend draws a running backend of a pool, nil if the pool has fewer than two.
func anyBackend(r *run, rng *rand.Rand, pool string) *backend {
	all := r.fleet.running(pool)
	if len(all) < 2 {
		return nil
	}
	return all[rng.IntN(len(all))]
}

// startReplacement starts a backend of a pool at an address; "" means a new address.
func startReplacement(r *run, pool, addr string) {
	if _, err := r.fleet.add(pool, slotsOf(pool), workOf(pool), addr); err != nil && addr != "" {
		// The address may be in use again by now.
		r.fleet.add(pool, slotsOf(pool), workOf(pool), "")
	}
}

// backendCrash crashes a backend and starts its replacement after the fault.
func backendCrash(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	b := anyBackend(r, rng, anyPool(rng))
	if b == nil {
		return
	}
	r.withFault(faultSpan{}, func() {
		r.fleet.crash(b)
		sleep(ctx, duration)
	})
	startReplacement(r, b.pool, "")
}

// backendCrashPool crashes all backends of a pool and starts the same number of new backends after half of the
// duration.
func backendCrashPool(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	pool := anyPool(rng)
	all := r.fleet.running(pool)
	r.withFault(faultSpan{}, func() {
		for _, b := range all {
			r.fleet.crash(b)
		}
		sleep(ctx, duration/2)
	})
	for range all {
		startReplacement(r, pool, "")
	}
}

// backendAddressReused crashes a backend and starts a backend of a random pool at the same address shortly after.
func backendAddressReused(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	b := anyBackend(r, rng, anyPool(rng))
	if b == nil {
		return
	}
	r.withFault(faultSpan{}, func() {
		r.fleet.crash(b)
		sleep(ctx, duration/20)
		startReplacement(r, anyPool(rng), b.addr)
		sleep(ctx, duration)
	})
	startReplacement(r, b.pool, "")
}

// backendDrain starts a replacement for a backend, and drains the backend a second later.
func backendDrain(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	b := anyBackend(r, rng, anyPool(rng))
	if b == nil {
		return
	}
	startReplacement(r, b.pool, "")
	sleep(ctx, time.Second)
	r.fleet.drain(b)
	sleep(ctx, duration)
}

// misbehave returns a fault that makes one backend of a pool, or in a quarter of the cases all of them, misbehave.
func misbehave(m behaviour) inject {
	return func(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
		pool := anyPool(rng)
		all := r.fleet.running(pool)
		if rng.IntN(4) > 0 && len(all) > 1 {
			one := rng.IntN(len(all))
			all = all[one : one+1]
		}
		r.withFault(faultSpan{}, func() {
			for _, b := range all {
				b.behaviour.Store(&m)
			}
			sleep(ctx, duration)
			for _, b := range all {
				b.behaviour.Store(&behaviour{})
			}
		})
	}
}

// misbehaveList returns a fault that makes the list misbehave. It counts as a fault of every machine, because nodes
// cannot learn of changes to the list during that time.
func misbehaveList(m listBehaviour) inject {
	return func(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
		var s faultSpan
		for n := range machineCount {
			s.machines = append(s.machines, machineName(n))
		}
		r.withFault(s, func() {
			r.fleet.setBehaviour(m)
			sleep(ctx, duration)
			r.fleet.setBehaviour(listBehaviour{})
		})
	}
}

// slotsOf returns the number of requests that each backend of a pool processes concurrently.
func slotsOf(pool string) int {
	if pool == poolDispatch || pool == poolOther {
		return 6
	}
	return 4
}

// workOf returns the mean processing time of a pool's backends.
func workOf(pool string) time.Duration {
	if pool == poolDispatch || pool == poolOther {
		return 60 * time.Millisecond
	}
	return 6 * time.Millisecond
}
