package idempotency

import "slices"

// ownerReply is the last reply of one owner to an admission request.
type ownerReply struct {
	code string
	// owners is how many owners it counts; 0 if it does not say.
	owners int
}

// agrees reports whether an owner admitted the key, or with uncertainToo whether it did as far as it knows.
func (r ownerReply) agrees(uncertainToo bool) bool {
	return r.code == replyAdmitted || uncertainToo && r.code == replyUncertain
}

// majority reports whether the owners that admitted the key are enough. With uncertainToo those that are
// uncertain count as well. Rosters differ for a while after nodes came or went, so each owner says how many
// owners it counts, and those that agree must be a majority of the largest number that any of them counts.
// Two admissions of one key then always share an owner.
func (a *admission) majority(uncertainToo bool) bool {
	counted := make([]int, 0, len(a.replies))
	for _, r := range a.replies {
		if r.agrees(uncertainToo) {
			counted = append(counted, r.owners)
		}
	}
	// Those that count the fewest first: one that counts more is left out where it is not needed.
	slices.Sort(counted)
	for i, owners := range counted {
		if i+1 >= quorum(max(owners, len(a.owners))) {
			return true
		}
	}
	return false
}

// countAgreeing returns how many owners admitted the key, the uncertain ones included.
func (a *admission) countAgreeing() (count int) {
	for _, r := range a.replies {
		if r.agrees(true) {
			count++
		}
	}
	return count
}
