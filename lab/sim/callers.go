// Simulated callers: searches, reads, corrections and part fetches at a steady
// rate; some repeat, under the same key, through another node.

package sim

import (
	"fmt"

	"wallport/control/config"
	"wallport/lab/records"
	"wallport/request/search"
)

type callers struct {
	w      *World
	rate   int64
	n      int64
	ready  []*proc
	repeat int64
	// again is the share of searches and reads that are sent again, under a key.
	again int64
	// skew is the share that goes to two nodes; mix weighs the kinds.
	skew int64
	mix  []int64
	// reached holds keys, and keys with a shard, of which a server was asked.
	reached map[string]bool
	// sends counts how often a key was read by some node; refused are those told to be repeats.
	sends   map[string]int
	refused map[string]bool
	open    int
	until   int64
}

func (c *callers) init(w *World) {
	c.w, c.rate, c.repeat = w, w.Script.Int("rate", 100), w.Script.Int("repeat_percent", 10)
	c.skew, c.mix = w.Script.Int("skew", 0), []int64{8, 2, 1, 1}
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
	in := search.Inquiry{
		Index: s.Index, Kind: search.Search, Query: fmt.Sprintf("q%d", rnd.IntN(200)), Limit: 5 + rnd.IntN(20),
		Record: records.ID(rnd.IntN(records.Size)), Deadline: s.Least + rnd.Int64N(s.Most-s.Least+1),
	}
	in.Kind = c.kind()
	if other := c.w.other(); other != "" && rnd.IntN(3) == 0 {
		in.Index = other
	}
	if in.Once() {
		in.Key = fmt.Sprintf("key-%d", c.n)
		in.Body = "correction"
		in.Sum = search.SumOf(&in)
	}
	tries := 1
	in.First = in.Once() && c.w.Script.Text("first_word", "") == "yes"
	if in.Once() && rnd.Int64N(100) < c.repeat {
		tries += 1 + rnd.IntN(3)
	}
	if !in.Once() && in.Index == s.Index && c.again > 0 && rnd.Int64N(100) < c.again {
		in.Key = fmt.Sprintf("key-%d", c.n)
		tries += 1 + rnd.IntN(3)
	}
	c.send(in, tries, rnd.Int64N(2) == 0)
}

// send asks a node; a caller that repeats does so under the same key: eagerly,
// not waiting for the answer, or after a failure.
func (c *callers) send(in search.Inquiry, tries int, eager bool) {
	w := c.w
	p := c.node()
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
		if !p.up || p.life != life || !p.table.Current().Ready() || p.drains && !p.frozen && w.rnd.IntN(2) == 0 {
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
		read := w.now
		p.front.read(in, func(o *search.Outcome) {
			w.Judge.Came(in.Kind, read, o == nil || o.Code != search.OverCeiling || o.Why == search.RepeatOver)
			c.open--
			c.judge(p, &in, o, sent, planned || p.drains)
			switch {
			case o == nil && in.Key != "":
				// Cut off without a word: every caller repeats that.
				w.after(500_000, func() { c.send(repeat, max(tries, 12), false) })
			case !eager && (o == nil || o.Code != search.OK):
				again(500_000)
			}
		})
	})
}

// kind draws one by the mix: two thirds are searches unless a scenario says otherwise.
func (c *callers) kind() string {
	sum := int64(0)
	for _, n := range c.mix {
		sum += n
	}
	r := c.w.rnd.Int64N(sum)
	for i, n := range c.mix {
		if r -= n; r < 0 {
			return config.Kinds[i]
		}
	}
	return search.Search
}

func (c *callers) node() *proc {
	if c.skew > 0 && c.w.rnd.Int64N(100) < c.skew {
		return c.ready[c.w.rnd.IntN(min(2, len(c.ready)))]
	}
	return c.ready[c.w.rnd.IntN(len(c.ready))]
}
