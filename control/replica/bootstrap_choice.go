// Which cores form a fleet, and which of them proposes it. Where a platform says
// that all disks are empty, nothing is waited for but the cores themselves;
// otherwise the cores have listened long enough for a fleet that is there already.

package replica

import (
	"slices"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of bootstrap on a platform, in microseconds from the start.
const (
	// SeedTimeout is how long every seed is waited for, and a choice that can lose a zone.
	SeedTimeout = 1_500_000
	// SmallerGroupAfter is when a smaller group is formed, because there are not more cores.
	SmallerGroupAfter = 3_000_000
	// SmallestGroupAfter is when that is done though a seed was never heard.
	SmallestGroupAfter = 6_000_000
	// smallestGroup is what is formed then at least: a lone core may just not hear the others.
	smallestGroup = 3
	maxSeeds      = 3
)

// chooseBootstrapVoters gives the replicas of the formation that this core should propose now, if any.
func (h *Host) chooseBootstrapVoters(ctx *kernel.Context, cores []wire.Replica) ([]wire.Replica, bool) {
	e, want := &h.kernel.Boot.Settings, h.wantedVoters()
	if !e.BootstrapKnown {
		return PickVoters(cores, want), len(cores) >= want && cores[0].ID == h.replicaID
	}
	at := ctx.Now - h.startedAt
	all := !slices.ContainsFunc(e.Seeds, func(a string) bool { return !h.reaches(a, ctx.Now) })
	if !e.Bootstrap || len(cores) == 0 || !all && at < SeedTimeout || h.proposer(cores) != h.replicaID {
		return nil, false
	}
	if len(cores) >= want {
		seats := PickVoters(cores, want)
		return seats, at >= SeedTimeout || survivesZoneLoss(seats, e.Tolerance.Zones)
	}
	if fewer := (len(cores) - 1) | 1; at >= SmallerGroupAfter && all || at >= SmallestGroupAfter && fewer >= smallestGroup {
		return PickVoters(cores, min(fewer, want)), true
	}
	return nil, false
}

// proposer is the core at the least seed address. All have the same seeds when a fleet starts,
// but for themselves: a core that is not given as many as there can be is one of them.
func (h *Host) proposer(cores []wire.Replica) string {
	seeds := h.kernel.Boot.Settings.Seeds
	if len(seeds) < maxSeeds {
		seeds = append(slices.Clone(seeds), h.kernel.Boot.Settings.Mesh)
	}
	best := cores[0]
	for _, c := range cores {
		seed, was := slices.Contains(seeds, c.Addr), slices.Contains(seeds, best.Addr)
		if seed && !was || seed && was && c.Addr < best.Addr {
			best = c
		}
	}
	return best.ID
}

// PickVoters chooses replicas, spread over the zones.
func PickVoters(cores []wire.Replica, n int) []wire.Replica {
	var voters []wire.Replica
	for range min(n, len(cores)) {
		c, _ := leastUsedZone(cores, voters, "")
		voters = append(voters, c)
	}
	return voters
}

// survivesZoneLoss reports whether the loss of any one zone leaves a majority of the replicas.
func survivesZoneLoss(voters []wire.Replica, zones int) bool {
	return zones == 0 || !slices.ContainsFunc(voters, func(s wire.Replica) bool {
		return 2*countInZone(voters, s.Zone, "") >= len(voters)
	})
}
