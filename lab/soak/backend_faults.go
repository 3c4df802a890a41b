// Faults of the backends and of the platform's list.

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
		{"backend_reborn", 3, backendReborn},
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
		{"list_fails", 2, misleadList(listBehaviour{fails: true})},
		{"list_hangs", 2, misleadList(listBehaviour{hangs: true})},
		{"list_garbled", 1, misleadList(listBehaviour{garbles: true})},
		{"list_page_lost", 2, misleadList(listBehaviour{loses: true})},
	}
}

// anyPool draws a pool; a third of the draws are the pool of requests that may run only once.
func anyPool(drawn *rand.Rand) string {
	if drawn.IntN(3) == 0 {
		return poolDispatch
	}
	names := poolNames()
	return names[drawn.IntN(len(names))]
}

// oneOf draws a running backend of a pool, nil if none can be spared.
func oneOf(r *run, drawn *rand.Rand, pool string) *backend {
	all := r.fleet.of(pool)
	if len(all) < 2 {
		return nil
	}
	return all[drawn.IntN(len(all))]
}

// replace starts a backend in place of one that has ended.
func replace(r *run, pool, addr string) {
	if _, err := r.fleet.add(pool, slotsOf(pool), workOf(pool), addr); err != nil && addr != "" {
		// The address may be in use meanwhile.
		r.fleet.add(pool, slotsOf(pool), workOf(pool), "")
	}
}

func backendCrash(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	b := oneOf(r, drawn, anyPool(drawn))
	if b == nil {
		return
	}
	r.during(faultSpan{}, func() {
		r.fleet.crash(b)
		sleep(ctx, lasts)
	})
	replace(r, b.pool, "")
}

// backendCrashPool crashes all backends of a pool at once.
func backendCrashPool(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	pool := anyPool(drawn)
	all := r.fleet.of(pool)
	r.during(faultSpan{}, func() {
		for _, b := range all {
			r.fleet.crash(b)
		}
		sleep(ctx, lasts/2)
	})
	for range all {
		replace(r, pool, "")
	}
}

// backendReborn crashes a backend, whose address is reused at once by one of another pool.
func backendReborn(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	b := oneOf(r, drawn, anyPool(drawn))
	if b == nil {
		return
	}
	r.during(faultSpan{}, func() {
		r.fleet.crash(b)
		sleep(ctx, lasts/20)
		replace(r, anyPool(drawn), b.addr)
		sleep(ctx, lasts)
	})
	replace(r, b.pool, "")
}

// backendDrain drains a backend after starting its replacement.
func backendDrain(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	b := oneOf(r, drawn, anyPool(drawn))
	if b == nil {
		return
	}
	replace(r, b.pool, "")
	sleep(ctx, time.Second)
	r.fleet.drain(b)
	sleep(ctx, lasts)
}

// misbehave makes backends of a pool, or of all pools, misbehave.
func misbehave(m behaviour) inject {
	return func(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
		pool := anyPool(drawn)
		all := r.fleet.of(pool)
		if drawn.IntN(4) > 0 && len(all) > 1 {
			one := drawn.IntN(len(all))
			all = all[one : one+1]
		}
		r.during(faultSpan{}, func() {
			for _, b := range all {
				b.behaviour.Store(&m)
			}
			sleep(ctx, lasts)
			for _, b := range all {
				b.behaviour.Store(&behaviour{})
			}
		})
	}
}

// misleadList makes the list misbehave. Nodes need not know what it would show meanwhile.
func misleadList(m listBehaviour) inject {
	return func(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
		var s faultSpan
		for n := range machineCount {
			s.machines = append(s.machines, machineName(n))
		}
		r.during(s, func() {
			r.fleet.set(m)
			sleep(ctx, lasts)
			r.fleet.set(listBehaviour{})
		})
	}
}

// slotsOf and workOf return the slots and the work of a pool's backends.
func slotsOf(pool string) int {
	if pool == poolDispatch || pool == poolOther {
		return 6
	}
	return 4
}

func workOf(pool string) time.Duration {
	if pool == poolDispatch || pool == poolOther {
		return 60 * time.Millisecond
	}
	return 6 * time.Millisecond
}
