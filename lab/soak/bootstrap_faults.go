// Faults while the system starts for the first time: the cores bootstrap, nodes find them, and nothing is
// configured yet.

package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

// maxBootstrapFaults is how many faults a first start meets, one after another.
const (
	maxBootstrapFaults = 4
	maxBootstrapGap    = 400 * time.Millisecond
)

// faultBootstrap injects some faults in the first moments; every other run has none.
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
			// It restarts at once, with the settings of the first start.
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
