// The cores that a replica knows: as the mesh tells of them, and as they tell of
// themselves when they pull, which needs no mesh.

package replica

import (
	"wallport/cluster/membership"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of what is known of cores.
const (
	liveCoresInterval = 100_000
	// pullerTimeout is how long a core that pulled counts as there.
	pullerTimeout = 1_500_000
	maxPullers    = 64
)

// puller is a core that pulled here; its replica is empty while its disk could not take partition.
type puller struct {
	replica  wire.Replica
	pulledAt int64
}

// liveCores lists the live cores as the mesh tells, looked up afresh a few times a second.
func (h *Host) liveCores(now int64) []membership.Member {
	if h.cachedCoresAt == 0 || now-h.cachedCoresAt >= liveCoresInterval {
		h.cachedCoresAt, h.cachedCores = now, h.members.Live(now, "core")
	}
	return h.cachedCores
}

func (h *Host) liveCore(id string, now int64) (membership.Member, bool) {
	for _, r := range h.liveCores(now) {
		if r.Replica == id && id != "" {
			return r, true
		}
	}
	return membership.Member{}, false
}

// recordPuller takes note of a core that pulls.
func (h *Host) recordPuller(ctx *kernel.Context, p wire.Pull) {
	if p.Addr == "" || p.Addr == h.kernel.Boot.Settings.Mesh {
		return
	}
	if _, ok := h.pullers[p.Addr]; !ok && len(h.pullers) >= maxPullers {
		for a, v := range h.pullers {
			if ctx.Now-v.pulledAt > pullerTimeout {
				delete(h.pullers, a)
			}
		}
		if len(h.pullers) >= maxPullers {
			return
		}
	}
	h.pullers[p.Addr] = puller{replica: wire.Replica{ID: p.Replica, Zone: p.Zone, Addr: p.Addr}, pulledAt: ctx.Now}
}

// standbys lists the cores whose disks are well, this one included, as replicas that they could have.
func (h *Host) standbys(now int64) []wire.Replica {
	var replicas []wire.Replica
	if h.replicaID != "" && h.diskProblem == "" && !h.stopping {
		replicas = append(replicas, wire.Replica{ID: h.replicaID, Zone: h.kernel.Boot.Settings.Zone, Addr: h.kernel.Boot.Settings.Mesh})
	}
	known := map[string]bool{h.kernel.Boot.Settings.Mesh: true}
	for _, a := range sortedKeys(h.pullers) {
		if v := h.pullers[a]; now-v.pulledAt < pullerTimeout {
			known[a] = true
			if v.replica.ID != "" {
				replicas = append(replicas, v.replica)
			}
		}
	}
	for _, r := range h.liveCores(now) {
		// What a core says itself goes before what the mesh still tells of it.
		if r.Replica != "" && r.UnhealthyReason == "" && !r.Draining && !known[r.Addr] {
			replicas = append(replicas, wire.Replica{ID: r.Replica, Zone: r.Zone, Addr: r.Addr})
		}
	}
	return replicas
}

// reaches reports whether a core at an address, with a disk or without, has been heard of.
func (h *Host) reaches(addr string, now int64) bool {
	if v, ok := h.pullers[addr]; addr == h.kernel.Boot.Settings.Mesh || ok && now-v.pulledAt < pullerTimeout {
		return true
	}
	for _, r := range h.liveCores(now) {
		if r.Addr == addr {
			return true
		}
	}
	return false
}

// countInZone counts the replicas in a zone, but for one that is to leave it.
func countInZone(voters []wire.Replica, zone, except string) int {
	n := 0
	for _, s := range voters {
		if s.Zone == zone && s.ID != except {
			n++
		}
	}
	return n
}

// leastUsedZone picks of some cores one that is not among the replicas yet, of the zone that has fewest.
func leastUsedZone(cores, voters []wire.Replica, except string) (wire.Replica, bool) {
	var best wire.Replica
	least := -1
	for _, c := range cores {
		if n := countInZone(voters, c.Zone, except); !contains(voters, c.ID) && (least < 0 || n < least) {
			best, least = c, n
		}
	}
	return best, least >= 0
}
