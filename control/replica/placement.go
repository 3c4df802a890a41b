package replica

import (
	"slices"

	"wallport/runtime/wire"
)

// PickVoters chooses up to n voters among the given replicas, spread over the zones.
func PickVoters(cores []wire.Replica, n int) []wire.Replica {
	var voters []wire.Replica
	for range min(n, len(cores)) {
		core, _ := leastUsedZone(cores, voters, "")
		voters = append(voters, core)
	}
	return voters
}

// survivesZoneLoss reports whether a majority of the voters remains after the loss of any one zone. It is always true
// if no loss of a zone must be tolerated (zones is 0).
func survivesZoneLoss(voters []wire.Replica, zones int) bool {
	return zones == 0 || !slices.ContainsFunc(voters, func(v wire.Replica) bool {
		return 2*countInZone(voters, v.Zone, "") >= len(voters)
	})
}

// countInZone counts the voters in a zone, not counting the one with identity except.
func countInZone(voters []wire.Replica, zone, except string) int {
	n := 0
	for _, v := range voters {
		if v.Zone == zone && v.ID != except {
			n++
		}
	}
	return n
}

// leastUsedZone returns the first core, among the cores that aren't voters yet, whose zone has the fewest voters;
// false if all cores are voters. The voter with identity except is not counted.
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
