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
	closesQuietly = iota
	closesWithPower
	closesWithPowerAndDisk
	closings
)

// closing injects the closing fault that is drawn for the run, and heals.
func (r *run) closing(ctx context.Context) {
	drawn := rand.New(rand.NewPCG(r.options.Seed, 0x636c6f73))
	how, wiped, away := drawn.IntN(closings), anyCore(r, drawn), time.Duration(200+drawn.IntN(1200))*time.Millisecond
	if how == closesQuietly {
		return
	}
	if wiped.gone() {
		how = closesWithPower
	}
	if how == closesWithPowerAndDisk {
		// A disk may be lost only once every other core has had its time to catch up.
		sleep(ctx, syncTime)
	}
	r.changeOnce(ctx, false, false)
	var s faultSpan
	s.unsettles = true
	for n := range machineCount {
		s.machines = append(s.machines, machineName(n))
	}
	r.span(s, func() { r.losePower(ctx, how, wiped, away) })
	r.heal(ctx)
}

// losePower kills every process at once, and restarts them after a while.
func (r *run) losePower(ctx context.Context, how int, wiped *daemon, away time.Duration) {
	r.say("all machines lose power for %v", away)
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
	if how == closesWithPowerAndDisk {
		r.say("%s loses its disk", wiped.name)
		os.RemoveAll(r.place.dataDir(wiped.machine))
	}
	sleep(ctx, away)
	for _, d := range r.daemons {
		d.setDown(false)
	}
}
