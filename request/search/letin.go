// The step from let in to asked: the cut is pinned, and each shard that is needed
// is asked. What a caller's repeat will cost is taken from the budget first.

package search

func (c *Chart) letIn(now int64) {
	if now >= c.end {
		c.shed(now, GivenUp, "the deadline passed before a server was asked", 1)
		return
	}
	if len(c.x.Shards) == 0 {
		c.shed(now, Shed, "the index has no cut yet", 1)
		return
	}
	c.to(now, StLetIn, "")
	c.pin = c.desk.pin(c.in.Index, c.cut)
	c.pin.Add(1)
	c.ways = make([]shardWay, len(c.x.Shards))
	if c.in.Kind != Search {
		c.first = ShardOf(c.in.Record, len(c.x.Shards))
	}
	why := firstTry
	if c.repeat {
		tries := 1
		if c.in.Kind == Search {
			tries = len(c.x.Shards)
		}
		if why = paid; !c.desk.extras(c.cp, c.in.Index, now, int64(tries)) {
			c.shed(now, OverCeiling, RepeatOver, 1)
			return
		}
	}
	for shard := range c.x.Shards {
		if c.in.Kind == Search || shard == c.first {
			c.ask(now, shard, why)
		}
	}
	c.settleWays(now)
	c.wake(now)
}
