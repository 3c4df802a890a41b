// What this node learnt of one backend from its own asks. It outlives
// snapshots. What a backend says of itself or others say of it comes second.

package dispatch

import (
	"sync/atomic"

	"wallport/request/snapshot"
)

type backend struct {
	// open counts this node's asks under way; moved is when the first of them began, or the backend last gave a
	// sign of life.
	open  atomic.Int64
	moved atomic.Int64
	// ratio is what an answer takes relative to its pool, in thousandths, as of sampled.
	ratio, sampled atomic.Int64
	// errs is the share of failures, in thousandths, as of erred; fails counts them in a row.
	errs, erred, fails atomic.Int64
	// out is when it was ejected last, until when that ends, level how many came in a row, good the
	// last answer.
	out, until, level, good atomic.Int64
	// replaced is until when it counts as ended, since another backend answered at its address.
	replaced atomic.Int64
	// mute tells that it was silent when it was ejected.
	mute atomic.Bool
	// load is what the backend has under way by its own word, in thousandths of requests, as of told;
	// usual is its running mean.
	load, told, usual, slots atomic.Int64
	// full is the load at which it turned requests away, in thousandths of requests; 0 is unknown.
	full atomic.Int64
	// cold is until when it is cold, seen when a snapshot last named it.
	cold, seen atomic.Int64
	ramp       ramp
	// given and emptied are of the last view: the listed rest of its cold time, and its zone.
	given   int64
	emptied bool
}

func (d *Desk) backendOf(id string) *backend {
	if v, ok := d.backends.Load(id); ok {
		return v.(*backend)
	}
	b := new(backend)
	b.ratio.Store(1000)
	v, _ := d.backends.LoadOrStore(id, b)
	return v.(*backend)
}

// forget drops backends that no snapshot has named for long.
func (d *Desk) forget(cp *snapshot.Snapshot, there int) {
	n := 0
	d.backends.Range(func(any, any) bool { n++; return true })
	if n <= 2*there+64 {
		return
	}
	d.backends.Range(func(id, v any) bool {
		if b := v.(*backend); b.seen.Load() < cp.At-forgetAfter && b.open.Load() == 0 {
			d.backends.Delete(id)
		}
		return true
	})
}

const forgetAfter = 60_000_000

// listed takes what a snapshot says of the backend. Views are made one after another.
func (b *backend) listed(cp *snapshot.Snapshot, p *snapshot.Pool, s *snapshot.Server, began int64) {
	first := b.seen.Load() == 0
	b.seen.Store(max(1, cp.At))
	if s.Slots > 0 && b.slots.Load() == 0 {
		b.slots.Store(int64(s.Slots))
	}
	was := b.given
	b.given = s.WarmUpRemaining
	switch {
	case s.WarmUpRemaining > 0 && s.WarmUpRemaining != was:
		b.cold.Store(cp.At + s.WarmUpRemaining)
	case first && cp.At-began > settleAfter:
		// A backend that was not there before has just started, whatever the list says.
		b.cold.Store(cp.At + p.SlowStartUs)
	}
	if told := s.Gauge.SlowStartUntil.Load(); told > b.cold.Load() {
		b.cold.Store(told)
	}
	out := s.Health == snapshot.ZoneDrained
	if b.emptied && !out && p.RampPerS > 0 {
		// Those of a zone that is taken back may have turned cold meanwhile.
		b.cold.Store(max(b.cold.Load(), cp.At+p.SlowStartUs))
	}
	b.emptied = out
}

// Figures of the gauges.
const (
	ratioHalf   = 3_000_000
	errsHalf    = 3_000_000
	ejectAfter  = 3
	ejectHigh   = 700_000
	ejectNodes  = 8
	ejectFor    = 400_000
	ejectMost   = 6_000_000
	replacedFor = 6_000_000
	stallLeast  = 25_000
	downWrong   = 700
	stallForget = 20_000_000
	goodFor     = 2_000_000
	coldTimes   = 1600
	ratioLeast  = 250
	ratioMost   = 40_000
	slotsUsual  = 4
	loadForgets = 2
	loadHalf    = 500_000
)

// fade lets a value go halfway to its rest in each half-life.
func fade(v, rest, age, half int64) int64 {
	for ; age >= half && v != rest; age -= half {
		v = rest + (v-rest)/2
	}
	return v - (v-rest)*min(age, half)/half/2
}

// slow is the ratio that is to be expected now: without samples it is forgotten.
func (b *backend) slow(now int64) int64 {
	r := fade(b.ratio.Load(), 1000, max(0, now-b.sampled.Load()), ratioHalf)
	if now < b.cold.Load() {
		r = max(r, coldTimes)
	}
	return r
}

func (b *backend) wrong(now int64) int64 {
	return fade(b.errs.Load(), 0, max(0, now-b.erred.Load()), errsHalf)
}

// began notes an ask.
func (b *backend) began(now int64) {
	if b.open.Add(1) == 1 {
		b.moved.Store(now)
	}
}

// ended notes the end of an ask; told is whether the backend itself gave a sign of life.
func (b *backend) ended(now int64, told bool) {
	b.open.Add(-1)
	if told {
		b.moved.Store(now)
	}
}

// places is how many requests the backend works on at once.
func (b *backend) places() int64 {
	if n := b.slots.Load(); n > 0 {
		return n
	}
	return slotsUsual
}

// stalled tells that asks are under way and none has ended for suspiciously long.
func (b *backend) stalled(now int64, usual int64) bool {
	age := now - b.moved.Load()
	return age > max(stallLeast, usual) && age < stallForget && b.open.Load() > 0
}

// took notes a good answer and how long it took, also net of the wait behind what the backend had
// under way, in thousandths of requests.
// It reports whether the backend was ejected.
func (b *backend) took(now, us, busy int64, st *stats) (out bool) {
	net := us * 1000 / (1000 + wait(busy, b.places(), 1000))
	w := b.wrong(now)
	if out = b.level.Load() > 0; out {
		b.level.Store(0)
		if b.mute.Swap(false) {
			// Silence that is over says little of what it answers now.
			w /= 4
		}
	}
	b.fails.Store(0)
	b.until.Store(0)
	b.good.Store(now)
	b.errs.Store(w - w/4)
	b.erred.Store(now)
	st.took(us, net)
	r := min(ratioMost, max(ratioLeast, net*1000/max(1, st.mid.Load())))
	was := fade(b.ratio.Load(), 1000, max(0, now-b.sampled.Load()), ratioHalf)
	b.ratio.Store(was + (r-was)/5)
	b.sampled.Store(now)
	return out
}

// tells takes the backend's own word of its load.
func (b *backend) tells(now int64, l Load) {
	if !l.Known {
		return
	}
	n := int64(l.Running+l.Waiting) * 1000
	b.usual.Store(b.usual.Load() + (n-b.usual.Load())/8)
	b.load.Store(n)
	b.told.Store(now)
	if l.Slots > 0 {
		b.slots.Store(int64(l.Slots))
	}
}

// busy is what the backend has under way, as far as is known, in thousandths of requests.
func (b *backend) busy(now, work int64) int64 {
	age := max(0, now-b.told.Load())
	usual := fade(b.usual.Load(), 0, age, loadHalf)
	n := fade(b.load.Load(), usual, age, max(1, work*loadForgets))
	return max(n, b.open.Load()*1000)
}
