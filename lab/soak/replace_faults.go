// The permanent replacement of a core: its machine is removed, and a core on another machine, with an empty disk and
// another address, replaces it.

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

// coreReplaced removes a core permanently, gracefully or by a kill, and starts the spare machine's core in its place.
// This happens once in a run, and only while no other core is or recently was faulty.
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
