package discovery

import (
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
)

// Delays of the first reading after start.
const (
	// FirstReadJitter bounds the random delay of a quorum member.
	FirstReadJitter = 150 * clock.Millisecond
	// NonMemberDelay is the minimum delay of other nodes, NonMemberJitter bounds its random part.
	NonMemberDelay  = 500 * clock.Millisecond
	NonMemberJitter = 1 * clock.Second
)

// scheduleFirstRead sets the timer of the first reading if the settings specify a read interval. A node
// without a list does not wait for the lease: after a loss of the whole fleet no node can serve, and no
// lease can be granted, until one node has read the list. Quorum members read almost immediately, other nodes
// only if no quorum member has read the list by then.
func (p *Lister) scheduleFirstRead(ctx *kernel.Context) {
	settings := &p.k.Boot.Settings
	switch {
	case settings.ListInterval <= 0:
	case settings.QuorumMember:
		ctx.After(ctx.Rand.Int64N(FirstReadJitter), pluginName, timerFirstRead)
	default:
		ctx.After(NonMemberDelay+ctx.Rand.Int64N(NonMemberJitter), pluginName, timerFirstRead)
	}
}

// readFirst reads the list, with retries and backoff, until some node has announced a list.
func (p *Lister) readFirst(ctx *kernel.Context) {
	if !p.listUnknown {
		return
	}
	if !p.reading && ctx.Now-p.readAt >= p.readInterval(ctx) {
		p.read(ctx)
	}
	ctx.After(NonMemberDelay*max(1, p.slowdown)+ctx.Rand.Int64N(NonMemberJitter), pluginName, timerFirstRead)
}
