// What makes an owner unsure of a key that it does not hold, and what makes it sure
// again. Each start, thaw, stay in a minority or change of the roster opens an epoch;
// in it the owner asks the others to hand over what it should have had. Whoever was
// let in had a majority of the owners of then, so once as many of those have handed over
// as share one with every majority, not holding a key means that it was never let in. Where so many are lost
// that no majority can, the epoch ends with the longest deadline and a grace.

package idempotency

import (
	"slices"

	"wallport/control/state"
	"wallport/request/snapshot"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

type epoch struct {
	n  uint64
	at int64
	// before is the roster that this process was not owner in; nil where it may
	// have lost what it knew itself.
	before []snapshot.Node
	heard  map[string]bool
	// owners is the most owners that any of those counts.
	owners int
	whole  bool
}

// needs is how many others must have handed over, of the owners of a key that this process knows of.
// In an epoch in which it may have lost what it knew, others may count more owners than it does.
func (e *epoch) needs(owners int) int {
	if e.before == nil {
		owners = max(owners, e.owners)
	}
	return intersecting(owners)
}

// settled tells that every other node of a roster that had time to be known has handed over.
func (e *epoch) settled(now int64) bool { return e.whole && now-e.at >= SettleFor }

// loseRecords opens an epoch in which this process is sure of nothing.
func (c *Coordinator) loseRecords(ctx *kernel.Context) {
	c.epochs = []*epoch{c.epoch(ctx, nil)}
}

func (c *Coordinator) epoch(ctx *kernel.Context, before []snapshot.Node) *epoch {
	c.next++
	return &epoch{n: c.next, at: ctx.Now, before: before, heard: map[string]bool{}}
}

// uncertain is for how long an inquiry of before may still be under way.
func (c *Coordinator) uncertainFor() int64 {
	if c.longest == 0 {
		return UnsureNoSheet
	}
	return max(c.longest+Grace, UnsureLeast)
}

// canVouch reports whether not holding a key means that it was never let in.
func (c *Coordinator) canVouch(key, index string, now int64) bool {
	if len(c.roster) > 0 && !isOwner(key, c.name(), c.roster) {
		// Whoever takes this process for an owner knows an older roster.
		return false
	}
	for _, e := range c.epochs {
		if now-e.at >= c.uncertainFor() || e.settled(now) {
			continue
		}
		before := e.before
		switch {
		case before == nil && c.startedBefore(index), before != nil && isOwner(key, c.name(), before):
			continue
		case before == nil:
			before = c.roster
		case now-e.at < SettleFor:
			// Others may not have the new roster yet and claim at the old owners.
			return false
		}
		prev := Owners(key, before)
		n := 0
		for _, h := range prev {
			if e.heard[h.Name] {
				n++
			}
		}
		if n < max(1, e.needs(len(prev))) {
			return false
		}
	}
	return true
}

// followRoster notices a changed roster, and asks for what is still to be handed over.
func (c *Coordinator) followRoster(ctx *kernel.Context) {
	cp := c.snapshot()
	if cp == nil {
		return
	}
	c.learnDeadline(cp, ctx.Now)
	small := c.minority(cp, ctx.Now)
	if small {
		// What the others let in meanwhile is not told here.
		c.loseRecords(ctx)
		clear(c.first)
	}
	same := slices.EqualFunc(c.roster, cp.KeyOwners, func(a, b snapshot.Node) bool { return a.Name == b.Name && a.Zone == b.Zone })
	if !same && len(c.roster) > 0 {
		c.epochs = append(c.epochs, c.epoch(ctx, c.roster))
	}
	c.roster = cp.KeyOwners
	c.epochs = slices.DeleteFunc(c.epochs, func(e *epoch) bool { return ctx.Now-e.at >= c.uncertainFor() })
	if len(c.epochs) > epochsMost {
		c.loseRecords(ctx)
	}
	if cp.Configuration != nil {
		c.askAll(ctx)
	}
	c.prune(ctx.Now)
	if small || slices.ContainsFunc(c.epochs, func(e *epoch) bool { return !e.settled(ctx.Now) }) {
		c.arm(ctx, FollowAt)
	} else {
		c.arm(ctx, CalmAt)
	}
}

// Bounds on what a roster in flux costs: open epochs, beyond which this process takes itself
// for one that is sure of nothing, and asks at a time in a fleet larger than a key's owners.
const (
	epochsMost = 8
	asksMost   = 8
)

// askAll asks for what is still to be handed over. Where there is no sheet no key was ever let in.
func (c *Coordinator) askAll(ctx *kernel.Context) {
	asks := 0
	for _, e := range c.epochs {
		// In a fleet whose nodes are all owners of all keys so many are enough for every key.
		left := e.needs(len(c.roster))
		if len(c.roster) > ownersMost {
			left = len(c.roster) - 1
		}
		for _, n := range c.roster {
			if n.Name != c.name() && e.heard[n.Name] {
				left--
			}
		}
		// A process that sees nobody else has heard of nothing.
		e.whole = len(c.roster) > 1 && left <= 0
		// Others each time: one that is itself not sure does not answer.
		from := ctx.Rand.IntN(max(1, len(c.roster)))
		for i := range c.roster {
			n := c.roster[(i+from)%len(c.roster)]
			if n.Name != c.name() && !e.heard[n.Name] && n.Live && left > 0 && (asks < asksMost || len(c.roster) <= ownersMost) {
				left--
				asks++
				ctx.SendTo(n.Addr, wire.KindRecordsRequest, 0, &wire.RecordsRequest{Epoch: e.n, Name: c.name(), OldNodes: places(e.before), NewNodes: places(c.roster)})
			}
		}
	}
}

// learnDeadline keeps the longest time that an inquiry may take.
func (c *Coordinator) learnDeadline(cp *snapshot.Snapshot, now int64) {
	if cp.Configuration == nil {
		return
	}
	longest := int64(0)
	for _, s := range cp.Configuration.Services {
		longest = max(longest, s.MaxDeadlineUs)
	}
	// What was let in under a longer deadline may go on for that long.
	c.longest = max(longest, c.longest-(now-c.looked))
	c.looked = now
}

// firstSeen keeps which indexes had a cut when a part was first seen.
func (c *Coordinator) firstSeen(e *wire.Entry) {
	part := e.Version.Partition
	if part == state.Config || c.first[part] != nil {
		return
	}
	b, err := state.ReadIndex(e.Body)
	if err != nil {
		return
	}
	c.first[part] = map[string]bool{}
	for index := range b.ShardMaps {
		c.first[part][index] = true
	}
}

// startedBefore tells that this process was there before the index had its first cut:
// nothing of it can have run before this process began. So the first start of a
// fleet needs no quarantine, and the start after a total loss has it.
func (c *Coordinator) startedBefore(index string) bool {
	had := c.first[state.PartitionOf(index)]
	return had != nil && !had[index]
}

// startedBeforeAll tells that nothing at all can have run before this process began.
func (c *Coordinator) startedBeforeAll() bool {
	for _, had := range c.first {
		if len(had) > 0 {
			return false
		}
	}
	return len(c.first) == state.Partitions-1
}
