package idempotency

import (
	"slices"

	"wallport/control/state"
	"wallport/request/snapshot"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// epoch is a period in which this process may lack records that it should have as an owner. An epoch is opened by
// a start, by a thaw, by being in the minority of a network partition, and by a change of the roster. During an
// epoch this process requests the records of the other owners. Every admitted key was admitted by a majority of
// the owners that it had at that time. Once the owners that have handed over their records include a member of
// every such majority, the absence of a record proves that the key was never admitted. If too many owners are
// lost, the epoch ends after the longest deadline plus a grace period.
type epoch struct {
	id       uint64
	openedAt clock.Micros
	// previousRoster is the roster before the change that opened the epoch. It is nil if this process may have
	// lost its own records.
	previousRoster []snapshot.Node
	handedOver     map[string]bool
	// maxOwners is the largest number of owners per key that was reported with a hand-over.
	maxOwners int
	complete  bool
}

// handOversNeeded returns how many of a key's owners must have handed over their records, given the number of
// owners that this process knows. A process that lost its records may know fewer owners than other nodes do, so
// in that case the numbers that they reported count as well.
func (e *epoch) handOversNeeded(owners int) int {
	if e.previousRoster == nil {
		owners = max(owners, e.maxOwners)
	}
	return intersectingQuorum(owners)
}

// converged reports whether enough nodes handed over their records and every node had time to learn the roster.
func (e *epoch) converged(now clock.Micros) bool {
	return e.complete && now-e.openedAt >= RosterConvergence
}

// invalidateRecords replaces all epochs by a new one that treats the records of this process as lost.
func (c *Coordinator) invalidateRecords(ctx *kernel.Context) {
	c.epochs = []*epoch{c.newEpoch(ctx, nil)}
}

func (c *Coordinator) newEpoch(ctx *kernel.Context, before []snapshot.Node) *epoch {
	c.lastID++
	return &epoch{id: c.lastID, openedAt: ctx.Now, previousRoster: before, handedOver: map[string]bool{}}
}

// uncertainFor returns how long after its admission a request may still be running. No epoch lasts longer.
func (c *Coordinator) uncertainFor() clock.Micros {
	if c.maxDeadline == 0 {
		return UncertaintyUnconfigured
	}
	return max(c.maxDeadline+GracePeriod, MinUncertainty)
}

// isCertain reports whether the absence of a record proves that the key was never admitted.
func (c *Coordinator) isCertain(key, index string, now clock.Micros) bool {
	if len(c.roster) > 0 && !isOwner(key, c.name(), c.roster) {
		// This process is not an owner of the key. The node that asks it has an older roster.
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
			// Other nodes may not have the new roster yet and still ask the previous owners.
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

// checkRoster opens an epoch if the roster changed, and requests the records that have not been handed over yet.
func (c *Coordinator) checkRoster(ctx *kernel.Context) {
	current := c.snapshot()
	if current == nil {
		return
	}
	c.updateMaxDeadline(current, ctx.Now)
	minority := c.inMinority(current, ctx.Now)
	if minority {
		// This process does not receive the admissions that the majority side makes during the partition.
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

// These constants bound the cost of frequent roster changes. With more than maxEpochs open epochs this process
// treats all its records as lost. maxHandOverRequests bounds the requests per roster check in a fleet with more
// nodes than a key has owners.
const (
	maxEpochs           = 8
	maxHandOverRequests = 8
)

// requestHandOvers requests the records that have not been handed over yet. It is not called before there is a
// configuration, because no key has been admitted by then.
func (c *Coordinator) requestHandOvers(ctx *kernel.Context) {
	requests := 0
	for _, e := range c.epochs {
		// left is the number of hand-overs that are still needed. If every node owns every key, handOversNeeded is
		// enough for every key. In a larger fleet the records of all other nodes are needed.
		left := e.handOversNeeded(len(c.roster))
		if len(c.roster) > maxOwners {
			left = len(c.roster) - 1
		}
		for _, n := range c.roster {
			if n.Name != c.name() && e.handedOver[n.Name] {
				left--
			}
		}
		// A process that sees no other node cannot have received the records of other nodes.
		e.complete = len(c.roster) > 1 && left <= 0
		// Each check starts with a random node, because a node that is uncertain itself does not reply.
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

// updateMaxDeadline updates the longest time that a running request may still take.
func (c *Coordinator) updateMaxDeadline(current *snapshot.Snapshot, now clock.Micros) {
	if current.Configuration == nil {
		return
	}
	longest := clock.Micros(0)
	for _, s := range current.Configuration.Services {
		longest = max(longest, s.MaxDeadlineUs)
	}
	// A request that was admitted under an earlier, longer deadline may still run until that deadline.
	c.maxDeadline = max(longest, c.maxDeadline-(now-c.deadlineReadAt))
	c.deadlineReadAt = now
}

// recordInitialIndexes records which indexes had a shard map when this process first received the state of a
// partition. Requests to these indexes may have run before this process started, see startedBefore.
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

// startedBefore reports whether this process started before the index had its first shard map. If it did, no
// request to the index can have run before the start. Keys can therefore be admitted without delay on the first
// start of a fleet, but not on a start after all nodes were lost.
func (c *Coordinator) startedBefore(index string) bool {
	had := c.initialIndexes[state.PartitionOf(index)]
	return had != nil && !had[index]
}

// startedBeforeAll reports whether no request to any index can have run before this process started.
func (c *Coordinator) startedBeforeAll() bool {
	for _, had := range c.initialIndexes {
		if len(had) > 0 {
			return false
		}
	}
	return len(c.initialIndexes) == state.Partitions-1
}
