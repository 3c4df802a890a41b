package replica

import (
	"slices"

	"wallport/runtime/wire"
)

// PickVoters chooses up to n voters among the replicas of some cores, spread over the zones.
func PickVoters(cores []wire.Replica, n int) []wire.Replica {
	var voters []wire.Replica
	for range min(n, len(cores)) {
		core, _ := leastUsedZone(cores, voters, "")
		voters = append(voters, core)
	}
	return voters
}

// survivesZoneLoss reports whether the loss of any one zone leaves a majority of the voters. Where no zone
// needs to be borne (zones is 0) it is true.
func survivesZoneLoss(voters []wire.Replica, zones int) bool {
	return zones == 0 || !slices.ContainsFunc(voters, func(v wire.Replica) bool {
		return 2*countInZone(voters, v.Zone, "") >= len(voters)
	})
}

// countInZone counts the voters in a zone, but for the one whose identity is except.
func countInZone(voters []wire.Replica, zone, except string) int {
	n := 0
	for _, v := range voters {
		if v.Zone == zone && v.ID != except {
			n++
		}
	}
	return n
}

// leastUsedZone chooses, among the cores that aren't voters yet, the first of the zone with the fewest
// voters; the voter whose identity is except doesn't count.
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
