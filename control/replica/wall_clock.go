package replica

import (
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

// ClockTolerance is the maximum difference between two clocks that are considered to agree.
const ClockTolerance = 2 * clock.Second

// agreedTime returns the time of day that a majority of the voters agrees on: the lowest clock of the largest set in
// which no clock is more than ClockTolerance ahead of the lowest. known is false if that set is not a majority of the
// voters; no scheduled update, such as the start of a booking, is then applied.
func (g *Group) agreedTime(ctx *kernel.Context) (wall clock.Micros, known bool) {
	// All offsets are relative to this process's monotonic clock, because its own time of day may jump as well.
	offsets := []clock.Micros{ctx.Wall - ctx.Now}
	for _, voter := range g.committed.Voters {
		if offset, ok := g.wallOffsets[voter.ID]; ok && ctx.Now-g.heardAt[voter.ID] < StepDownAfter {
			offsets = append(offsets, offset)
		}
	}
	slices.Sort(offsets)
	best, from := 0, clock.Micros(0)
	for i, offset := range offsets {
		agreeing := 0
		for _, other := range offsets[i:] {
			if other-offset <= ClockTolerance {
				agreeing++
			}
		}
		if agreeing > best {
			best, from = agreeing, offset
		}
	}
	return ctx.Now + from, best > len(g.committed.Voters)/2
}
