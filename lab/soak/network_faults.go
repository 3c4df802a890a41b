// Network faults: partitions both ways and one way, resets and half-open connections between processes, clients
// and machines; logs that nobody reads.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

func networkFaults() []faultKind {
	return []faultKind{
		{"mesh_cut", 3, partitionMesh},
		{"mesh_cut_one_way", 2, partitionMeshOneWay},
		{"mesh_reset", 2, meshReset},
		{"mesh_half_open", 2, meshHalfOpen},
		{"core_cut", 3, partitionCore},
		{"core_halves", 1, splitCore},
		{"clients_cut", 2, partitionClients},
		{"clients_reset", 2, clientsReset},
		{"clients_half_open", 1, clientsHalfOpen},
		{"log_unread", 2, logUnread},
	}
}

// Names of processes at the relays.
func nodeName(n int) string    { return fmt.Sprintf("%s-%d", roleNode, n) }
func coreName(n int) string    { return fmt.Sprintf("%s-%d", roleCore, n) }
func machineName(n int) string { return fmt.Sprintf("edge-%d", n) }

// clientsName is the caller's name of all clients.
const clientsName = "clients"

// everyProcess returns the names of all processes.
func everyProcess() (out []string) {
	for n := range machineCount {
		out = append(out, nodeName(n))
	}
	for n := range coreCount {
		out = append(out, coreName(n))
	}
	return append(out, coreName(spareMachine))
}

// partitionMesh partitions a node from all other processes.
func partitionMesh(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n := anyMachine(drawn)
	r.during(nodeFault(n), func() {
		r.network.Set([]string{nodeName(n)}, everyProcess(), true)
		sleep(ctx, lasts)
		r.network.Set([]string{nodeName(n)}, everyProcess(), false)
	})
}

// partitionMeshOneWay blocks everything from a node, or everything to it.
func partitionMeshOneWay(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n, out := anyMachine(drawn), drawn.IntN(2) == 0
	set := func(apart bool) {
		for _, other := range everyProcess() {
			if out {
				r.network.SetOneWay(nodeName(n), other, apart)
			} else {
				r.network.SetOneWay(other, nodeName(n), apart)
			}
		}
	}
	r.during(nodeFault(n), func() {
		set(true)
		sleep(ctx, lasts)
		set(false)
	})
}

// meshReset resets a node's connections to all others.
func meshReset(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n := anyMachine(drawn)
	r.during(nodeFault(n), func() {
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
	r.during(nodeFault(n), func() {
		for _, other := range everyProcess() {
			r.network.HalfOpen(nodeName(n), other)
		}
		sleep(ctx, lasts)
	})
}

// partitionCore partitions a core from everyone, or only from the other cores.
func partitionCore(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n, all := drawn.IntN(coreCount), drawn.IntN(2) == 0
	others := everyProcess()
	if !all {
		others = others[machineCount:]
	}
	r.during(faultSpan{unsettles: true}, func() {
		r.network.Set([]string{coreName(n)}, others, true)
		sleep(ctx, lasts)
		r.network.Set([]string{coreName(n)}, others, false)
	})
}

// splitCore partitions every core from every other one.
func splitCore(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	cores := everyProcess()[machineCount:]
	r.during(faultSpan{unsettles: true}, func() {
		r.network.Set(cores, cores, true)
		sleep(ctx, lasts)
		r.network.Set(cores, cores, false)
	})
}

// partitionClients delays what clients send to a machine, or its responses, or both.
func partitionClients(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n, how := anyMachine(drawn), drawn.IntN(3)
	r.during(nodeFault(n), func() {
		set := func(apart bool) {
			if how != 1 {
				r.network.SetOneWay(clientsName, machineName(n), apart)
			}
			if how != 0 {
				r.network.SetOneWay(machineName(n), clientsName, apart)
			}
		}
		set(true)
		sleep(ctx, lasts/2)
		set(false)
	})
}

func clientsReset(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n := anyMachine(drawn)
	r.during(nodeFault(n), func() {
		for range 4 {
			r.network.Reset(clientsName, machineName(n))
			sleep(ctx, lasts/8)
		}
	})
}

func clientsHalfOpen(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	n := anyMachine(drawn)
	r.during(nodeFault(n), func() {
		r.network.HalfOpen(clientsName, machineName(n))
		sleep(ctx, lasts)
	})
}

// logUnread stops reading the logs of a machine's processes.
func logUnread(ctx context.Context, r *run, drawn *rand.Rand, lasts time.Duration) {
	for _, d := range r.ofMachine(anyMachine(drawn)) {
		d.log.paused.Lock()
		defer d.log.paused.Unlock()
	}
	sleep(ctx, 2*lasts)
}
