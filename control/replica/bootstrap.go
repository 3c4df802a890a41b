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

// Bootstrap forms the groups of a new fleet on empty disks. One replica proposes the voters, and all of them must
// consent. A replica consents to one proposal at a time and syncs its consent before it replies. Only the proposer may
// complete a proposal, or withdraw it, which releases the other voters from their consent. The proposer syncs its
// decision before it sends the decision to the other voters. Hence no replica is part of two proposals that could both
// be completed. A replica does not propose while any process that it reaches knows of a formed fleet.

const (
	// BootstrapAfter is how long a core with an empty disk waits before it proposes a bootstrap. Processes of an
	// existing fleet redial an unreachable seed at least every two seconds (mesh.MaxSeedBackoff, checked at each
	// heartbeat), so the core learns of an existing fleet within this time.
	BootstrapAfter = 4 * clock.Second
	// ProposeInterval is the time between two transmissions of a proposal.
	ProposeInterval = 200 * clock.Millisecond
	// WithdrawAfter is how long a proposer waits for the consent of all voters before it withdraws the proposal.
	WithdrawAfter = 2500 * clock.Millisecond
)

// Time limits of the bootstrap on a platform that states that all disks are empty, counted from the start of the
// process.
const (
	// SeedTimeout is how long the proposer waits until every seed is reachable, and until there are cores in enough
	// zones that the voters survive the loss of one zone.
	SeedTimeout = 1500 * clock.Millisecond
	// SmallerGroupAfter is when a group with fewer voters than wanted is proposed, if every seed is reachable but
	// there are not enough cores.
	SmallerGroupAfter = 3 * clock.Second
	// SmallestGroupAfter is when such a smaller group is proposed even if some seed is unreachable.
	SmallestGroupAfter = 6 * clock.Second
	// smallestGroup is the minimum size of a group that is proposed while some seed is unreachable: a single core may
	// merely be cut off from the others.
	smallestGroup = 3
	// maxSeeds is the maximum number of seeds that a platform passes to a core.
	maxSeeds = 3
)

// bootstrapping is the state of a core during the bootstrap of its fleet.
type bootstrapping struct {
	// bootstrapped is set once this core knows that the fleet is formed, whether or not this replica is one of its
	// voters.
	bootstrapped bool
	// bootstrap is the proposal that this replica consents to; consentSynced is set once the consent is synced.
	bootstrap     wire.Bootstrap
	consentSynced bool
	// The state of this replica's own proposal: which replicas have consented, when it was planned, when it was last
	// sent, and whether the write that completes it is in progress.
	consents           map[string]bool
	bootstrapPlannedAt clock.Micros
	bootstrapSentAt    clock.Micros
	completing         bool
	// refusers are the replicas that have replied that they must not consent, because their disks are empty although
	// their fleet was formed before. Proposals do not include them.
	refusers map[string]bool
}

// bootstrapTick joins a formed fleet if one is known; otherwise it proposes a bootstrap or repeats the proposal.
func (h *Host) bootstrapTick(ctx *kernel.Context) {
	if h.replicaID == "" || h.diskProblem != diskHealthy || h.stopping {
		return
	}
	// A committed version that was received over the mesh shows that a fleet is already formed. A group whose disks
	// are lost is rebuilt only by an operator's command, never by a new bootstrap.
	for partition := range Partitions {
		if v, ok := h.mesh.Partition(partition); ok && v.Version.Term > 0 {
			h.joinFleet(ctx)
			return
		}
	}
	settings := &h.kernel.Boot.Settings
	if slices.ContainsFunc(h.liveCores(ctx.Now), isBootstrapped) {
		// While a platform bootstraps its fleet, each voter is sent the completion by the proposer, so this core waits
		// for that. A replica that is not among the voters becomes a standby once the mesh has a committed version.
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

// isBootstrapped reports whether a core knows of a formed fleet.
func isBootstrapped(core membership.Member) bool { return core.Bootstrapped }

// joinFleet makes this core a standby of a fleet that is already formed. If this replica is a voter of that fleet's
// bootstrap, the leaders send it the versions.
func (h *Host) joinFleet(ctx *kernel.Context) {
	if h.bootstrapped {
		return
	}
	h.bootstrapped = true
	h.publishMember()
	ctx.Log(kernel.LevelInfo, "joined_as_standby", "replica", h.replicaID)
}

// planBootstrap proposes a bootstrap if this core is the proposer and enough other cores are known.
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

// chooseBootstrapVoters returns the voters that this core should propose now. ok is false if it should not propose.
// The cores must be sorted by identity.
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
	fewer := (len(cores) - 1) | 1 // the largest odd number of cores that are available
	if sinceStart >= SmallerGroupAfter && everySeedHeard || sinceStart >= SmallestGroupAfter && fewer >= smallestGroup {
		return PickVoters(cores, min(fewer, wanted)), true
	}
	return nil, false
}

// proposer returns the identity of the replica with the lowest seed address. At the start of a fleet the platform
// passes the same seeds to all cores, but leaves out each core's own address: a core that receives fewer than
// maxSeeds is therefore a seed itself.
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

// saveConsent syncs the consent of this replica to a proposal; an empty proposal withdraws the consent.
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

// proposeBootstrap sends this replica's proposal to its voters. Its own consent is already synced.
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

// withdrawBootstrap withdraws this replica's own proposal. The withdrawal is synced before it is sent: the voters that
// consented may consent to another proposal only once this proposal can no longer be completed.
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

// sendToOtherVoters sends the completion or the withdrawal of a proposal to its other voters.
func (h *Host) sendToOtherVoters(ctx *kernel.Context, proposal *wire.Bootstrap) {
	for _, voter := range proposal.Voters {
		if voter.ID != h.replicaID {
			h.sendReplica(ctx, voter, wire.KindBootstrap, proposal)
		}
	}
}

// handleBootstrap handles another replica's proposal, its completion or its withdrawal.
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
		// Of two competing proposals, the proposal of the replica with the lower identity is kept. That replica sends
		// its proposal again after ProposeInterval.
		h.withdrawBootstrap(ctx)
	case mine.BootstrapID != "":
		reply(ctx, wire.BootstrapReply{Proposer: mine.Proposer})
	case settings.BootstrapKnown && !settings.Bootstrap:
		reply(ctx, wire.BootstrapReply{Forbidden: true})
	case included && h.diskProblem == diskHealthy:
		h.saveConsent(ctx, proposal, func(ctx *kernel.Context, ok bool) { reply(ctx, wire.BootstrapReply{OK: ok}) })
	}
}

// handleBootstrapReply handles a reply to this replica's own proposal.
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

// completeBootstrap marks the bootstrap as complete and, once that is synced, makes this replica a voter. The
// proposer then sends the completion to the other voters, which may have no other way to learn of it.
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

// adoptBootstrapVoters sets the voters of the bootstrap in every group that has no voters yet.
func (h *Host) adoptBootstrapVoters() {
	for _, g := range h.groups {
		if len(g.accepted.Voters) == 0 {
			g.accepted.Voters = h.bootstrap.Voters
			g.accepted.Version.Partition = g.partition
		}
	}
}
