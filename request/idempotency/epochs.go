package idempotency

import (
	"slices"

	"wallport/control/state"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// epoch is a time in which this process may lack records that it should have as an owner. Each start, thaw,
// stay in a minority or change of the roster opens one, and in it the owner requests the records of the
// others. A key that was admitted had a majority of its owners of then: once so many of them handed over that
// every majority includes one, the lack of a record means that the key was never admitted. If too many are
// lost for that, the epoch ends with the longest deadline and a grace period.
type epoch struct {
	id       uint64
	openedAt clock.Micros
	// previousRoster is the roster before the change; nil if this process may have lost its own records.
	previousRoster []snapshot.Node
	handedOver     map[string]bool
	// maxOwners is the largest number of owners that any of those counts.
	maxOwners int
	complete  bool
}

// handOversNeeded returns how many of a key's owners must have handed over, of as many as this process knows.
// In an epoch in which it may have lost its records, others may count more owners than it does.
func (e *epoch) handOversNeeded(owners int) int {
	if e.previousRoster == nil {
		owners = max(owners, e.maxOwners)
	}
	return intersectingQuorum(owners)
}

// converged reports whether all needed nodes handed over, and every node had the time to learn the roster.
func (e *epoch) converged(now clock.Micros) bool {
	return e.complete && now-e.openedAt >= RosterConvergence
}

// invalidateRecords opens an epoch in which this process cannot vouch for any key.
func (c *Coordinator) invalidateRecords(ctx *kernel.Context) {
	c.epochs = []*epoch{c.newEpoch(ctx, nil)}
}

func (c *Coordinator) newEpoch(ctx *kernel.Context, before []snapshot.Node) *epoch {
	c.lastID++
	return &epoch{id: c.lastID, openedAt: ctx.Now, previousRoster: before, handedOver: map[string]bool{}}
}

// uncertainFor returns how long a request that was admitted before may still be running.
func (c *Coordinator) uncertainFor() clock.Micros {
	if c.maxDeadline == 0 {
		return UncertaintyUnconfigured
	}
	return max(c.maxDeadline+GracePeriod, MinUncertainty)
}

// canVouch reports whether the lack of a record means that the key was never admitted.
func (c *Coordinator) canVouch(key, index string, now clock.Micros) bool {
	if len(c.roster) > 0 && !isOwner(key, c.name(), c.roster) {
		// Whoever takes this process for an owner has an older roster.
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
			// Others may not have the new roster yet and ask the old owners.
			return false
		}
		prev := Owners(key, before)
		n := 0
		for _, owner := range prev {
			if e.handedOver[owner.Name] {
				n++
			}
		}
		if n < max(1, e.handOversNeeded(len(prev))) {
			return false
		}
	}
	return true
}

// checkRoster notices a changed roster, and requests the records that are still to be handed over.
func (c *Coordinator) checkRoster(ctx *kernel.Context) {
	current := c.snapshot()
	if current == nil {
		return
	}
	c.updateMaxDeadline(current, ctx.Now)
	minority := c.inMinority(current, ctx.Now)
	if minority {
		// This process does not learn what the others admit meanwhile.
		c.invalidateRecords(ctx)
		clear(c.initialIndexes)
	}
	same := slices.EqualFunc(c.roster, current.KeyOwners, func(a, b snapshot.Node) bool { return a.Name == b.Name && a.Zone == b.Zone })
	if !same && len(c.roster) > 0 {
		c.epochs = append(c.epochs, c.newEpoch(ctx, c.roster))
	}
	c.roster = current.KeyOwners
	c.epochs = slices.DeleteFunc(c.epochs, func(e *epoch) bool { return ctx.Now-e.openedAt >= c.uncertainFor() })
	if len(c.epochs) > maxEpochs {
		c.invalidateRecords(ctx)
	}
	if current.Configuration != nil {
		c.requestHandOvers(ctx)
	}
	c.prune(ctx.Now)
	if minority || slices.ContainsFunc(c.epochs, func(e *epoch) bool { return !e.converged(ctx.Now) }) {
		c.scheduleRosterCheck(ctx, ActiveRosterCheck)
	} else {
		c.scheduleRosterCheck(ctx, IdleRosterCheck)
	}
}

// Bounds of what a changing roster costs: the open epochs, beyond which this process cannot vouch for any
// key, and the requests at a time in a fleet larger than the number of a key's owners.
const (
	maxEpochs           = 8
	maxHandOverRequests = 8
)

// requestHandOvers requests the records that are still to be handed over. Without a configuration there are
// none: no key was ever admitted.
func (c *Coordinator) requestHandOvers(ctx *kernel.Context) {
	requests := 0
	for _, e := range c.epochs {
		// In a fleet where every node owns every key, so many are enough for every key.
		left := e.handOversNeeded(len(c.roster))
		if len(c.roster) > maxOwners {
			left = len(c.roster) - 1
		}
		for _, n := range c.roster {
			if n.Name != c.name() && e.handedOver[n.Name] {
				left--
			}
		}
		// A process that sees no other node has no records of them.
		e.complete = len(c.roster) > 1 && left <= 0
		// From another node each time: one that is uncertain itself does not answer.
		from := ctx.Rand.IntN(max(1, len(c.roster)))
		for i := range c.roster {
			n := c.roster[(i+from)%len(c.roster)]
			if n.Name != c.name() && !e.handedOver[n.Name] && n.Live && left > 0 && (requests < maxHandOverRequests || len(c.roster) <= maxOwners) {
				left--
				requests++
				ctx.SendTo(n.Addr, wire.KindRecordsRequest, 0, &wire.RecordsRequest{Epoch: e.id, Name: c.name(), OldNodes: encodeRoster(e.previousRoster), NewNodes: encodeRoster(c.roster)})
			}
		}
	}
}

// updateMaxDeadline keeps the longest time that a request may take.
func (c *Coordinator) updateMaxDeadline(current *snapshot.Snapshot, now clock.Micros) {
	if current.Configuration == nil {
		return
	}
	longest := clock.Micros(0)
	for _, s := range current.Configuration.Services {
		longest = max(longest, s.MaxDeadlineUs)
	}
	// A request that was admitted under a longer deadline may run for that long.
	c.maxDeadline = max(longest, c.maxDeadline-(now-c.deadlineReadAt))
	c.deadlineReadAt = now
}

// recordInitialIndexes keeps which indexes had a shard map when a partition was first seen: requests of these may have run
// before this process started, see startedBefore.
func (c *Coordinator) recordInitialIndexes(e *wire.Entry) {
	partition := e.Version.Partition
	if partition == state.ConfigPartition || c.initialIndexes[partition] != nil {
		return
	}
	b, err := state.ReadIndex(e.Body)
	if err != nil {
		return
	}
	c.initialIndexes[partition] = map[string]bool{}
	for index := range b.ShardMaps {
		c.initialIndexes[partition][index] = true
	}
}

// startedBefore reports whether this process started before the index had its first shard map. Then no
// request of it can have run before. So the first start of a fleet needs no quarantine, and the start after
// a total loss has one.
func (c *Coordinator) startedBefore(index string) bool {
	had := c.initialIndexes[state.PartitionOf(index)]
	return had != nil && !had[index]
}

// startedBeforeAll reports whether no request at all can have run before this process started.
func (c *Coordinator) startedBeforeAll() bool {
	for _, had := range c.initialIndexes {
		if len(had) > 0 {
			return false
		}
	}
	return len(c.initialIndexes) == state.Partitions-1
}
