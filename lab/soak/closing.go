// The closing fault of a run: right after a change was acknowledged all machines lose power at the same moment,
// in some runs one core its disk as well. What was acknowledged has to be there afterwards.

package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"time"
)

// The kinds of closing faults.
const (
	closingNone = iota
	closingPowerLoss
	closingPowerAndDiskLoss
	closingKindCount
)

// injectClosingFault injects the closing fault that is drawn for the run, and heals.
func (r *run) injectClosingFault(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.options.Seed, 0x636c6f73))
	kind, wiped, outage := rng.IntN(closingKindCount), anyCore(r, rng), time.Duration(200+rng.IntN(1200))*time.Millisecond
	if kind == closingNone {
		return
	}
	if wiped.isRemoved() {
		kind = closingPowerLoss
	}
	if kind == closingPowerAndDiskLoss {
		// A disk may be lost only once every other core has had its time to catch up.
		sleep(ctx, syncTime)
	}
	r.changeOnce(ctx, false, false)
	var s faultSpan
	s.disruptsCores = true
	for n := range machineCount {
		s.machines = append(s.machines, machineName(n))
	}
	r.recordFault(s, func() { r.losePower(ctx, kind, wiped, outage) })
	r.heal(ctx)
}

// losePower kills every process at once, and restarts them after a while.
func (r *run) losePower(ctx context.Context, kind int, wiped *daemon, outage time.Duration) {
	r.logf("all machines lose power for %v", outage)
	for _, d := range r.daemons {
		d.setDown(true)
	}
	for _, d := range r.daemons {
		d.kill()
	}
	for _, d := range r.daemons {
		for d.pid() != 0 {
			time.Sleep(time.Millisecond)
		}
	}
	if kind == closingPowerAndDiskLoss {
		r.logf("%s loses its disk", wiped.name)
		os.RemoveAll(r.layout.dataDir(wiped.machine))
	}
	sleep(ctx, outage)
	for _, d := range r.daemons {
		d.setDown(false)
	}
}
