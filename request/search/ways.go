// What happens as answers come or fail to come: re-asking, hedging, gathering,
// merging, and giving up at once when nothing more can come of it.

package search

import (
	"cmp"
	"fmt"
	"slices"
)

func (c *Chart) replied(now int64, v Replied) {
	if v.N >= len(c.tries) || !c.tries[v.N].open {
		return
	}
	t := c.tries[v.N]
	w := &c.ways[t.shard]
	c.close(now, v.N, v.Reply)
	c.trace.reply(now, v.N, v.Reply)
	if w.done || w.missing {
		return
	}
	switch v.Reply.Class {
	case ReplyOK:
		w.done, w.records = true, v.Reply.Records
		c.abandon(now, t.shard)
	case ReplyAbsent:
		c.finish(now, StAnswered, Outcome{Code: Unknown, Why: "no such record", Ran: "no", Cut: c.cut, Shard: t.shard})
		return
	case ReplyNotWritten:
		w.why = v.Reply.Class
		w.unwritten++
		c.again(now, t.shard, instead)
	case ReplyShed:
		w.why = v.Reply.Class
		c.again(now, t.shard, extra)
	default:
		w.why = v.Reply.Class + ": " + v.Reply.Why
		if c.in.Once() {
			c.finish(now, StGivenUp, Outcome{Code: OutcomeUnknown, Ran: "unknown", Why: "the server was written to and gave no whole answer: " + v.Reply.Why, Shard: t.shard})
			return
		}
		c.again(now, t.shard, extra)
	}
	c.settleWays(now)
	c.wake(now)
}

// again re-asks a shard elsewhere if tries, time and budget allow.
func (c *Chart) again(now int64, shard int, why again) {
	w := &c.ways[shard]
	c.renew()
	if w.tries-w.unwritten >= attemptsMost || now >= c.end {
		w.missing = w.open == 0
		return
	}
	c.ask(now, shard, why)
}

// abandon cancels what is still out for a shard that has its answer.
func (c *Chart) abandon(now int64, shard int) {
	for n := range c.tries {
		if t := &c.tries[n]; t.shard == shard && t.open {
			c.slowed(now, t)
			c.close(now, n, Reply{})
			c.act(Cancel{N: n})
		}
	}
}

func (c *Chart) due(now int64) {
	if c.state == StRead {
		c.begin(now)
		return
	}
	if c.state == StClassified {
		c.desk.Counts.Add("shed_claims", 1)
		c.shed(now, Shed, ClaimsShort+"no verdict in time", 1)
		return
	}
	c.renew()
	for i := range c.ways {
		w := &c.ways[i]
		if w.open > 0 && !w.done && c.mayHedge(w) && now >= w.hedgeAt && now < c.end {
			w.why = "no answer yet"
			before := w.tries
			c.ask(now, i, extra)
			if w.tries == before {
				w.hedgeAt = c.end
			}
		}
	}
	c.settleWays(now)
	c.wake(now)
}

// settleWays ends the chart once it is known how.
func (c *Chart) settleWays(now int64) {
	if c.done {
		return
	}
	if c.in.Kind == Search {
		c.settleSearch(now)
		return
	}
	w := &c.ways[c.first]
	switch {
	case w.done:
		c.to(now, StGathered, "")
		c.finish(now, StAnswered, Outcome{Code: OK, Cut: c.cut, Shard: c.first, Records: w.records})
	case w.missing && w.tries == 0:
		c.shed(now, Shed, w.why, 1)
	case w.missing && c.in.Once():
		// Nothing was written in any of the tries, or it would have ended above.
		c.shed(now, Shed, "no server could be reached: "+w.why, 1)
	case w.missing:
		c.finish(now, StGivenUp, Outcome{Code: GivenUp, Ran: "unknown", Why: w.why, Retry: 1})
	case now >= c.end && c.in.Once():
		c.finish(now, StGivenUp, Outcome{Code: OutcomeUnknown, Ran: "unknown", Why: "no answer within the deadline"})
	case now >= c.end:
		c.finish(now, StGivenUp, Outcome{Code: GivenUp, Ran: "unknown", Why: "no answer within the deadline", Retry: 1})
	}
}

func (c *Chart) settleSearch(now int64) {
	done, left, asked := 0, 0, 0
	why := ""
	for i := range c.ways {
		w := &c.ways[i]
		asked += w.tries
		switch {
		case w.done:
			done++
		case w.missing:
			why = w.why
		default:
			left++
		}
	}
	need := int(c.x.Service.RequiredShare) * len(c.ways)
	enough := done > 0 && done*100 >= need
	switch {
	case left == 0 && enough, enough && now >= c.patient():
		c.merge(now)
	case (done+left)*100 < need || len(c.ways) == 0:
		if asked == 0 || len(c.ways) == 0 {
			c.shed(now, Shed, "too few shards have a server: "+why, 1)
			return
		}
		c.finish(now, StGivenUp, Outcome{Code: GivenUp, Ran: "unknown", Why: "too many shards failed: " + why, Retry: 1})
	case now >= c.end:
		c.finish(now, StGivenUp, Outcome{Code: GivenUp, Ran: "unknown", Why: fmt.Sprintf("%d of %d shards within the deadline", done, len(c.ways)), Retry: 1})
	}
}

// Before orders records of a merged answer.
func Before(a, b Record) int {
	if a.Score != b.Score {
		return cmp.Compare(b.Score, a.Score)
	}
	return cmp.Compare(a.ID, b.ID)
}

// merge takes the heads of the shards' sorted lists, one cut, each shard once.
func (c *Chart) merge(now int64) {
	done, missing := c.shardsDone()
	c.to(now, StGathered, "")
	at := make([]int, len(c.ways))
	out := make([]Record, 0, c.in.Limit)
	for len(out) < c.in.Limit {
		best := -1
		for _, s := range done {
			if at[s] >= len(c.ways[s].records) {
				continue
			}
			if best < 0 || Before(c.ways[s].records[at[s]], c.ways[best].records[at[best]]) < 0 {
				best = s
			}
		}
		if best < 0 {
			break
		}
		r := c.ways[best].records[at[best]]
		at[best]++
		if len(out) > 0 && out[len(out)-1].ID == r.ID {
			continue
		}
		out = append(out, r)
	}
	c.finish(now, StAnswered, Outcome{Code: OK, Cut: c.cut, Shards: done, Missing: missing, Records: slices.Clip(out)})
}
