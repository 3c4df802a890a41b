package configsync

import (
	"slices"

	"wallport/control/state"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Bounds of the wait for confirmed state.
const (
	// UnconfirmedTimeout is how long a process that has just started waits, counted from when it first has
	// state to serve, for a core in contact with a majority. There may be none: a majority's disks may be lost.
	UnconfirmedTimeout = 5 * clock.Second
	// NewCoreTimeout extends that wait for a core that became known only lately.
	NewCoreTimeout = 2 * clock.Second
	// MaxUnconfirmedWait ends the wait however many cores become known.
	MaxUnconfirmedWait = 8 * clock.Second
	// MaxReplyAge is the longest time between a pull and its reply for the reply to confirm anything. An older
	// reply may have been delayed by a network partition, during which the state was replaced.
	MaxReplyAge = 2 * clock.Second
	// StartupPullInterval is the time between two pulls until the configuration is confirmed.
	StartupPullInterval = 200 * clock.Millisecond
	// StartupPullFanout is how many cores each of these pulls goes to, except for the first: that goes to
	// one core, which mostly suffices and sends all versions.
	StartupPullFanout = 2
)

// contact is what replies to pulls told of contact with majorities.
type contact struct {
	// confirmed has a bit for each partition that a core in contact with a majority has answered for.
	confirmed uint32
	// firstStoredAt is when this process first had a version; 0 before that.
	firstStoredAt clock.Micros
	// coreDiscoveredAt is when the newest of the known cores became known.
	coreDiscoveredAt clock.Micros
	// withoutContact are the cores whose last reply told of no contact for the configuration.
	withoutContact map[string]bool
	// rotation counts the pulls sent while starting; they go round the cores.
	rotation int
}

func partitionBit(partition int) uint32 { return 1 << uint(partition) }

// Confirmed reports whether a partition may be served: since this process started, a core in contact with a majority
// has answered, or the wait for one is over. Once true it stays true.
func (p *Sync) Confirmed(partition int, now clock.Micros) bool {
	return p.contact.confirmed&partitionBit(partition) != 0 || p.confirmationTimedOut(now)
}

// InContact reports whether a core in contact with a majority for the configuration has answered since the start.
func (p *Sync) InContact() bool {
	return p.contact.confirmed&partitionBit(state.ConfigPartition) != 0
}

// confirmationTimedOut reports whether the wait for confirmed state is over.
func (p *Sync) confirmationTimedOut(now clock.Micros) bool {
	stored := p.contact.firstStoredAt
	until := max(stored+UnconfirmedTimeout, p.contact.coreDiscoveredAt+NewCoreTimeout)
	return stored > 0 && now >= min(until, stored+MaxUnconfirmedWait)
}

// starting reports whether this process has just started and still looks for a core in contact with a majority.
func (p *Sync) starting(now clock.Micros) bool {
	return !p.InContact() && !p.confirmationTimedOut(now)
}

// startupCores selects the cores for a pull of a process that has just started. Successive pulls go
// round all candidates, those of the own zone first.
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

// recordContact records the contact that a core's reply tells of, and emits [Pulled].
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
