// When a claim has a majority. Rosters differ for a while after nodes came or went, so each
// home says how many homes it counts: what a few let in must be a majority of the greatest
// number that any of them counts. Two claims of one key then always share a home.
package claims

import "slices"

// homeReply is the last answer of one home to a claim.
type homeReply struct {
	code string
	// homes is how many homes it counts; 0 where it does not say.
	homes int
}

// agrees tells that a home let the claim in, or would if it were sure.
func (r homeReply) agrees(unsureToo bool) bool {
	return r.code == "in" || unsureToo && r.code == "unsure"
}

// majority tells whether the homes that let the claim in are enough. With unsureToo those that
// cannot be sure count as well.
func (w *asking) majority(unsureToo bool) bool {
	counted := make([]int, 0, len(w.replies))
	for _, r := range w.replies {
		if r.agrees(unsureToo) {
			counted = append(counted, r.homes)
		}
	}
	// Those that count the fewest first: one that counts more is left out where it is not needed.
	slices.Sort(counted)
	for i, homes := range counted {
		if i+1 >= quorum(max(homes, len(w.homes))) {
			return true
		}
	}
	return false
}

// agreed is how many homes let the claim in, or would if they were sure.
func (w *asking) agreed() (count int) {
	for _, r := range w.replies {
		if r.agrees(true) {
			count++
		}
	}
	return count
}
