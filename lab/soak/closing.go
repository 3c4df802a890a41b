// The closing fault of a run: right after a change was acknowledged all machines
// lose power at the same moment, at times one core its disk as well. What was
// acknowledged has to be there again.

package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"time"
)

// How a run closes.
const (
	closesQuietly = iota
	closesWithPower
	closesWithPowerAndDisk
	closings
)

// closing brings the closing fault about that is drawn for the run, and heals again.
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
		// A disk may be lost only once every other one has had its time to catch up.
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

// losePower kills every process at once, and starts them again after a while.
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
