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
		{"core_halves", 1, partitionAllCores},
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
func partitionMesh(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	n := anyMachine(rng)
	r.withFault(nodeFault(n), func() {
		r.network.SetPartition([]string{nodeName(n)}, everyProcess(), true)
		sleep(ctx, duration)
		r.network.SetPartition([]string{nodeName(n)}, everyProcess(), false)
	})
}

// partitionMeshOneWay blocks everything from a node, or everything to it.
func partitionMeshOneWay(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	n, outbound := anyMachine(rng), rng.IntN(2) == 0
	set := func(blocked bool) {
		for _, other := range everyProcess() {
			if outbound {
				r.network.SetOneWayPartition(nodeName(n), other, blocked)
			} else {
				r.network.SetOneWayPartition(other, nodeName(n), blocked)
			}
		}
	}
	r.withFault(nodeFault(n), func() {
		set(true)
		sleep(ctx, duration)
		set(false)
	})
}

// meshReset resets a node's connections to all others.
func meshReset(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	n := anyMachine(rng)
	r.withFault(nodeFault(n), func() {
		for range 3 {
			for _, other := range everyProcess() {
				r.network.Reset(nodeName(n), other)
			}
			sleep(ctx, duration/3)
		}
	})
}

// meshHalfOpen leaves a node's connections half open.
func meshHalfOpen(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	n := anyMachine(rng)
	r.withFault(nodeFault(n), func() {
		for _, other := range everyProcess() {
			r.network.HalfOpen(nodeName(n), other)
		}
		sleep(ctx, duration)
	})
}

// partitionCore partitions a core from everyone, or only from the other cores.
func partitionCore(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	n, all := rng.IntN(coreCount), rng.IntN(2) == 0
	others := everyProcess()
	if !all {
		others = others[machineCount:]
	}
	r.withFault(faultSpan{disruptsCores: true}, func() {
		r.network.SetPartition([]string{coreName(n)}, others, true)
		sleep(ctx, duration)
		r.network.SetPartition([]string{coreName(n)}, others, false)
	})
}

// partitionAllCores partitions every core from every other one.
func partitionAllCores(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	cores := everyProcess()[machineCount:]
	r.withFault(faultSpan{disruptsCores: true}, func() {
		r.network.SetPartition(cores, cores, true)
		sleep(ctx, duration)
		r.network.SetPartition(cores, cores, false)
	})
}

// partitionClients delays what clients send to a machine, or its responses, or both.
func partitionClients(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	n, direction := anyMachine(rng), rng.IntN(3)
	r.withFault(nodeFault(n), func() {
		set := func(blocked bool) {
			if direction != 1 {
				r.network.SetOneWayPartition(clientsName, machineName(n), blocked)
			}
			if direction != 0 {
				r.network.SetOneWayPartition(machineName(n), clientsName, blocked)
			}
		}
		set(true)
		sleep(ctx, duration/2)
		set(false)
	})
}

func clientsReset(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	n := anyMachine(rng)
	r.withFault(nodeFault(n), func() {
		for range 4 {
			r.network.Reset(clientsName, machineName(n))
			sleep(ctx, duration/8)
		}
	})
}

func clientsHalfOpen(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	n := anyMachine(rng)
	r.withFault(nodeFault(n), func() {
		r.network.HalfOpen(clientsName, machineName(n))
		sleep(ctx, duration)
	})
}

// logUnread stops reading the logs of a machine's processes.
func logUnread(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	for _, d := range r.ofMachine(anyMachine(rng)) {
		d.log.paused.Lock()
		defer d.log.paused.Unlock()
	}
	sleep(ctx, 2*duration)
}
