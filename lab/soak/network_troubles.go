// Troubles of the network: cuts both ways and one way, resets and half-open
// connections between processes, clients and machines; logs that nobody reads.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

func networkTroubles() []kindOf {
	return []kindOf{
		{"mesh_cut", 3, meshCut},
		{"mesh_cut_one_way", 2, meshCutOneWay},
		{"mesh_reset", 2, meshReset},
		{"mesh_half_open", 2, meshHalfOpen},
		{"core_cut", 3, coreCut},
		{"core_halves", 1, coreHalves},
		{"clients_cut", 2, clientsCut},
		{"clients_reset", 2, clientsReset},
		{"clients_half_open", 1, clientsHalfOpen},
		{"log_unread", 2, logUnread},
	}
}

// names of processes at the relays.
func nodeName(n int) string    { return fmt.Sprintf("%s-%d", roleNode, n) }
func coreName(n int) string    { return fmt.Sprintf("%s-%d", roleCore, n) }
func machineName(n int) string { return fmt.Sprintf("edge-%d", n) }

// clientsName is who connects to the nodes' clients' address.
const clientsName = "clients"

// everyProcess are the names of all processes.
func everyProcess() (out []string) {
	for n := range machineCount {
		out = append(out, nodeName(n))
	}
	for n := range coreCount {
		out = append(out, coreName(n))
	}
	return append(out, coreName(spareMachine))
}

// meshCut cuts a node off from all other processes.
func meshCut(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n := anyMachine(drawn)
	r.during(atMachine(n), func() {
		r.network.Set([]string{nodeName(n)}, everyProcess(), true)
		sleep(ctx, lasts)
		r.network.Set([]string{nodeName(n)}, everyProcess(), false)
	})
}

// meshCutOneWay has nothing of a node, or nothing for it, arrive.
func meshCutOneWay(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n, out := anyMachine(drawn), drawn.IntN(2) == 0
	set := func(apart bool) {
		for _, other := range everyProcess() {
			if out {
				r.network.SetWay(nodeName(n), other, apart)
			} else {
				r.network.SetWay(other, nodeName(n), apart)
			}
		}
	}
	r.during(atMachine(n), func() {
		set(true)
		sleep(ctx, lasts)
		set(false)
	})
}

// meshReset resets a node's connections to all others.
func meshReset(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n := anyMachine(drawn)
	r.during(atMachine(n), func() {
		for range 3 {
			for _, other := range everyProcess() {
				r.network.Reset(nodeName(n), other)
			}
			sleep(ctx, lasts/3)
		}
	})
}

// meshHalfOpen leaves a node's connections half open.
func meshHalfOpen(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n := anyMachine(drawn)
	r.during(atMachine(n), func() {
		for _, other := range everyProcess() {
			r.network.HalfOpen(nodeName(n), other)
		}
		sleep(ctx, lasts)
	})
}

// coreCut cuts a core off from everyone, or from the other cores alone.
func coreCut(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n, all := drawn.IntN(coreCount), drawn.IntN(2) == 0
	others := everyProcess()
	if !all {
		others = others[machineCount:]
	}
	r.during(span{unsettles: true}, func() {
		r.network.Set([]string{coreName(n)}, others, true)
		sleep(ctx, lasts)
		r.network.Set([]string{coreName(n)}, others, false)
	})
}

// coreHalves cuts every core off from every other one.
func coreHalves(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	cores := everyProcess()[machineCount:]
	r.during(span{unsettles: true}, func() {
		r.network.Set(cores, cores, true)
		sleep(ctx, lasts)
		r.network.Set(cores, cores, false)
	})
}

// clientsCut holds what clients send to a machine, or its answers, or both.
func clientsCut(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n, how := anyMachine(drawn), drawn.IntN(3)
	r.during(atMachine(n), func() {
		set := func(apart bool) {
			if how != 1 {
				r.network.SetWay(clientsName, machineName(n), apart)
			}
			if how != 0 {
				r.network.SetWay(machineName(n), clientsName, apart)
			}
		}
		set(true)
		sleep(ctx, lasts/2)
		set(false)
	})
}

func clientsReset(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n := anyMachine(drawn)
	r.during(atMachine(n), func() {
		for range 4 {
			r.network.Reset(clientsName, machineName(n))
			sleep(ctx, lasts/8)
		}
	})
}

func clientsHalfOpen(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n := anyMachine(drawn)
	r.during(atMachine(n), func() {
		r.network.HalfOpen(clientsName, machineName(n))
		sleep(ctx, lasts)
	})
}

// logUnread has nobody read what the processes of a machine log.
func logUnread(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	for _, d := range r.ofMachine(anyMachine(drawn)) {
		d.log.held.Lock()
		defer d.log.held.Unlock()
	}
	sleep(ctx, 2*lasts)
}
