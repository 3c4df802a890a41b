// Bootstrapping a fleet on empty disks. A replica syncs its consent to one formation at a
// time, a formation needs all of its replicas, and only the replica that proposed it
// completes it, or withdraws it and so frees the others. Nobody proposes one
// while any reachable process knows of a formed fleet.

package replica

import (
	"cmp"
	"fmt"
	"slices"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of bootstrap.
const (
	// BootstrapAfter is how long an empty core listens before it proposes: processes that know of
	// a fleet dial a seed that did not answer once in two seconds (mesh.SeedBackoff).
	BootstrapAfter = 4_000_000
	// ProposeInterval is how often a proposal is repeated.
	ProposeInterval = 200_000
	// WithdrawAfter is how long a proposal may miss a consent before it is withdrawn.
	WithdrawAfter = 2_500_000
)

func (h *Host) bootstrapTick(ctx *kernel.Context) {
	if h.replicaID == "" || h.diskProblem != "" || h.stopping {
		return
	}
	// A node that still has a version in force knows of a formed fleet as well:
	// its group is rebuilt by an operator's word or not at all.
	for partition := range Partitions {
		if v, ok := h.mesh.Partition(partition); ok && v.Version.Term > 0 {
			h.joinFleet(ctx)
			return
		}
	}
	settings := &h.kernel.Boot.Settings
	for _, core := range h.liveCores(ctx.Now) {
		if !core.Bootstrapped {
			continue
		}
		// While a platform has its fleet formed, the replicas learn of it one by one; who is not
		// among them is a standby once a version is there.
		if !settings.BootstrapKnown {
			h.joinFleet(ctx)
		}
		return
	}
	switch {
	case h.bootstrap.BootstrapID == "":
		if at := ctx.Now - h.startedAt; settings.BootstrapKnown || at >= BootstrapAfter {
			h.planBootstrap(ctx)
		}
	case h.bootstrap.Proposer.ID == h.replicaID && ctx.Now-h.bootstrapSentAt >= ProposeInterval:
		if ctx.Now-h.bootstrapPlannedAt > WithdrawAfter && !h.completing {
			h.withdrawBootstrap(ctx)
			return
		}
		h.proposeBootstrap(ctx)
	}
}

// joinFleet makes an unformed core a standby of the fleet that it found. Where the
// found fleet is the one it consented to, its leaders bring it the versions.
func (h *Host) joinFleet(ctx *kernel.Context) {
	if h.bootstrapped {
		return
	}
	h.bootstrapped = true
	h.publishMember()
	ctx.Log(kernel.LevelInfo, "core_spare", "seat", h.replicaID)
}

// planBootstrap proposes a formation, if this core is the one to do so and enough others are known.
func (h *Host) planBootstrap(ctx *kernel.Context) {
	cores := h.standbys(ctx.Now)
	cores = slices.DeleteFunc(cores, func(c wire.Replica) bool { return h.refusers[c.ID] })
	slices.SortFunc(cores, func(a, b wire.Replica) int { return cmp.Compare(a.ID, b.ID) })
	seats, ok := h.chooseBootstrapVoters(ctx, cores)
	if !ok {
		return
	}
	f := wire.Bootstrap{BootstrapID: fmt.Sprintf("%016x", ctx.Rand.Uint64()), Voters: seats}
	f.Proposer = wire.Replica{ID: h.replicaID, Zone: h.kernel.Boot.Settings.Zone, Addr: h.kernel.Boot.Settings.Mesh}
	h.bootstrapPlannedAt = ctx.Now
	ctx.Log(kernel.LevelInfo, "formation_planned", "formation", f.BootstrapID, "seats", len(seats))
	h.saveConsent(ctx, f, func(ctx *kernel.Context, ok bool) {
		if ok && h.bootstrap.BootstrapID == f.BootstrapID {
			h.proposeBootstrap(ctx)
		}
	})
}

// saveConsent syncs that this disk consents to a formation; an empty one takes the consent back.
func (h *Host) saveConsent(ctx *kernel.Context, f wire.Bootstrap, done func(ctx *kernel.Context, ok bool)) {
	h.bootstrap, h.consents, h.consentSynced = f, map[string]bool{}, false
	h.save(ctx, "formation", wire.Encode(&f), func(ctx *kernel.Context, err string) {
		if h.bootstrap.BootstrapID == f.BootstrapID {
			h.consentSynced = err == ""
			if err != "" {
				h.bootstrap = wire.Bootstrap{}
			}
		}
		done(ctx, err == "")
	})
}

func (h *Host) proposeBootstrap(ctx *kernel.Context) {
	h.bootstrapSentAt = ctx.Now
	for _, member := range h.bootstrap.Voters {
		if member.ID != h.replicaID {
			h.sendReplica(ctx, member, wire.KindBootstrap, &h.bootstrap)
			continue
		}
		h.handleBootstrapReply(ctx, wire.BootstrapReply{BootstrapID: h.bootstrap.BootstrapID, From: h.replicaID, OK: true})
	}
}

// withdrawBootstrap gives up this replica's own proposal, for another one or for none. It is synced before
// anyone is told: whoever consented to it is free only once it can never be complete.
func (h *Host) withdrawBootstrap(ctx *kernel.Context) {
	was := h.bootstrap
	ctx.Log(kernel.LevelWarn, "formation_withdrawn", "formation", was.BootstrapID)
	h.saveConsent(ctx, wire.Bootstrap{}, func(ctx *kernel.Context, ok bool) {
		if !ok {
			return
		}
		was.Withdrawn = true
		for _, member := range was.Voters {
			if member.ID != h.replicaID {
				h.sendReplica(ctx, member, wire.KindBootstrap, &was)
			}
		}
	})
}

func (h *Host) handleBootstrap(ctx *kernel.Context, conn uint64, proposal wire.Bootstrap) {
	reply := func(ctx *kernel.Context, r wire.BootstrapReply) {
		r.BootstrapID, r.From = proposal.BootstrapID, h.replicaID
		ctx.Send(conn, wire.KindBootstrapReply, 0, &r)
	}
	settings := &h.kernel.Boot.Settings
	mine, included := h.bootstrap, contains(proposal.Voters, h.replicaID)
	switch {
	case h.replicaID == "" || h.diskDamaged:
	case proposal.Withdrawn:
		if mine.BootstrapID == proposal.BootstrapID && mine.Proposer.ID != h.replicaID && !h.bootstrapped && !h.completing {
			h.saveConsent(ctx, wire.Bootstrap{}, func(*kernel.Context, bool) {})
		}
	case proposal.Commit:
		if proposal.BootstrapID == mine.BootstrapID {
			h.completeBootstrap(ctx)
		}
	case h.bootstrapped:
		reply(ctx, wire.BootstrapReply{Bootstrapped: true})
	case mine.BootstrapID == proposal.BootstrapID:
		if h.consentSynced {
			reply(ctx, wire.BootstrapReply{OK: true})
		}
	case mine.BootstrapID != "" && mine.Proposer.ID == h.replicaID && proposal.Proposer.ID < h.replicaID && !h.completing:
		// Of two proposals the one of the lesser replica goes on; that replica asks again soon.
		h.withdrawBootstrap(ctx)
	case mine.BootstrapID != "":
		reply(ctx, wire.BootstrapReply{Proposer: mine.Proposer})
	case settings.BootstrapKnown && !settings.Bootstrap:
		reply(ctx, wire.BootstrapReply{Forbidden: true})
	case included && h.diskProblem == "":
		h.saveConsent(ctx, proposal, func(ctx *kernel.Context, ok bool) { reply(ctx, wire.BootstrapReply{OK: ok}) })
	}
}

func (h *Host) handleBootstrapReply(ctx *kernel.Context, reply wire.BootstrapReply) {
	f := h.bootstrap
	if h.bootstrapped || f.BootstrapID == "" || reply.BootstrapID != f.BootstrapID || f.Proposer.ID != h.replicaID || h.completing {
		return
	}
	switch {
	case reply.OK:
		h.consents[reply.From] = true
		if !slices.ContainsFunc(f.Voters, func(seat wire.Replica) bool { return !h.consents[seat.ID] }) {
			h.completeBootstrap(ctx)
		}
	case reply.Bootstrapped:
		h.joinFleet(ctx)
	case reply.Forbidden:
		h.refusers[reply.From] = true
		h.withdrawBootstrap(ctx)
	case reply.Proposer.ID != "" && reply.Proposer.ID < h.replicaID:
		h.withdrawBootstrap(ctx)
	case reply.Proposer.ID != "":
		h.sendReplica(ctx, reply.Proposer, wire.KindBootstrap, &f)
	}
}

// adoptBootstrapVoters gives every partition that holds nothing yet the formation's replicas.
func (h *Host) adoptBootstrapVoters() {
	for _, g := range h.groups {
		if len(g.accepted.Voters) == 0 {
			g.accepted.Voters = h.bootstrap.Voters
			g.accepted.Version.Partition = g.partition
		}
	}
}

// completeBootstrap makes a consenting replica a voter, once that is synced; the one that proposed the
// formation then tells the others, who may have nobody else to tell them.
func (h *Host) completeBootstrap(ctx *kernel.Context) {
	f := h.bootstrap
	if f.Commit || h.completing {
		return
	}
	f.Commit, h.completing = true, true
	h.save(ctx, "formation", wire.Encode(&f), func(ctx *kernel.Context, err string) {
		h.completing = false
		if err != "" || h.bootstrap.Commit {
			return
		}
		h.bootstrap, h.bootstrapped = f, true
		h.adoptBootstrapVoters()
		ctx.Log(kernel.LevelInfo, "fleet_formed", "formation", f.BootstrapID, "seat", h.replicaID)
		h.publishMember()
		for _, member := range f.Voters {
			if f.Proposer.ID == h.replicaID && member.ID != h.replicaID {
				h.sendReplica(ctx, member, wire.KindBootstrap, &f)
			}
		}
	})
}
