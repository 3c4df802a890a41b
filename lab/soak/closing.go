// The closing fault of a run: immediately after a change is acknowledged, all machines lose power at the same time,
// and in some runs one core also loses its disk. Acknowledged changes must survive this.

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

// injectClosingFault injects the closing fault that is drawn for the run, if any, and then waits until the deployment
// has recovered.
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
		// Before a disk may be lost, every other core needs time to catch up.
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

// losePower kills all processes at the same time and restarts them after the outage.
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
