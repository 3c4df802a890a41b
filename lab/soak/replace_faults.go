// The replacement of a core for good: its machine is removed, and another one with an empty disk takes its role
// at another address.

package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"time"
)

func replaceFaults() []faultKind {
	return []faultKind{{"core_replaced", 1, coreReplaced}}
}

// coreReplaced removes a core for good, gracefully or not, and adds a spare machine's core in its place: one at
// a time, while the cores are calm, and once in a run.
func coreReplaced(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	if !r.coreGate.tryAcquire() {
		return
	}
	defer r.coreGate.release()
	r.mu.Lock()
	spare := r.spare
	r.spare = nil
	r.mu.Unlock()
	if spare == nil {
		return
	}
	replaced := anyCore(r, rng)
	r.recordFault(faultSpan{disruptsCores: true}, func() {
		replaced.setDown(true)
		if rng.IntN(2) == 0 {
			r.stopGracefully(replaced)
		}
		replaced.remove()
		for replaced.pid() != 0 {
			time.Sleep(5 * time.Millisecond)
		}
		os.RemoveAll(r.layout.dataDir(replaced.machine))
		r.logf("%s is replaced by %s", replaced.name, spare.name)
		r.operators.replace(r.layout.at(replaced.machine, portControl), r.layout.at(spare.machine, portControl))
		go spare.run()
		sleep(ctx, duration)
	})
	sleep(ctx, 2*syncTime)
}
