// Faults while the system starts for the first time: the cores bootstrap, nodes find them, and nothing is
// configured yet.

package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

// bootstrapMost is how many faults a first start meets, one after another.
const (
	bootstrapMost = 4
	bootstrapGap  = 400 * time.Millisecond
)

// faultBootstrap injects some faults in the first moments; every other run has none.
func (r *run) faultBootstrap(ctx context.Context) {
	drawn := rand.New(rand.NewPCG(r.options.Seed, 0x626f6f74))
	if drawn.IntN(2) == 0 {
		return
	}
	for range 1 + drawn.IntN(bootstrapMost) {
		sleep(ctx, time.Duration(drawn.Int64N(int64(bootstrapGap))))
		d := r.daemons[drawn.IntN(len(r.daemons))]
		switch drawn.IntN(4) {
		case 0:
			for _, any := range r.daemons {
				any.signal(syscall.SIGHUP)
			}
		case 1:
			// It restarts at once, with the settings of the first start.
			d.signal(syscall.SIGKILL)
		case 2:
			d.signal(syscall.SIGSTOP)
			sleep(ctx, bootstrapGap)
			d.signal(syscall.SIGCONT)
		default:
			r.network.Set([]string{d.name}, everyProcess(), true)
			sleep(ctx, bootstrapGap)
			r.network.Set([]string{d.name}, everyProcess(), false)
		}
	}
}
