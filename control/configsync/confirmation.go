package configsync

import (
	"slices"

	"wallport/control/state"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Bounds of the time for which a process that has just started waits until a core confirms its state.
const (
	// UnconfirmedTimeout is how long a process that has just started waits for a core in contact with a majority,
	// counted from when it first has state to serve. There may be no such core: the disks of a majority may be lost.
	UnconfirmedTimeout = 5 * clock.Second
	// NewCoreTimeout is the minimum time for which the wait continues after a core has been discovered.
	NewCoreTimeout = 2 * clock.Second
	// MaxUnconfirmedWait bounds the whole wait, counted like UnconfirmedTimeout, even if more cores are discovered.
	MaxUnconfirmedWait = 8 * clock.Second
	// MaxReplyAge is the maximum time between a pull and a reply that can confirm state. A later reply may have been
	// delayed by a network partition during which the state was replaced.
	MaxReplyAge = 2 * clock.Second
	// StartupPullInterval is the interval between pulls until the configuration is confirmed.
	StartupPullInterval = 200 * clock.Millisecond
	// StartupPullFanout is the number of cores that each pull is sent to until the configuration is confirmed. The
	// first pull is sent to only one core, because its reply contains all versions and one reply is usually enough.
	StartupPullFanout = 2
)

// contact is the state of the wait for a reply from a core that is in contact with a majority.
type contact struct {
	// confirmed has a bit for each partition that a core in contact with a majority has confirmed.
	confirmed uint32
	// firstStoredAt is when the first version was stored in this process, or 0 if none has been stored yet.
	firstStoredAt clock.Micros
	// coreDiscoveredAt is when a core was last discovered.
	coreDiscoveredAt clock.Micros
	// withoutContact has the addresses of the cores whose last reply did not confirm contact for the configuration partition.
	withoutContact map[string]bool
	// rotation counts the cores selected by startupCores, which cycles through the candidates.
	rotation int
}

func partitionBit(partition int) uint32 { return 1 << uint(partition) }

// Confirmed reports whether a partition may be served: either a core in contact with a majority has replied since this
// process started, or the wait for such a core is over. A partition that is confirmed by a core stays confirmed.
func (p *Sync) Confirmed(partition int, now clock.Micros) bool {
	return p.contact.confirmed&partitionBit(partition) != 0 || p.confirmationTimedOut(now)
}

// InContact reports whether a core in contact with a majority of the configuration partition's voters has replied since
// this process started.
func (p *Sync) InContact() bool {
	return p.contact.confirmed&partitionBit(state.ConfigPartition) != 0
}

// confirmationTimedOut reports whether the wait for confirmed state is over.
func (p *Sync) confirmationTimedOut(now clock.Micros) bool {
	stored := p.contact.firstStoredAt
	until := max(stored+UnconfirmedTimeout, p.contact.coreDiscoveredAt+NewCoreTimeout)
	return stored > 0 && now >= min(until, stored+MaxUnconfirmedWait)
}

// starting reports whether this process has just started and still waits for a core in contact with a majority.
func (p *Sync) starting(now clock.Micros) bool {
	return !p.InContact() && !p.confirmationTimedOut(now)
}

// startupCores selects the cores for a pull of a process that has just started. Successive pulls cycle through all
// candidates, starting with those in this process's zone.
func (p *Sync) startupCores(candidates []string) []string {
	order := slices.SortedFunc(slices.Values(candidates), p.compareCores)
	fanout := StartupPullFanout
	if p.contact.rotation == 0 {
		fanout = 1
	}
	var selected []string
	for range min(fanout, len(order)) {
		selected = append(selected, order[p.contact.rotation%len(order)])
		p.contact.rotation++
	}
	return selected
}

// recordContact records the contact that a core reports in its reply, and emits [Pulled].
func (p *Sync) recordContact(ctx *kernel.Context, pull pendingPull, reply *wire.PullReply) {
	confirmed := reply.ContactMask | reply.RelayedMask
	if ctx.Now-pull.sentAt > MaxReplyAge {
		ctx.Counts.Add("pulls_answered_late", 1)
		reply.ContactMask, confirmed = 0, 0
	}
	delete(p.contact.withoutContact, pull.addr)
	if confirmed&partitionBit(state.ConfigPartition) == 0 {
		p.contact.withoutContact[pull.addr] = true
		ctx.Counts.Add("pulls_without_contact", 1)
	}
	p.contact.confirmed |= confirmed
	ctx.Emit(Pulled{SentAt: pull.sentAt, Contact: reply.ContactMask, Confirmed: confirmed})
}
