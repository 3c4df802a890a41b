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
	id       uint64
	openedAt int64
	// previousRoster is the roster that this process was not owner in; nil where it may
	// have lost what it knew itself.
	previousRoster []snapshot.Node
	handedOver     map[string]bool
	// maxOwners is the most owners that any of those counts.
	maxOwners int
	complete  bool
}

// handOversNeeded is how many others must have handed over, of the owners of a key that this process knows of.
// In an epoch in which it may have lost what it knew, others may count more owners than it does.
func (e *epoch) handOversNeeded(owners int) int {
	if e.previousRoster == nil {
		owners = max(owners, e.maxOwners)
	}
	return intersectingQuorum(owners)
}

// converged tells that every other node of a roster that had time to be known has handed over.
func (e *epoch) converged(now int64) bool { return e.complete && now-e.openedAt >= RosterConvergence }

// invalidateRecords opens an epoch in which this process is sure of nothing.
func (c *Coordinator) invalidateRecords(ctx *kernel.Context) {
	c.epochs = []*epoch{c.newEpoch(ctx, nil)}
}

func (c *Coordinator) newEpoch(ctx *kernel.Context, before []snapshot.Node) *epoch {
	c.lastID++
	return &epoch{id: c.lastID, openedAt: ctx.Now, previousRoster: before, handedOver: map[string]bool{}}
}

// uncertain is for how long an inquiry of before may still be under way.
func (c *Coordinator) uncertainFor() int64 {
	if c.maxDeadline == 0 {
		return UncertaintyUnconfigured
	}
	return max(c.maxDeadline+GracePeriod, MinUncertainty)
}

// canVouch reports whether not holding a key means that it was never let in.
func (c *Coordinator) canVouch(key, index string, now int64) bool {
	if len(c.roster) > 0 && !isOwner(key, c.name(), c.roster) {
		// Whoever takes this process for an owner knows an older roster.
		return false
	}
	for _, e := range c.epochs {
		if now-e.openedAt >= c.uncertainFor() || e.converged(now) {
			continue
		}
		before := e.previousRoster
		switch {
		case before == nil && c.startedBefore(index), before != nil && isOwner(key, c.name(), before):
			continue
		case before == nil:
			before = c.roster
		case now-e.openedAt < RosterConvergence:
			// Others may not have the new roster yet and claim at the old owners.
			return false
		}
		prev := Owners(key, before)
		n := 0
		for _, h := range prev {
			if e.handedOver[h.Name] {
				n++
			}
		}
		if n < max(1, e.handOversNeeded(len(prev))) {
			return false
		}
	}
	return true
}

// checkRoster notices a changed roster, and asks for what is still to be handed over.
func (c *Coordinator) checkRoster(ctx *kernel.Context) {
	cp := c.snapshot()
	if cp == nil {
		return
	}
	c.updateMaxDeadline(cp, ctx.Now)
	small := c.inMinority(cp, ctx.Now)
	if small {
		// What the others let in meanwhile is not told here.
		c.invalidateRecords(ctx)
		clear(c.initialIndexes)
	}
	same := slices.EqualFunc(c.roster, cp.KeyOwners, func(a, b snapshot.Node) bool { return a.Name == b.Name && a.Zone == b.Zone })
	if !same && len(c.roster) > 0 {
		c.epochs = append(c.epochs, c.newEpoch(ctx, c.roster))
	}
	c.roster = cp.KeyOwners
	c.epochs = slices.DeleteFunc(c.epochs, func(e *epoch) bool { return ctx.Now-e.openedAt >= c.uncertainFor() })
	if len(c.epochs) > maxEpochs {
		c.invalidateRecords(ctx)
	}
	if cp.Configuration != nil {
		c.requestHandOvers(ctx)
	}
	c.prune(ctx.Now)
	if small || slices.ContainsFunc(c.epochs, func(e *epoch) bool { return !e.converged(ctx.Now) }) {
		c.scheduleRosterCheck(ctx, ActiveRosterCheck)
	} else {
		c.scheduleRosterCheck(ctx, IdleRosterCheck)
	}
}

// Bounds on what a roster in flux costs: open epochs, beyond which this process takes itself
// for one that is sure of nothing, and asks at a time in a fleet larger than a key's owners.
const (
	maxEpochs           = 8
	maxHandOverRequests = 8
)

// requestHandOvers asks for what is still to be handed over. Where there is no sheet no key was ever let in.
func (c *Coordinator) requestHandOvers(ctx *kernel.Context) {
	asks := 0
	for _, e := range c.epochs {
		// In a fleet whose nodes are all owners of all keys so many are enough for every key.
		left := e.handOversNeeded(len(c.roster))
		if len(c.roster) > maxOwners {
			left = len(c.roster) - 1
		}
		for _, n := range c.roster {
			if n.Name != c.name() && e.handedOver[n.Name] {
				left--
			}
		}
		// A process that sees nobody else has heard of nothing.
		e.complete = len(c.roster) > 1 && left <= 0
		// Others each time: one that is itself not sure does not answer.
		from := ctx.Rand.IntN(max(1, len(c.roster)))
		for i := range c.roster {
			n := c.roster[(i+from)%len(c.roster)]
			if n.Name != c.name() && !e.handedOver[n.Name] && n.Live && left > 0 && (asks < maxHandOverRequests || len(c.roster) <= maxOwners) {
				left--
				asks++
				ctx.SendTo(n.Addr, wire.KindRecordsRequest, 0, &wire.RecordsRequest{Epoch: e.id, Name: c.name(), OldNodes: encodeRoster(e.previousRoster), NewNodes: encodeRoster(c.roster)})
			}
		}
	}
}

// updateMaxDeadline keeps the longest time that an inquiry may take.
func (c *Coordinator) updateMaxDeadline(cp *snapshot.Snapshot, now int64) {
	if cp.Configuration == nil {
		return
	}
	longest := int64(0)
	for _, s := range cp.Configuration.Services {
		longest = max(longest, s.MaxDeadlineUs)
	}
	// What was let in under a longer deadline may go on for that long.
	c.maxDeadline = max(longest, c.maxDeadline-(now-c.deadlineReadAt))
	c.deadlineReadAt = now
}

// recordInitialIndexes keeps which indexes had a cut when a part was first seen.
func (c *Coordinator) recordInitialIndexes(e *wire.Entry) {
	part := e.Version.Partition
	if part == state.ConfigPartition || c.initialIndexes[part] != nil {
		return
	}
	b, err := state.ReadIndex(e.Body)
	if err != nil {
		return
	}
	c.initialIndexes[part] = map[string]bool{}
	for index := range b.ShardMaps {
		c.initialIndexes[part][index] = true
	}
}

// startedBefore tells that this process was there before the index had its first cut:
// nothing of it can have run before this process began. So the first start of a
// fleet needs no quarantine, and the start after a total loss has it.
func (c *Coordinator) startedBefore(index string) bool {
	had := c.initialIndexes[state.PartitionOf(index)]
	return had != nil && !had[index]
}

// startedBeforeAll tells that nothing at all can have run before this process began.
func (c *Coordinator) startedBeforeAll() bool {
	for _, had := range c.initialIndexes {
		if len(had) > 0 {
			return false
		}
	}
	return len(c.initialIndexes) == state.Partitions-1
}
