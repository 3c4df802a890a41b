package replica

import (
	"wallport/cluster/membership"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

const (
	// liveCoresInterval is how long a cached list of the live cores is used.
	liveCoresInterval = 100 * clock.Millisecond
	// pullerTimeout is how long a core counts as reachable after its last pull.
	pullerTimeout = 1500 * clock.Millisecond
	// maxPullers is the maximum number of cores whose pulls are remembered.
	maxPullers = 64
)

// puller is a core that recently pulled from this core. The pull shows that the core is reachable, even if the mesh
// does not list it as live. The replica's identity is empty while that core's disk has a problem.
type puller struct {
	replica  wire.Replica
	pulledAt clock.Micros
}

// liveCores returns the cores that the mesh shows as live.
func (h *Host) liveCores(now clock.Micros) []membership.Member {
	if h.cachedCoresAt == 0 || now-h.cachedCoresAt >= liveCoresInterval {
		h.cachedCoresAt, h.cachedCores = now, h.members.Live(now, "core")
	}
	return h.cachedCores
}

// liveCore returns the live core that has the disk of a replica.
func (h *Host) liveCore(id string, now clock.Micros) (membership.Member, bool) {
	for _, core := range h.liveCores(now) {
		if core.Replica == id && id != "" {
			return core, true
		}
	}
	return membership.Member{}, false
}

// recordPuller records a core that pulls from this one.
func (h *Host) recordPuller(ctx *kernel.Context, request wire.Pull) {
	if request.Addr == "" || request.Addr == h.kernel.Boot.Settings.Mesh {
		return
	}
	if _, ok := h.pullers[request.Addr]; !ok && len(h.pullers) >= maxPullers {
		for addr, p := range h.pullers {
			if ctx.Now-p.pulledAt > pullerTimeout {
				delete(h.pullers, addr)
			}
		}
		if len(h.pullers) >= maxPullers {
			return
		}
	}
	h.pullers[request.Addr] = puller{replica: wire.Replica{ID: request.Replica, Zone: request.Zone, Addr: request.Addr}, pulledAt: ctx.Now}
}

// standbys returns the replicas that could become voters: the replicas of the live cores with a healthy disk,
// including this core.
func (h *Host) standbys(now clock.Micros) []wire.Replica {
	var replicas []wire.Replica
	if h.replicaID != "" && h.diskProblem == diskHealthy && !h.stopping {
		replicas = append(replicas, wire.Replica{ID: h.replicaID, Zone: h.kernel.Boot.Settings.Zone, Addr: h.kernel.Boot.Settings.Mesh})
	}
	known := map[string]bool{h.kernel.Boot.Settings.Mesh: true}
	for _, addr := range sortedKeys(h.pullers) {
		if p := h.pullers[addr]; now-p.pulledAt < pullerTimeout {
			known[addr] = true
			if p.replica.ID != "" {
				replicas = append(replicas, p.replica)
			}
		}
	}
	for _, core := range h.liveCores(now) {
		// The state in a core's own pull is newer than the state in the mesh.
		if core.Replica != "" && core.UnhealthyReason == "" && !core.Draining && !known[core.Addr] {
			replicas = append(replicas, wire.Replica{ID: core.Replica, Zone: core.Zone, Addr: core.Addr})
		}
	}
	return replicas
}

// reaches reports whether the core at an address, with or without a disk, is known to be live or has pulled recently.
func (h *Host) reaches(addr string, now clock.Micros) bool {
	if p, ok := h.pullers[addr]; addr == h.kernel.Boot.Settings.Mesh || ok && now-p.pulledAt < pullerTimeout {
		return true
	}
	for _, core := range h.liveCores(now) {
		if core.Addr == addr {
			return true
		}
	}
	return false
}
