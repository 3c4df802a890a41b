// Network faults: partitions in both directions or one, resets and half-open connections, between processes and
// between clients and machines; and logs that are not read.

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

// The endpoints' names at the relays: nodeName and coreName name mesh addresses, machineName names the address that
// clients connect to.
func nodeName(n int) string    { return fmt.Sprintf("%s-%d", roleNode, n) }
func coreName(n int) string    { return fmt.Sprintf("%s-%d", roleCore, n) }
func machineName(n int) string { return fmt.Sprintf("edge-%d", n) }

// clientsName is the name of all clients at the relays.
const clientsName = "clients"

// everyProcess returns the names of all processes: first the nodes, then the cores, the spare core last.
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

// partitionMeshOneWay blocks all mesh traffic from a node, or all mesh traffic to it.
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

// meshReset resets a node's connections with all other processes, three times.
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

// meshHalfOpen makes a node's present connections with all other processes half-open.
func meshHalfOpen(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	n := anyMachine(rng)
	r.withFault(nodeFault(n), func() {
		for _, other := range everyProcess() {
			r.network.HalfOpen(nodeName(n), other)
		}
		sleep(ctx, duration)
	})
}

// partitionCore partitions a core from all other processes, or only from the other cores.
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

// partitionAllCores partitions each core from every other core.
func partitionAllCores(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	cores := everyProcess()[machineCount:]
	r.withFault(faultSpan{disruptsCores: true}, func() {
		r.network.SetPartition(cores, cores, true)
		sleep(ctx, duration)
		r.network.SetPartition(cores, cores, false)
	})
}

// partitionClients holds back what clients send to a machine, the machine's responses, or both.
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

// logUnread pauses the reading of the logs of a machine's processes.
func logUnread(ctx context.Context, r *run, rng *rand.Rand, duration time.Duration) {
	for _, d := range r.ofMachine(anyMachine(rng)) {
		d.log.paused.Lock()
		defer d.log.paused.Unlock()
	}
	sleep(ctx, 2*duration)
}
