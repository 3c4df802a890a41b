// The chart itself: what is common to all kinds of inquiries. What a search
// does with its shards and a single inquiry with its one is beside it.

package search

import (
	"slices"
	"sync/atomic"

	"wallport/request/snapshot"
)

// Figures of the chart.
const (
	attemptsMost = 3
	// margin is kept of a deadline for the answer's own way back: a twentieth, 20 ms at most.
	marginMost = 20_000
	// patience is how much of the deadline, in hundredths, a search waits for
	// its last shards once it has its required share.
	patience = 80
)

type try struct {
	shard  int
	server *snapshot.Server
	at     int64
	open   bool
}

type shardWay struct {
	done    bool
	missing bool
	records []Record
	tried   []string
	open    int
	tries   int
	// unwritten counts the tries of which nothing was written: they ask nothing of anyone.
	unwritten int
	hedgeAt   int64
	why       string
}

// Chart is one inquiry under way. It is used by one thread at a time.
type Chart struct {
	desk  *Desk
	in    Inquiry
	cp    *snapshot.Snapshot
	x     *snapshot.Index
	cut   string
	state State
	began int64
	end   int64
	ways  []shardWay
	tries []try
	first int
	done  bool
	pin   *atomic.Int64
	rnd   rnd
	acts  []Act
	trace *Trace
	keyed bool
	// repeat marks a repeat of the caller's: its tries are paid from the budget.
	repeat bool
	token  string
}

// NewChart makes the chart of a checked inquiry.
func NewChart(d *Desk, in Inquiry, now int64) *Chart {
	id := d.newID()
	c := &Chart{desk: d, in: in, began: now, state: StRead, rnd: rnd(d.Seed + d.next.Load()*0x9e37)}
	c.trace = newTrace(id, &in, now)
	return c
}

// ID is the inquiry's id.
func (c *Chart) ID() string { return c.trace.ID }

// State is the state that the inquiry is in.
func (c *Chart) State() State { return c.state }

// Done tells that the outcome has been given.
func (c *Chart) Done() bool { return c.done }

// Step takes one event and returns what is to be done.
func (c *Chart) Step(now int64, ev Event) []Act {
	c.acts = nil
	if c.done {
		if r, ok := ev.(Replied); ok {
			c.late(now, r)
		}
		return nil
	}
	switch v := ev.(type) {
	case Begin:
		c.begin(now)
	case Claimed:
		c.claimed(now, v.Verdict)
	case Replied:
		c.replied(now, v)
	case Due:
		c.due(now)
	}
	return c.acts
}

func (c *Chart) to(now int64, s State, note string) {
	c.state = s
	c.trace.add(now, s, note)
}

func (c *Chart) act(a Act) { c.acts = append(c.acts, a) }

// staleLook is how often an inquiry that waits for a thawed node's table looks again.
const staleLook = 10_000

func (c *Chart) begin(now int64) {
	c.cp = c.desk.Table()
	if c.cp != nil && c.cp.Stale && now-c.began < snapshot.MaxStale {
		c.act(Wake{At: now + staleLook})
		return
	}
	c.desk.Counts.Add("inquiries", 1)
	if !c.cp.Ready() {
		c.shed(now, Shed, "this node has no table yet", 1)
		return
	}
	c.trace.cp = c.cp
	x, ok := c.cp.Indexes[c.in.Index]
	if !ok {
		c.shed(now, Unknown, "no such index", 0)
		return
	}
	c.x, c.cut = x, x.Cut.Name
	deadline := c.in.Deadline
	if deadline == 0 {
		deadline = x.Service.DeadlineUs
	}
	deadline = min(deadline, x.Service.MaxDeadlineUs)
	c.end = c.began + deadline - min(deadline/20, marginMost)
	c.to(now, StClassified, c.in.Kind)
	if ok, why := c.desk.letIn(c.cp, x, c.in.Kind, now); !ok {
		c.desk.Counts.Add("over_ceiling", 1)
		c.shed(now, OverCeiling, "the "+why+" of "+c.in.Kind+" is used up", 1)
		return
	} else {
		c.trace.add(now, StLetIn, why)
	}
	if c.in.Key != "" {
		c.claim(now)
		return
	}
	c.letIn(now)
}

func (c *Chart) shed(now int64, code, why string, retry int) {
	c.finish(now, StShed, Outcome{Code: code, Why: why, Ran: "no", Retry: retry})
}

func (c *Chart) finish(now int64, s State, o Outcome) {
	if c.done {
		return
	}
	c.done = true
	o.ID = c.ID()
	c.to(now, s, o.Code)
	for n := range c.tries {
		if t := &c.tries[n]; t.open {
			// What is still out counts against its server as if it took until now.
			c.slowed(now, t)
			c.close(now, n, Reply{})
			c.act(Cancel{N: n})
		}
	}
	if c.pin != nil {
		c.pin.Add(-1)
	}
	c.settleKey(&o)
	c.desk.Counts.Add("outcome_"+o.Code, 1)
	c.desk.Traces.put(c.trace, now, o)
	c.act(Finish{Outcome: o})
}

func (c *Chart) wake(now int64) {
	if c.done {
		return
	}
	at := c.end
	for i := range c.ways {
		w := &c.ways[i]
		if w.open > 0 && !w.done && c.mayHedge(w) {
			at = min(at, w.hedgeAt)
		}
	}
	if c.in.Kind == Search {
		if p := c.patient(); p > now {
			at = min(at, p)
		}
	}
	c.act(Wake{At: max(at, now+1)})
}

func (c *Chart) patient() int64 { return c.began + (c.end-c.began)*patience/100 }

func (c *Chart) mayHedge(w *shardWay) bool {
	return !c.in.Once() && w.tries-w.unwritten < attemptsMost && w.hedgeAt < c.end
}

func (c *Chart) shardsDone() (done, missing []int) {
	done, missing = []int{}, []int{}
	for i := range c.ways {
		if c.ways[i].done {
			done = append(done, i)
		} else {
			missing = append(missing, i)
		}
	}
	slices.Sort(done)
	return done, missing
}
