// The first reading of a process that knows of none: it waits for no duty, since
// after a loss of everything nobody can serve before somebody has read the list.
// The few machines that count read at once, the others only if those did not.

package discovery

import "wallport/runtime/kernel"

// Times of the first reading, in microseconds.
const (
	FirstReadJitter = 150_000
	UncountedDelay  = 500_000
	UncountedJitter = 1_000_000
)

// scheduleFirstRead plans the first reading, where a platform says how often the list may be read.
func (p *Lister) scheduleFirstRead(ctx *kernel.Context) {
	e := &p.k.Boot.Settings
	switch {
	case e.ListInterval <= 0:
	case e.QuorumMember:
		ctx.After(ctx.Rand.Int64N(FirstReadJitter), "listing", "first")
	default:
		ctx.After(UncountedDelay+ctx.Rand.Int64N(UncountedJitter), "listing", "first")
	}
}

// readFirst reads unless a reading has come meanwhile; one that fails is made again, each time later.
func (p *Lister) readFirst(ctx *kernel.Context) {
	if !p.unread {
		return
	}
	if !p.reading && ctx.Now-p.readAt >= p.readInterval(ctx) {
		p.read(ctx)
	}
	ctx.After(UncountedDelay*max(1, p.slowdown)+ctx.Rand.Int64N(UncountedJitter), "listing", "first")
}
