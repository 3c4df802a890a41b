package replica

import (
	"cmp"
	"fmt"
	"slices"

	"wallport/cluster/membership"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Bootstrap forms the groups of a fleet on empty disks. One replica proposes the voters, all of which must
// consent. A replica syncs its consent, to one proposal at a time. Only the proposer may complete a proposal, or
// withdraw it and so free the others, and it syncs either before it tells anyone. So no replica is in two
// proposals that could both be complete. Nobody proposes while any process that it reaches knows of a fleet.

const (
	// BootstrapAfter is how long an empty core listens before it proposes: processes that know of a fleet
	// dial a seed that did not answer once in two seconds (mesh.MaxSeedBackoff, looked at on each heartbeat).
	BootstrapAfter = 4 * clock.Second
	// ProposeInterval is how often a proposal is repeated.
	ProposeInterval = 200 * clock.Millisecond
	// WithdrawAfter is how long a proposal may lack a consent before it is withdrawn.
	WithdrawAfter = 2500 * clock.Millisecond
)

// Bounds of the bootstrap on a platform that says that all disks are empty, from the start of the process.
const (
	// SeedTimeout is how long every seed is waited for, and a choice of voters that survives the loss of a zone.
	SeedTimeout = 1500 * clock.Millisecond
	// SmallerGroupAfter is when a smaller group is formed, because there are no more cores.
	SmallerGroupAfter = 3 * clock.Second
	// SmallestGroupAfter is when that is done although a seed was never heard.
	SmallestGroupAfter = 6 * clock.Second
	// smallestGroup is the size of such a group at least: a core alone may just not reach the others.
	smallestGroup = 3
	// maxSeeds is how many seeds a platform names to a core at most.
	maxSeeds = 3
)

// bootstrapping is a core's state in the bootstrap of its fleet.
type bootstrapping struct {
	// bootstrapped is set once the fleet is known to be formed, with this replica or without it.
	bootstrapped bool
	// bootstrap is the proposal that this disk consents to; consentSynced is set once that is on the disk.
	bootstrap     wire.Bootstrap
	consentSynced bool
	// Of this replica's own proposal: who has consented, when it was planned and sent last, and whether its
	// completion is being written.
	consents           map[string]bool
	bootstrapPlannedAt clock.Micros
	bootstrapSentAt    clock.Micros
	completing         bool
	// refusers are the replicas that may not consent: their disks were empty when the others' were not.
	refusers map[string]bool
}

// bootstrapTick looks for a fleet to join, and else proposes a bootstrap or repeats the proposal.
func (h *Host) bootstrapTick(ctx *kernel.Context) {
	if h.replicaID == "" || h.diskProblem != diskHealthy || h.stopping {
		return
	}
	// A node that still has a version in force knows of a fleet as well: a group whose disks are lost is
	// rebuilt by an operator's command or not at all.
	for partition := range Partitions {
		if v, ok := h.mesh.Partition(partition); ok && v.Version.Term > 0 {
			h.joinFleet(ctx)
			return
		}
	}
	settings := &h.kernel.Boot.Settings
	if slices.ContainsFunc(h.liveCores(ctx.Now), isBootstrapped) {
		// While a platform has its fleet formed, the replicas learn of the completion one by one. Who is not
		// among the voters becomes a standby once there is a version.
		if !settings.BootstrapKnown {
			h.joinFleet(ctx)
		}
		return
	}
	switch {
	case h.bootstrap.BootstrapID == "":
		if settings.BootstrapKnown || ctx.Now-h.startedAt >= BootstrapAfter {
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

// isBootstrapped reports whether a core knows a formed fleet.
func isBootstrapped(core membership.Member) bool { return core.Bootstrapped }

// joinFleet makes this core a standby of the fleet that it found. Where that is the one to whose bootstrap it
// consented, the leaders bring it the versions.
func (h *Host) joinFleet(ctx *kernel.Context) {
	if h.bootstrapped {
		return
	}
	h.bootstrapped = true
	h.publishMember()
	ctx.Log(kernel.LevelInfo, "joined_as_standby", "replica", h.replicaID)
}

// planBootstrap proposes a bootstrap, if this core is the one to do so and enough others are known.
func (h *Host) planBootstrap(ctx *kernel.Context) {
	cores := h.standbys(ctx.Now)
	cores = slices.DeleteFunc(cores, func(c wire.Replica) bool { return h.refusers[c.ID] })
	slices.SortFunc(cores, func(a, b wire.Replica) int { return cmp.Compare(a.ID, b.ID) })
	voters, ok := h.chooseBootstrapVoters(ctx, cores)
	if !ok {
		return
	}
	proposal := wire.Bootstrap{BootstrapID: fmt.Sprintf("%016x", ctx.Rand.Uint64()), Voters: voters}
	proposal.Proposer = wire.Replica{ID: h.replicaID, Zone: h.kernel.Boot.Settings.Zone, Addr: h.kernel.Boot.Settings.Mesh}
	h.bootstrapPlannedAt = ctx.Now
	ctx.Log(kernel.LevelInfo, "bootstrap_planned", "bootstrap", proposal.BootstrapID, "voters", len(voters))
	h.saveConsent(ctx, proposal, func(ctx *kernel.Context, ok bool) {
		if ok && h.bootstrap.BootstrapID == proposal.BootstrapID {
			h.proposeBootstrap(ctx)
		}
	})
}

// chooseBootstrapVoters gives the voters that this core should propose now, if any, among the given cores in
// the order of their identities.
func (h *Host) chooseBootstrapVoters(ctx *kernel.Context, cores []wire.Replica) (voters []wire.Replica, ok bool) {
	settings, wanted := &h.kernel.Boot.Settings, h.wantedVoters()
	if !settings.BootstrapKnown {
		return PickVoters(cores, wanted), len(cores) >= wanted && cores[0].ID == h.replicaID
	}
	sinceStart := ctx.Now - h.startedAt
	everySeedHeard := !slices.ContainsFunc(settings.Seeds, func(addr string) bool { return !h.reaches(addr, ctx.Now) })
	if !settings.Bootstrap || len(cores) == 0 || !everySeedHeard && sinceStart < SeedTimeout || h.proposer(cores) != h.replicaID {
		return nil, false
	}
	if len(cores) >= wanted {
		voters := PickVoters(cores, wanted)
		return voters, sinceStart >= SeedTimeout || survivesZoneLoss(voters, settings.Tolerance.Zones)
	}
	fewer := (len(cores) - 1) | 1 // the greatest odd number that there is
	if sinceStart >= SmallerGroupAfter && everySeedHeard || sinceStart >= SmallestGroupAfter && fewer >= smallestGroup {
		return PickVoters(cores, min(fewer, wanted)), true
	}
	return nil, false
}

// proposer is the replica at the least seed address. When a fleet starts all cores are given the same seeds,
// but each without itself: a core that is given fewer than there can be is a seed.
func (h *Host) proposer(cores []wire.Replica) string {
	seeds := h.kernel.Boot.Settings.Seeds
	if len(seeds) < maxSeeds {
		seeds = append(slices.Clone(seeds), h.kernel.Boot.Settings.Mesh)
	}
	best := cores[0]
	for _, core := range cores {
		isSeed, bestIsSeed := slices.Contains(seeds, core.Addr), slices.Contains(seeds, best.Addr)
		if isSeed && !bestIsSeed || isSeed && bestIsSeed && core.Addr < best.Addr {
			best = core
		}
	}
	return best.ID
}

// saveConsent syncs that this disk consents to a bootstrap; an empty one withdraws the consent.
func (h *Host) saveConsent(ctx *kernel.Context, proposal wire.Bootstrap, done func(ctx *kernel.Context, ok bool)) {
	h.bootstrap, h.consents, h.consentSynced = proposal, map[string]bool{}, false
	h.save(ctx, fileBootstrap, wire.Encode(&proposal), func(ctx *kernel.Context, err string) {
		if h.bootstrap.BootstrapID == proposal.BootstrapID {
			h.consentSynced = err == ""
			if err != "" {
				h.bootstrap = wire.Bootstrap{}
			}
		}
		done(ctx, err == "")
	})
}

// proposeBootstrap sends this replica's proposal to its voters; its own consent is synced already.
func (h *Host) proposeBootstrap(ctx *kernel.Context) {
	h.bootstrapSentAt = ctx.Now
	for _, voter := range h.bootstrap.Voters {
		if voter.ID != h.replicaID {
			h.sendReplica(ctx, voter, wire.KindBootstrap, &h.bootstrap)
			continue
		}
		h.handleBootstrapReply(ctx, wire.BootstrapReply{BootstrapID: h.bootstrap.BootstrapID, From: h.replicaID, OK: true})
	}
}

// withdrawBootstrap gives up this replica's own proposal, for another one or for none. The withdrawal is synced
// before anyone is told: who has consented is free only once the proposal can't be completed any more.
func (h *Host) withdrawBootstrap(ctx *kernel.Context) {
	was := h.bootstrap
	ctx.Log(kernel.LevelWarn, "bootstrap_withdrawn", "bootstrap", was.BootstrapID)
	h.saveConsent(ctx, wire.Bootstrap{}, func(ctx *kernel.Context, ok bool) {
		if !ok {
			return
		}
		was.Withdrawn = true
		h.sendToOtherVoters(ctx, &was)
	})
}

// sendToOtherVoters sends a proposal's completion or withdrawal to its other voters.
func (h *Host) sendToOtherVoters(ctx *kernel.Context, proposal *wire.Bootstrap) {
	for _, voter := range proposal.Voters {
		if voter.ID != h.replicaID {
			h.sendReplica(ctx, voter, wire.KindBootstrap, proposal)
		}
	}
}

// handleBootstrap takes another replica's proposal, its completion or its withdrawal.
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
		// Of two proposals that of the lesser replica goes on; that replica asks again soon.
		h.withdrawBootstrap(ctx)
	case mine.BootstrapID != "":
		reply(ctx, wire.BootstrapReply{Proposer: mine.Proposer})
	case settings.BootstrapKnown && !settings.Bootstrap:
		reply(ctx, wire.BootstrapReply{Forbidden: true})
	case included && h.diskProblem == diskHealthy:
		h.saveConsent(ctx, proposal, func(ctx *kernel.Context, ok bool) { reply(ctx, wire.BootstrapReply{OK: ok}) })
	}
}

// handleBootstrapReply takes a reply to this replica's own proposal.
func (h *Host) handleBootstrapReply(ctx *kernel.Context, reply wire.BootstrapReply) {
	mine := h.bootstrap
	if h.bootstrapped || mine.BootstrapID == "" || reply.BootstrapID != mine.BootstrapID || mine.Proposer.ID != h.replicaID || h.completing {
		return
	}
	switch {
	case reply.OK:
		h.consents[reply.From] = true
		if !slices.ContainsFunc(mine.Voters, func(voter wire.Replica) bool { return !h.consents[voter.ID] }) {
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
		h.sendReplica(ctx, reply.Proposer, wire.KindBootstrap, &mine)
	}
}

// completeBootstrap makes a consenting replica a voter, once that is synced. The proposer then tells the others,
// who may have nobody else to tell them.
func (h *Host) completeBootstrap(ctx *kernel.Context) {
	completed := h.bootstrap
	if completed.Commit || h.completing {
		return
	}
	completed.Commit, h.completing = true, true
	h.save(ctx, fileBootstrap, wire.Encode(&completed), func(ctx *kernel.Context, err string) {
		h.completing = false
		if err != "" || h.bootstrap.Commit {
			return
		}
		h.bootstrap, h.bootstrapped = completed, true
		h.adoptBootstrapVoters()
		ctx.Log(kernel.LevelInfo, "fleet_bootstrapped", "bootstrap", completed.BootstrapID, "replica", h.replicaID)
		h.publishMember()
		if completed.Proposer.ID == h.replicaID {
			h.sendToOtherVoters(ctx, &completed)
		}
	})
}

// adoptBootstrapVoters gives every group that has no voters yet those of the bootstrap.
func (h *Host) adoptBootstrapVoters() {
	for _, g := range h.groups {
		if len(g.accepted.Voters) == 0 {
			g.accepted.Voters = h.bootstrap.Voters
			g.accepted.Version.Partition = g.partition
		}
	}
}
