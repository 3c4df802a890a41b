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
func (p *Lister) first(ctx *kernel.Context) {
	e := &p.k.Boot.Settings
	switch {
	case e.ListEvery <= 0:
	case e.Counted:
		ctx.After(ctx.Rand.Int64N(FirstWithin), "listing", "first")
	default:
		ctx.After(OthersAfter+ctx.Rand.Int64N(OthersOver), "listing", "first")
	}
}

// readFirst reads unless a reading has come meanwhile; one that fails is made again, each time later.
func (p *Lister) readFirst(ctx *kernel.Context) {
	if !p.blank {
		return
	}
	if !p.under && ctx.Now-p.polled >= p.every(ctx) {
		p.read(ctx)
	}
	ctx.After(OthersAfter*max(1, p.slower)+ctx.Rand.Int64N(OthersOver), "listing", "first")
}
