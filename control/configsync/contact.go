// Which of what this process holds is confirmed: answered by a core that was in
// contact with a majority. A process that has just started serves nothing else,
// unless no core that it reaches has such contact for a stated while.

package configsync

import (
	"slices"

	"wallport/control/state"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Bounds of confirmation, in microseconds.
const (
	// UnconfirmedAfter is how long a process that has just started waits, from when it first holds
	// something to serve, for a core in contact with a majority: a majority's disks may be gone.
	UnconfirmedAfter = 5_000_000
	// AskedFor is how long a core that just became known is waited for beyond that, and UnconfirmedMost
	// the end of all waiting.
	AskedFor        = 2_000_000
	UnconfirmedMost = 8_000_000
	// AnswerWithin is how old a question may be whose answer confirms: one that a cut held up does not.
	AnswerWithin = 2_000_000
	// FreshEvery is the time between two pulls until the configuration is confirmed. The first asks one
	// core, which mostly will do and sends all versions; the others ask FreshCores.
	FreshEvery = 200_000
	FreshCores = 2
)

// contact is what the answers to pulls told of majorities.
type contact struct {
	confirmed uint32
	// heldAt is when a version was first held here.
	heldAt int64
	// knownAt is when a core was first heard of last.
	knownAt int64
	// without are the cores whose last answer told of no contact for the configuration.
	without map[string]bool
	// next rotates over the cores that a process asks that has just started.
	next int
}

func partitionBit(partition int) uint32 { return 1 << uint(partition) }

// Confirmed reports whether a partition may be served: a core in contact with a majority has answered since
// this process started, or none that it reaches has such contact. Once true it stays true.
func (p *Sync) Confirmed(partition int, now int64) bool {
	return p.contact.confirmed&partitionBit(partition) != 0 || p.waitedLong(now)
}

// InContact reports whether a core in contact with a majority for the configuration has answered since the start.
func (p *Sync) InContact() bool { return p.contact.confirmed&partitionBit(state.ConfigPartition) != 0 }

// waitedLong tells that confirmed state need not be waited for any longer.
func (p *Sync) waitedLong(now int64) bool {
	held := p.contact.heldAt
	until := max(held+UnconfirmedAfter, p.contact.knownAt+AskedFor)
	return held > 0 && now >= min(until, held+UnconfirmedMost)
}

// fresh tells that this process has just started and looks for a core in contact with a majority.
func (p *Sync) fresh(now int64) bool {
	return !p.InContact() && !p.waitedLong(now)
}

// several picks the cores that a process asks that has just started: all in turn, those of the own
// zone first.
func (p *Sync) several(cores []string) []string {
	order := slices.SortedFunc(slices.Values(cores), p.rank)
	most := FreshCores
	if p.contact.next == 0 {
		most = 1
	}
	var out []string
	for range min(most, len(order)) {
		out = append(out, order[p.contact.next%len(order)])
		p.contact.next++
	}
	return out
}

// answered takes note of the contact that a core's answer tells of, and passes it on.
func (p *Sync) answered(ctx *kernel.Context, asked sentPull, r *wire.PullReply) {
	contact := r.ContactMask | r.RelayedMask
	if ctx.Now-asked.at > AnswerWithin {
		ctx.Counts.Add("pulls_answered_late", 1)
		r.ContactMask, contact = 0, 0
	}
	delete(p.contact.without, asked.addr)
	if contact&partitionBit(state.ConfigPartition) == 0 {
		p.contact.without[asked.addr] = true
		ctx.Counts.Add("pulls_without_contact", 1)
	}
	p.contact.confirmed |= contact
	ctx.Emit(Pulled{AskedAt: asked.at, Contact: r.ContactMask, Confirmed: contact})
}
