// Faults of processes: kills, freezes, graceful stops, power losses, and settings that change at run time.

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
		{"machine_power", 3, powerOffMachine},
		{"herd_kill", 1, killHalfOfNodes},
		{"seeds_changed", 2, seedsChanged},
		{"settings_broken", 2, settingsBroken},
		{"hangup_storm", 2, hangupStorm},
	}
}

// anyMachine draws a machine.
func anyMachine(rng *rand.Rand) int { return rng.IntN(machineCount) }

// nodeFault returns the span of an unplanned fault that affects the node of one machine.
func nodeFault(n int) faultSpan { return faultSpan{machines: []string{machineName(n)}} }

// killFor kills a process and lets it restart after the duration.
func killFor(ctx context.Context, d *daemon, duration time.Duration) {
	d.setDown(true)
	d.signal(syscall.SIGKILL)
	sleep(ctx, duration)
	d.setDown(false)
}

func killNode(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	n := anyMachine(rng)
	r.withFault(nodeFault(n), func() { killFor(ctx, r.node(n), duration/2) })
}

// freeze returns a fault that suspends a process of a role with SIGSTOP and resumes it with SIGCONT.
func freeze(role string) inject {
	return func(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
		n, s := rng.IntN(coreCount), faultSpan{disruptsCores: true}
		if role == roleNode {
			n = anyMachine(rng)
			s = nodeFault(n)
		}
		r.withFault(s, func() {
			d := r.daemonOf(role, n)
			d.signal(syscall.SIGSTOP)
			sleep(ctx, duration)
			d.signal(syscall.SIGCONT)
		})
	}
}

// stopNode stops a node gracefully, under load. The node then restarts.
func stopNode(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	n := anyMachine(rng)
	loadCtx, stopLoad := context.WithCancel(ctx)
	go r.sendLoad(loadCtx, n)
	r.withFault(faultSpan{machines: []string{machineName(n)}, planned: true}, func() { r.stopGracefully(r.node(n)) })
	stopLoad()
}

// loadInterval is the interval between the requests that sendLoad sends.
const loadInterval = 25 * time.Millisecond

// sendLoad sends non-idempotent requests to one machine, so that some are always in flight.
func (r *run) sendLoad(ctx context.Context, machine int) {
	for ctx.Err() == nil {
		r.clients.all.Go(func() { r.clients.attemptAt(requestKinds[2], machineName(machine)) })
		sleep(ctx, loadInterval)
	}
}

// stopNodeTwice sends a second SIGTERM and a SIGHUP during a graceful stop.
func stopNodeTwice(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	n := anyMachine(rng)
	r.withFault(faultSpan{machines: []string{machineName(n)}, planned: true}, func() {
		d := r.node(n)
		again := time.AfterFunc(duration/4, func() {
			d.signal(syscall.SIGHUP)
			d.signal(syscall.SIGTERM)
		})
		defer again.Stop()
		r.stopGracefully(d)
	})
}

// powerOffMachine kills all processes of a machine at the same time.
func powerOffMachine(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	n := anyMachine(rng)
	s := nodeFault(n)
	for _, d := range r.ofMachine(n) {
		s.disruptsCores = s.disruptsCores || d.role == roleCore && d.pid() != 0
	}
	r.withFault(s, func() {
		var both sync.WaitGroup
		for _, d := range r.ofMachine(n) {
			both.Go(func() { killFor(ctx, d, duration) })
		}
		both.Wait()
	})
}

// killHalfOfNodes kills half of the nodes at the same time.
func killHalfOfNodes(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	var s faultSpan
	chosen := rng.Perm(machineCount)[:machineCount/2]
	for _, n := range chosen {
		s.machines = append(s.machines, machineName(n))
	}
	r.withFault(s, func() {
		var all sync.WaitGroup
		for _, n := range chosen {
			all.Go(func() { killFor(ctx, r.node(n), duration/4) })
		}
		all.Wait()
	})
}

// seedsChanged changes the seeds in the settings of some processes, with a SIGHUP or without one.
func seedsChanged(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	seeds := rng.Perm(coreCount)[:1+rng.IntN(coreCount)]
	for _, d := range r.daemons {
		if rng.IntN(2) == 0 {
			r.rewriteSettings(d, seeds, false)
			if rng.IntN(2) == 0 {
				d.signal(syscall.SIGHUP)
			}
		}
	}
}

// settingsBroken makes a settings file incomplete for half of the duration. It sends SIGHUP when the file becomes
// incomplete and when it is complete again. A process that starts in between fails, and must start again when the file
// is complete.
func settingsBroken(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	d := r.daemons[rng.IntN(len(r.daemons))]
	r.recordTorn(d)
	r.rewriteSettings(d, nil, true)
	d.signal(syscall.SIGHUP)
	sleep(ctx, duration/2)
	r.rewriteSettings(d, nil, false)
	d.signal(syscall.SIGHUP)
}

// hangupStorm sends many SIGHUPs to all processes.
func hangupStorm(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	for range 10 {
		for _, d := range r.daemons {
			d.signal(syscall.SIGHUP)
		}
		sleep(ctx, duration/20)
	}
}
