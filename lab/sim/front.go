// The request path of a simulated node: the product's own chart, its acts
// carried out on the simulated network.

package sim

import (
	"slices"

	"wallport/request/idempotency"
	"wallport/request/search"
)

type run struct {
	chart *search.Chart
	in    *search.Inquiry
	done  func(o *search.Outcome)
	wake  uint64
}

type front struct {
	p    *proc
	runs map[*run]bool
	list []*run
}

func newFront(p *proc) *front { return &front{p: p, runs: map[*run]bool{}} }

// read takes an inquiry that has been read whole; done gets its outcome, or nil if it was cut.
func (f *front) read(in search.Inquiry, done func(o *search.Outcome)) {
	r := &run{in: &in, done: done}
	// Of a frozen process it is there, unread, until the process thaws or ends.
	f.runs[r] = true
	f.list = append(f.list, r)
	f.p.feed(func() {
		r.chart = search.NewChart(f.p.desk, in, f.p.now())
		f.step(r, search.Begin{})
	})
}

// lose is the end of the process: every inquiry read and not answered is cut.
func (f *front) lose() {
	list := f.list
	f.list = nil
	for _, r := range list {
		if f.runs[r] {
			delete(f.runs, r)
			r.done(nil)
		}
	}
}

func (f *front) step(r *run, ev search.Event) {
	if !f.runs[r] {
		return
	}
	acts := r.chart.Step(f.p.now(), ev)
	if at := f.p.freezeAt; at != "" && r.chart.State() == at {
		// What the step asked for is done before the process stops running, or after.
		f.p.freezeAt = ""
		f.p.w.Judge.Count("frozen_at."+string(at), 1)
		f.p.w.after(0, f.p.freeze)
		f.p.w.after(f.p.freezeFor, f.p.thaw)
	}
	for _, a := range acts {
		f.act(r, a)
	}
}

func (f *front) act(r *run, a search.Act) {
	p := f.p
	switch v := a.(type) {
	case search.Ask:
		f.seen(&v)
		life := p.life
		p.w.asked(p, &v, func(rep search.Reply) {
			if p.life == life {
				p.feed(func() { f.step(r, search.Replied{N: v.N, Reply: rep}) })
			}
		})
	case search.Wake:
		r.wake++
		mine := r.wake
		p.later(v.At-p.now(), func() {
			if r.wake == mine {
				f.step(r, search.Due{})
			}
		})
	case search.Claim:
		p.call("idempotency", idempotency.Admit{Key: v.Key, Index: v.Index, Digest: v.Sum, FirstAttempt: v.First, Timeout: v.Within, Repeatable: v.Again}, func(ans any) {
			if s, in := search.LateClaim(v.Key, ans.(search.Verdict)); in && !f.runs[r] {
				f.act(r, s)
				return
			}
			f.step(r, search.Claimed{Verdict: ans.(search.Verdict)})
		})
	case search.Settle:
		p.call("idempotency", idempotency.RecordOutcome{Key: v.Key, Code: v.Code, Token: v.Token, Attempted: v.Tried, Outcome: v.Outcome}, nil)
	case search.Finish:
		delete(f.runs, r)
		f.list = slices.DeleteFunc(f.list, func(o *run) bool { return o == r })
		o := v.Outcome
		r.done(&o)
	}
}

// seen tells the judge of work that leaves this node.
func (f *front) seen(a *search.Ask) {
	w := f.p.w
	// By what reaches the servers, whatever the node takes it for.
	again := w.calls.asked(a) || a.Again
	if f.p.isolated {
		// It can hear of no sheet and no zone call; the platform's list it reads itself.
		w.Judge.Count("asks_of_isolated", 1)
		if w.lonely == 1 && !w.net.cut(f.p.name, "platform") {
			w.Judge.AskedAlone(a.Server.ID, w.now, w.now-f.p.aloneAt)
		}
	} else {
		w.Judge.Asked(a.Inquiry.Index, a.Server.ID, a.Server.Zone, w.now, again, a.Instead)
	}
	w.Judge.Count("asks", 1)
	if again && !a.Instead {
		w.Judge.Count("extra_tries", 1)
	}
	w.cold(f.p, a)
}

// cold judges ramps where a shard has warm servers beside a cold one.
func (w *World) cold(node *proc, a *search.Ask) {
	good, warm := 0, 0
	zones := map[string]int{}
	var cold []*server
	for _, id := range w.serverN {
		s := w.servers[id]
		if !s.up || s.row.ShardMap != a.Cut || s.row.Shard != a.Shard || s.mode != "" || s.row.State == "leaving" {
			continue
		}
		good++
		zones[s.row.Zone]++
		if w.now-s.born >= rampUs {
			warm++
		} else {
			cold = append(cold, s)
		}
	}
	if warm == 0 {
		return
	}
	for _, s := range cold {
		w.Judge.Cold(s.row.ID, s.born, rampUs, w.now, s.row.ID == a.Server.ID, fairShare(node.env.Zone, s.row.Zone, zones, good))
	}
}

// fairShare is what a warm server of a zone gets of one ask, in thousandths: of the two
// that are drawn one is of the node's own zone where it has any.
func fairShare(mine, its string, zones map[string]int, good int) int64 {
	switch n := zones[mine]; {
	case n == 0:
		return 1000 / int64(good)
	case mine == its:
		return 500/int64(n) + 500/int64(good)
	default:
		return 500 / int64(good)
	}
}
