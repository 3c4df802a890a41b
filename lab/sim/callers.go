// Simulated callers: searches, reads, corrections and part fetches at a steady
// rate; some repeat, under the same key, through another node.
package sim

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"wallport/inquiry"
	"wallport/lab/check"
	"wallport/lab/records"
)

type callers struct {
	w      *World
	rate   int64
	n      int64
	ready  []*proc
	repeat int64
	// again is the share of searches and reads that are sent again, under a key.
	again int64
	// reached holds keys, and keys with a shard, of which a server was asked.
	reached map[string]bool
	// sends counts how often a key was read by some node; refused are those told to be repeats.
	sends   map[string]int
	refused map[string]bool
	open    int
	begun   bool
	until   int64
}

func (c *callers) init(w *World) {
	c.w, c.rate, c.repeat = w, w.Script.Int("rate", 100), w.Script.Int("repeat_percent", 10)
	c.again, c.reached = w.Script.Int("repeat_searches", 0), map[string]bool{}
	c.sends, c.refused = map[string]int{}, map[string]bool{}
	c.until = w.Script.Int("seconds", 30)*1_000_000 - w.Shape.Most - 1_000_000
}

func (c *callers) begin() {
	c.w.at(c.w.Script.Int("callers_from_us", 10_000_000), func() { c.next() })
	c.handOut()
}

// handOut learns three times a second which nodes are ready.
func (c *callers) handOut() {
	c.w.after(300_000, c.handOut)
	if r := c.w.plat.ready(); len(r) > 0 {
		c.ready = r
	}
}

func (c *callers) next() {
	if c.w.now >= c.until || c.rate <= 0 {
		return
	}
	gap := 1_000_000 / c.rate
	c.w.after(gap/2+c.w.rnd.Int64N(gap+1), c.next)
	if len(c.ready) == 0 {
		c.w.Judge.Count("callers_without_node", 1)
		return
	}
	c.n++
	rnd := c.w.rnd
	s := c.w.Shape
	in := inquiry.Inquiry{
		Index: s.Index, Kind: inquiry.Search, Query: fmt.Sprintf("q%d", rnd.IntN(200)), Limit: 5 + rnd.IntN(20),
		Record: records.ID(rnd.IntN(records.Size)), Deadline: s.Least + rnd.Int64N(s.Most-s.Least+1),
	}
	switch r := rnd.IntN(12); {
	case r < 8:
	case r < 10:
		in.Kind = inquiry.Read
	case r < 11:
		in.Kind = inquiry.Correct
	default:
		in.Kind = inquiry.Part
	}
	if in.Once() {
		in.Key = fmt.Sprintf("key-%d", c.n)
		in.Body = "correction"
		in.Sum = inquiry.SumOf(&in)
	}
	tries := 1
	in.First = in.Once() && c.w.Script.Text("first_word", "") == "yes"
	if in.Once() && rnd.Int64N(100) < c.repeat {
		tries += 1 + rnd.IntN(3)
	}
	if !in.Once() && c.again > 0 && rnd.Int64N(100) < c.again {
		in.Key = fmt.Sprintf("key-%d", c.n)
		tries += 1 + rnd.IntN(3)
	}
	c.send(in, tries, rnd.Int64N(2) == 0)
}

// send asks a node; a caller that repeats does so under the same key: eagerly,
// not waiting for the answer, or after a failure.
func (c *callers) send(in inquiry.Inquiry, tries int, eager bool) {
	w := c.w
	p := c.ready[w.rnd.IntN(len(c.ready))]
	sent := w.now
	c.open++
	repeat := in
	repeat.First = false
	again := func(d int64) {
		if tries > 1 {
			w.after(d, func() { c.send(repeat, tries-1, eager) })
		}
	}
	if eager {
		again(w.rnd.Int64N(c.w.Script.Int("eager_us", 300_000)))
	}
	life := p.life
	w.after(w.net.latency(), func() {
		if !p.up || p.life != life || !p.table.Now().Ready() || p.drains && !p.frozen && w.rnd.IntN(2) == 0 {
			c.open--
			w.Judge.Count("callers_refused_connection", 1)
			if in.Key != "" && w.now < c.until {
				// No one was there to read it: try until someone is.
				w.after(200_000+w.rnd.Int64N(600_000), func() { c.send(in, tries, eager) })
			}
			return
		}
		planned := p.drains
		c.sends[in.Key]++
		p.front.read(in, func(o *inquiry.Outcome) {
			c.open--
			c.judge(p, &in, o, sent, planned || p.drains)
			switch {
			case o == nil && in.Key != "":
				// Cut off without a word: every caller repeats that.
				w.after(500_000, func() { c.send(repeat, max(tries, 12), false) })
			case !eager && (o == nil || o.Code != inquiry.OK):
				again(500_000)
			}
		})
	})
}

func (c *callers) judge(p *proc, in *inquiry.Inquiry, o *inquiry.Outcome, sent int64, planned bool) {
	w := c.w
	if o == nil {
		w.Judge.Count("outcome.cut", 1)
		w.Judge.Cut(p.name, w.now, planned && !w.killed[p.name])
		return
	}
	w.note(p.name + " " + o.ID + " " + in.Kind + " " + in.Key + " " + o.Code + " " + o.Why)
	w.Judge.Count("outcome."+o.Code, 1)
	w.Judge.Count("outcome."+in.Kind+"."+o.Code, 1)
	if took := w.now - sent; took > in.Deadline+100_000 {
		w.Judge.Count("late", 1)
	}
	if o.Ran == "no" && in.Key != "" && (o.Code == inquiry.Shed || o.Code == inquiry.OverCeiling || o.Code == inquiry.GivenUp) && c.lone(in) {
		w.Judge.Refused(in.Key, w.now)
	}
	if (o.Code == inquiry.Shed || o.Code == inquiry.OverCeiling || o.Code == inquiry.GivenUp) && o.Retry == 0 {
		w.Judge.Fail("no_retry_after", w.now, "%s %s has no Retry-After", o.ID, o.Code)
	}
	w.healed(o, sent)
	w.Judge.Proper(o, w.now, c.mayRefuse(in, o))
	if o.Code != inquiry.OK {
		return
	}
	w.Judge.Served(w.now)
	if o.Repeat {
		w.Judge.Count("repeats_answered", 1)
		return
	}
	if in.Kind != inquiry.Search {
		w.Judge.Single(in.Record, o, w.now)
		return
	}
	if len(o.Missing) > 0 {
		w.Judge.Count("partial", 1)
	}
	w.Judge.Search(in.Index, in.Query, in.Limit, 75, o, w.cuts, w.now)
}

// lone tells that no other try of the same key can be under way or have run:
// only then does a refusal bind the key.
func (c *callers) lone(in *inquiry.Inquiry) bool { return c.repeat == 0 || in.Kind == inquiry.Search }

// mayRefuse tells whether the world gave a reason to refuse: the scenario says
// so, no server of a needed shard is there, or the key's homes cannot vouch.
func (c *callers) mayRefuse(in *inquiry.Inquiry, o *inquiry.Outcome) string {
	w := c.w
	if w.Script.Text("may_refuse", "") != "" {
		return "scenario"
	}
	if in.Once() && in.Key != "" && strings.HasPrefix(o.Why, inquiry.ClaimsShort) {
		return "claims"
	}
	if o.Why == inquiry.RepeatOver && c.sends[in.Key] > 1 {
		c.refused[in.Key] = true
		return "repeat"
	}
	for _, n := range w.cuts {
		shard := -1
		if in.Kind != inquiry.Search {
			shard = inquiry.ShardOf(in.Record, n)
		}
		if w.noServer(n, shard) {
			return "no_server"
		}
	}
	return ""
}

// asked notes that a server is asked, and tells whether one was asked the same before.
func (c *callers) asked(a *inquiry.Ask) bool {
	key := a.Inquiry.Key
	if key == "" {
		return false
	}
	c.reached[key] = true
	at := fmt.Sprintf("%s/%d", key, a.Shard)
	was := c.reached[at]
	c.reached[at] = true
	return was
}

func (c *callers) finish() {
	for _, key := range slices.Sorted(maps.Keys(c.refused)) {
		if !c.reached[key] {
			c.w.Judge.Fail(check.ProperShed, c.w.now, "%s was refused as a repeat and no server was ever asked", key)
		}
	}
	c.w.Judge.Count("callers_sent", c.n)
	c.w.Judge.Count("callers_open", int64(c.open))
}
