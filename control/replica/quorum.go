// Majorities of replicas, also across a change of replicas.

package replica

import "wallport/runtime/wire"

func contains(replicas []wire.Replica, id string) bool {
	for _, s := range replicas {
		if s.ID == id {
			return true
		}
	}
	return false
}

func majority(voters []wire.Replica, ok func(id string) bool) bool {
	n := 0
	for _, s := range voters {
		if ok(s.ID) {
			n++
		}
	}
	return len(voters) > 0 && n > len(voters)/2
}

// quorum needs a majority of a version's replicas and of the replicas before them.
func quorum(v wire.Versioned, ok func(id string) bool) bool {
	return majority(v.Voters, ok) && (len(v.PreviousVoters) == 0 || majority(v.PreviousVoters, ok))
}

// allVoters lists every replica that a version's quorum may need.
func allVoters(v wire.Versioned) []wire.Replica {
	out := append([]wire.Replica(nil), v.Voters...)
	for _, p := range v.PreviousVoters {
		if !contains(out, p.ID) {
			out = append(out, p)
		}
	}
	return out
}
