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
	rowsInterval = 100_000
	// pullerTimeout is how long a core that pulled counts as there.
	pullerTimeout = 1_500_000
	maxPullers    = 64
)

// puller is a core that pulled here; its replica is empty while its disk could not take partition.
type puller struct {
	member wire.Replica
	at     int64
}

// rows lists the live cores as the mesh tells, looked up afresh a few times a second.
func (s *Host) rows(now int64) []membership.Member {
	if s.rowsAt == 0 || now-s.rowsAt >= rowsInterval {
		s.rowsAt, s.rowsNow = now, s.members.Live(now, "core")
	}
	return s.rowsNow
}

func (s *Host) row(id string, now int64) (membership.Member, bool) {
	for _, r := range s.rows(now) {
		if r.Replica == id && id != "" {
			return r, true
		}
	}
	return membership.Member{}, false
}

// pulled takes note of a core that pulls.
func (s *Host) pulled(ctx *kernel.Context, p wire.Pull) {
	if p.Addr == "" || p.Addr == s.k.Boot.Settings.Mesh {
		return
	}
	if _, ok := s.pullers[p.Addr]; !ok && len(s.pullers) >= maxPullers {
		for a, v := range s.pullers {
			if ctx.Now-v.at > pullerTimeout {
				delete(s.pullers, a)
			}
		}
		if len(s.pullers) >= maxPullers {
			return
		}
	}
	s.pullers[p.Addr] = puller{member: wire.Replica{ID: p.Replica, Zone: p.Zone, Addr: p.Addr}, at: ctx.Now}
}

// standbys lists the cores whose disks are well, this one included, as replicas that they could have.
func (s *Host) standbys(now int64) []wire.Replica {
	var out []wire.Replica
	if s.replicaID != "" && s.diskProblem == "" && !s.stopping {
		out = append(out, wire.Replica{ID: s.replicaID, Zone: s.k.Boot.Settings.Zone, Addr: s.k.Boot.Settings.Mesh})
	}
	told := map[string]bool{s.k.Boot.Settings.Mesh: true}
	for _, a := range sortedKeys(s.pullers) {
		if v := s.pullers[a]; now-v.at < pullerTimeout {
			told[a] = true
			if v.member.ID != "" {
				out = append(out, v.member)
			}
		}
	}
	for _, r := range s.rows(now) {
		// What a core says itself goes before what the mesh still tells of it.
		if r.Replica != "" && r.UnhealthyReason == "" && !r.Draining && !told[r.Addr] {
			out = append(out, wire.Replica{ID: r.Replica, Zone: r.Zone, Addr: r.Addr})
		}
	}
	return out
}

// reaches reports whether a core at an address, with a disk or without, has been heard of.
func (s *Host) reaches(addr string, now int64) bool {
	if v, ok := s.pullers[addr]; addr == s.k.Boot.Settings.Mesh || ok && now-v.at < pullerTimeout {
		return true
	}
	for _, r := range s.rows(now) {
		if r.Addr == addr {
			return true
		}
	}
	return false
}

// countInZone counts the replicas in a zone, but for one that is to leave it.
func countInZone(seats []wire.Replica, zone, leaves string) int {
	n := 0
	for _, s := range seats {
		if s.Zone == zone && s.ID != leaves {
			n++
		}
	}
	return n
}

// leastUsedZone picks of some cores one that is not among the replicas yet, of the zone that has fewest.
func leastUsedZone(cores, seats []wire.Replica, leaves string) (wire.Replica, bool) {
	var best wire.Replica
	least := -1
	for _, c := range cores {
		if n := countInZone(seats, c.Zone, leaves); !contains(seats, c.ID) && (least < 0 || n < least) {
			best, least = c, n
		}
	}
	return best, least >= 0
}
