// Faults during the first start of the system: the cores bootstrap, nodes discover them, and there is no configuration
// yet.

package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

// maxBootstrapFaults bounds the number of faults during a first start. They are injected one after another, each after
// a pause of at most maxBootstrapGap. A freeze or a partition lasts maxBootstrapGap.
const (
	maxBootstrapFaults = 4
	maxBootstrapGap    = 400 * time.Millisecond
)

// faultBootstrap injects faults during the first start in half of all runs.
func (r *run) faultBootstrap(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 0x626f6f74))
	if rng.IntN(2) == 0 {
		return
	}
	for range 1 + rng.IntN(maxBootstrapFaults) {
		sleep(ctx, time.Duration(rng.Int64N(int64(maxBootstrapGap))))
		d := r.daemons[rng.IntN(len(r.daemons))]
		switch rng.IntN(4) {
		case 0:
			for _, other := range r.daemons {
				other.signal(syscall.SIGHUP)
			}
		case 1:
			// The process restarts after restartAfter, still with bootstrap set in its settings.
			d.signal(syscall.SIGKILL)
		case 2:
			d.signal(syscall.SIGSTOP)
			sleep(ctx, maxBootstrapGap)
			d.signal(syscall.SIGCONT)
		default:
			r.network.SetPartition([]string{d.name}, everyProcess(), true)
			sleep(ctx, maxBootstrapGap)
			r.network.SetPartition([]string{d.name}, everyProcess(), false)
		}
	}
}
