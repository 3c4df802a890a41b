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
func coreReplaced(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	if !r.coreCalm.tryAcquire() {
		return
	}
	defer r.coreCalm.release()
	r.mu.Lock()
	spare := r.spare
	r.spare = nil
	r.mu.Unlock()
	if spare == nil {
		return
	}
	gone := anyCore(r, drawn)
	r.span(faultSpan{unsettles: true}, func() {
		gone.setDown(true)
		if drawn.IntN(2) == 0 {
			r.stopOnce(gone)
		}
		gone.remove()
		for gone.pid() != 0 {
			time.Sleep(5 * time.Millisecond)
		}
		os.RemoveAll(r.place.dataDir(gone.machine))
		r.say("%s is replaced by %s", gone.name, spare.name)
		r.operators.replace(r.place.at(gone.machine, portControl), r.place.at(spare.machine, portControl))
		go spare.run()
		sleep(ctx, lasts)
	})
	sleep(ctx, 2*syncTime)
}
