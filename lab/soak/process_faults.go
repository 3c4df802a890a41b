// Process faults: kills, freezes, graceful stops, power losses, and settings that change while processes run.

package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func processFaults() []faultKind {
	return []faultKind{
		{"node_kill", 4, killNode},
		{"node_freeze", 3, freeze(roleNode)},
		{"node_stop", 4, stopNode},
		{"node_stop_twice", 1, stopNodeTwice},
		{"machine_power", 3, machinePower},
		{"herd_kill", 1, herdKill},
		{"seeds_changed", 2, seedsChanged},
		{"settings_broken", 2, settingsBroken},
		{"hangup_storm", 2, hangupStorm},
	}
}

// anyMachine draws a machine.
func anyMachine(drawn *rand.Rand) int { return drawn.IntN(machineCount) }

// nodeFault returns the span of a fault of one machine's node.
func nodeFault(n int) faultSpan { return faultSpan{machines: []string{machineName(n)}} }

// killFor kills a process and restarts it after a while.
func killFor(ctx context.Context, d *daemon, lasts time.Duration) {
	d.setDown(true)
	d.signal(syscall.SIGKILL)
	sleep(ctx, lasts)
	d.setDown(false)
}

func killNode(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n := anyMachine(drawn)
	r.during(nodeFault(n), func() { killFor(ctx, r.node(n), lasts/2) })
}

// freeze stops a process of a role by SIGSTOP, and thaws it.
func freeze(role string) inject {
	return func(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
		n, s := drawn.IntN(coreCount), faultSpan{unsettles: true}
		if role == roleNode {
			n = anyMachine(drawn)
			s = nodeFault(n)
		}
		r.during(s, func() {
			d := r.daemonOf(role, n)
			d.signal(syscall.SIGSTOP)
			sleep(ctx, lasts)
			d.signal(syscall.SIGCONT)
		})
	}
}

// stopNode stops a node gracefully and restarts it.
func stopNode(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n := anyMachine(drawn)
	pressed, release := context.WithCancel(ctx)
	go r.press(pressed, n)
	r.during(faultSpan{machines: []string{machineName(n)}, planned: true}, func() { r.stopOnce(r.node(n)) })
	release()
}

// pressEvery is the interval between two requests to a machine under load.
const pressEvery = 25 * time.Millisecond

// press sends one machine requests that may run only once, so that some are in flight at any time.
func (r *run) press(ctx context.Context, machine int) {
	for ctx.Err() == nil {
		r.clients.all.Go(func() { r.clients.attemptAt(kinds[2], machineName(machine)) })
		sleep(ctx, pressEvery)
	}
}

// stopNodeTwice sends a second SIGTERM and a SIGHUP during a graceful stop.
func stopNodeTwice(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n := anyMachine(drawn)
	r.during(faultSpan{machines: []string{machineName(n)}, planned: true}, func() {
		d := r.node(n)
		again := time.AfterFunc(lasts/4, func() {
			d.signal(syscall.SIGHUP)
			d.signal(syscall.SIGTERM)
		})
		defer again.Stop()
		r.stopOnce(d)
	})
}

// machinePower kills all processes of a machine at once.
func machinePower(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n := anyMachine(drawn)
	s := nodeFault(n)
	for _, d := range r.ofMachine(n) {
		s.unsettles = s.unsettles || d.role == roleCore && d.pid() != 0
	}
	r.during(s, func() {
		var both sync.WaitGroup
		for _, d := range r.ofMachine(n) {
			both.Go(func() { killFor(ctx, d, lasts) })
		}
		both.Wait()
	})
}

// herdKill kills half of the nodes at the same moment.
func herdKill(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	var s faultSpan
	chosen := drawn.Perm(machineCount)[:machineCount/2]
	for _, n := range chosen {
		s.machines = append(s.machines, machineName(n))
	}
	r.during(s, func() {
		var all sync.WaitGroup
		for _, n := range chosen {
			all.Go(func() { killFor(ctx, r.node(n), lasts/4) })
		}
		all.Wait()
	})
}

// seedsChanged gives processes other seeds, announced by a signal or left to be noticed.
func seedsChanged(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	seeds := drawn.Perm(coreCount)[:1+drawn.IntN(coreCount)]
	for _, d := range r.daemons {
		if drawn.IntN(2) == 0 {
			r.awaitSettingsRead(d, seeds, false)
			if drawn.IntN(2) == 0 {
				d.signal(syscall.SIGHUP)
			}
		}
	}
}

// settingsBroken leaves a settings file incomplete for a while, with a SIGHUP meanwhile; a process that starts
// then fails, and is to start again once the file is complete.
func settingsBroken(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	d := r.daemons[drawn.IntN(len(r.daemons))]
	r.recordTorn(d)
	r.awaitSettingsRead(d, nil, true)
	d.signal(syscall.SIGHUP)
	sleep(ctx, lasts/2)
	r.awaitSettingsRead(d, nil, false)
	d.signal(syscall.SIGHUP)
}

// hangupStorm sends many SIGHUPs to all processes.
func hangupStorm(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	for range 10 {
		for _, d := range r.daemons {
			d.signal(syscall.SIGHUP)
		}
		sleep(ctx, lasts/20)
	}
}
