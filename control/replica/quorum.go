package replica

import (
	"slices"

	"wallport/runtime/wire"
)

// contains reports whether a list of replicas includes the replica with this identity.
func contains(replicas []wire.Replica, id string) bool {
	for _, r := range replicas {
		if r.ID == id {
			return true
		}
	}
	return false
}

// majority reports whether more than half of the voters meet a condition. An empty list has no majority.
func majority(voters []wire.Replica, fulfils func(id string) bool) bool {
	n := 0
	for _, v := range voters {
		if fulfils(v.ID) {
			n++
		}
	}
	return len(voters) > 0 && n > len(voters)/2
}

// quorum reports whether a majority of a version's voters meets a condition and, if the version changes the voters,
// also a majority of the previous voters (joint consensus).
func quorum(v wire.Versioned, fulfils func(id string) bool) bool {
	return majority(v.Voters, fulfils) && (len(v.PreviousVoters) == 0 || majority(v.PreviousVoters, fulfils))
}

// allVoters returns every replica that may count toward a version's quorum.
func allVoters(v wire.Versioned) []wire.Replica {
	all := append([]wire.Replica(nil), v.Voters...)
	for _, voter := range v.PreviousVoters {
		if !contains(all, voter.ID) {
			all = append(all, voter)
		}
	}
	return all
}

// isJoint reports whether a version changes the voters, so that it needs a majority of the previous voters as well as
// a majority of the new voters.
func isJoint(v wire.Versioned) bool {
	return len(v.PreviousVoters) > 0 && !sameMembers(v.PreviousVoters, v.Voters)
}

// sameMembers reports whether two lists contain the same replicas in the same order.
func sameMembers(a, b []wire.Replica) bool {
	return slices.EqualFunc(a, b, func(a, b wire.Replica) bool { return a.ID == b.ID })
}

// replicaIDs returns the identities of replicas, for the log.
func replicaIDs(replicas []wire.Replica) []string {
	ids := make([]string, 0, len(replicas))
	for _, r := range replicas {
		ids = append(ids, r.ID)
	}
	return ids
}
