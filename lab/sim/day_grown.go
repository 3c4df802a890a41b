// The shapes of the grown deployments, in the small: as many machines with a
// disk and as much to be borne as there, fewer others, fewer shards.

package sim

// Figures of a grown deployment; its others are 16 or 20 a zone there.
const (
	grownDisks  = 2
	grownOthers = 1
	grownShards = 6
	grownLater  = 9
)

// grow makes a shape a grown one.
func (s *siteShape) grow() {
	for i := range s.zones {
		s.zones[i].machines, s.zones[i].disks = grownDisks+grownOthers, grownDisks
	}
	for i := range s.pools {
		p := &s.pools[i]
		p.perZone = []int{2, 2, 2, 2}
		switch {
		case p.shards > 0 && p.later:
			p.shards = grownLater
		case p.shards > 0:
			p.shards = grownShards
		}
	}
	s.tolerance = [2]int{2, 1}
	s.coreShare = float64(grownDisks) / float64(grownDisks+grownOthers)
	s.allowance = 200
}
