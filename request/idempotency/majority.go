package idempotency

import "slices"

// ownerReply is the last reply of one owner to an admission request.
type ownerReply struct {
	code string
	// owners is the number of owners per key that the owner reported; 0 if it reported none.
	owners int
}

// agrees reports whether an owner admitted the key. With uncertainToo, the reply of an uncertain owner counts
// as well.
func (r ownerReply) agrees(uncertainToo bool) bool {
	return r.code == replyAdmitted || uncertainToo && r.code == replyUncertain
}

// majority reports whether enough owners admitted the key. With uncertainToo, uncertain owners count as well.
// Rosters differ for a while after nodes joined or left, so each owner reports how many owners it knows, and
// the agreeing owners must be a majority of the largest number that any of them reported. Two admissions of
// one key therefore always share an owner.
func (a *admission) majority(uncertainToo bool) bool {
	counted := make([]int, 0, len(a.replies))
	for _, r := range a.replies {
		if r.agrees(uncertainToo) {
			counted = append(counted, r.owners)
		}
	}
	// The reported numbers are checked in ascending order, so that an owner that reports a larger number does
	// not raise the required number if the other owners are a majority without it.
	slices.Sort(counted)
	for i, owners := range counted {
		if i+1 >= quorum(max(owners, len(a.owners))) {
			return true
		}
	}
	return false
}

// countAgreeing returns how many owners admitted the key, including uncertain ones.
func (a *admission) countAgreeing() (count int) {
	for _, r := range a.replies {
		if r.agrees(true) {
			count++
		}
	}
	return count
}
