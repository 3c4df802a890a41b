// The first reading of a process that knows of none: it waits for no duty, since
// after a loss of everything nobody can serve before somebody has read the list.
// The few machines that count read at once, the others only if those did not.
package discovery

import "wallport/runtime/kernel"

// Times of the first reading, in microseconds.
const (
	FirstWithin = 150_000
	OthersAfter = 500_000
	OthersOver  = 1_000_000
)

// first plans the first reading, where a platform says how often the list may be read.
func (p *Lister) first(t *kernel.Context) {
	e := &p.k.Boot.Env
	switch {
	case e.ListEvery <= 0:
	case e.Counted:
		t.After(t.Rand.Int64N(FirstWithin), "listing", "first")
	default:
		t.After(OthersAfter+t.Rand.Int64N(OthersOver), "listing", "first")
	}
}

// readFirst reads unless a reading has come meanwhile; one that fails is made again, each time later.
func (p *Lister) readFirst(t *kernel.Context) {
	if !p.blank {
		return
	}
	if !p.under && t.Now-p.polled >= p.every(t) {
		p.read(t)
	}
	t.After(OthersAfter*max(1, p.slower)+t.Rand.Int64N(OthersOver), "listing", "first")
}
