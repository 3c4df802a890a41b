// When a claim has a majority. Rosters differ for a while after nodes came or went, so each
// owner says how many owners it counts: what a few let in must be a majority of the greatest
// number that any of them counts. Two claims of one key then always share an owner.

package idempotency

import "slices"

// ownerReply is the last answer of one owner to a claim.
type ownerReply struct {
	code string
	// owners is how many owners it counts; 0 where it does not say.
	owners int
}

// agrees tells that an owner let the claim in, or would if it were sure.
func (r ownerReply) agrees(unsureToo bool) bool {
	return r.code == "in" || unsureToo && r.code == "unsure"
}

// majority reports whether the owners that let the claim in are enough. With unsureToo those that
// cannot be sure count as well.
func (a *admission) majority(unsureToo bool) bool {
	counted := make([]int, 0, len(a.replies))
	for _, r := range a.replies {
		if r.agrees(unsureToo) {
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

// countAgreeing is how many owners let the claim in, or would if they were sure.
func (a *admission) countAgreeing() (count int) {
	for _, r := range a.replies {
		if r.agrees(true) {
			count++
		}
	}
	return count
}
