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
	// UnconfirmedTimeout is how long a process that has just started waits, from when it first holds
	// something to serve, for a core in contact with a majority: a majority's disks may be gone.
	UnconfirmedTimeout = 5_000_000
	// NewCoreTimeout is how long a core that just became known is waited for beyond that, and MaxUnconfirmedWait
	// the end of all waiting.
	NewCoreTimeout     = 2_000_000
	MaxUnconfirmedWait = 8_000_000
	// MaxReplyAge is how old a question may be whose answer confirms: one that a cut held up does not.
	MaxReplyAge = 2_000_000
	// StartupPullInterval is the time between two pulls until the configuration is confirmed. The first asks one
	// core, which mostly will do and sends all versions; the others ask StartupPullFanout.
	StartupPullInterval = 200_000
	StartupPullFanout   = 2
)

// contact is what the answers to pulls told of majorities.
type contact struct {
	confirmed uint32
	// firstStoredAt is when a version was first held here.
	firstStoredAt int64
	// coreDiscoveredAt is when a core was first heard of last.
	coreDiscoveredAt int64
	// withoutContact are the cores whose last answer told of no contact for the configuration.
	withoutContact map[string]bool
	// rotation rotates over the cores that a process asks that has just started.
	rotation int
}

func partitionBit(partition int) uint32 { return 1 << uint(partition) }

// Confirmed reports whether a partition may be served: a core in contact with a majority has answered since
// this process started, or none that it reaches has such contact. Once true it stays true.
func (p *Sync) Confirmed(partition int, now int64) bool {
	return p.contact.confirmed&partitionBit(partition) != 0 || p.confirmationTimedOut(now)
}

// InContact reports whether a core in contact with a majority for the configuration has answered since the start.
func (p *Sync) InContact() bool { return p.contact.confirmed&partitionBit(state.ConfigPartition) != 0 }

// confirmationTimedOut tells that confirmed state need not be waited for any longer.
func (p *Sync) confirmationTimedOut(now int64) bool {
	held := p.contact.firstStoredAt
	until := max(held+UnconfirmedTimeout, p.contact.coreDiscoveredAt+NewCoreTimeout)
	return held > 0 && now >= min(until, held+MaxUnconfirmedWait)
}

// starting tells that this process has just started and looks for a core in contact with a majority.
func (p *Sync) starting(now int64) bool {
	return !p.InContact() && !p.confirmationTimedOut(now)
}

// startupCores picks the cores that a process asks that has just started: all in turn, those of the own
// zone first.
func (p *Sync) startupCores(cores []string) []string {
	order := slices.SortedFunc(slices.Values(cores), p.compareCores)
	most := StartupPullFanout
	if p.contact.rotation == 0 {
		most = 1
	}
	var out []string
	for range min(most, len(order)) {
		out = append(out, order[p.contact.rotation%len(order)])
		p.contact.rotation++
	}
	return out
}

// recordContact takes note of the contact that a core's answer tells of, and passes it on.
func (p *Sync) recordContact(ctx *kernel.Context, asked pendingPull, r *wire.PullReply) {
	contact := r.ContactMask | r.RelayedMask
	if ctx.Now-asked.sentAt > MaxReplyAge {
		ctx.Counts.Add("pulls_answered_late", 1)
		r.ContactMask, contact = 0, 0
	}
	delete(p.contact.withoutContact, asked.addr)
	if contact&partitionBit(state.ConfigPartition) == 0 {
		p.contact.withoutContact[asked.addr] = true
		ctx.Counts.Add("pulls_without_contact", 1)
	}
	p.contact.confirmed |= contact
	ctx.Emit(Pulled{SentAt: asked.sentAt, Contact: r.ContactMask, Confirmed: contact})
}
