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

func (s *Host) bootstrapStep(ctx *kernel.Context) {
	if s.replicaID == "" || s.diskProblem != "" || s.stopping {
		return
	}
	// A node that still has a version in force knows of a formed fleet as well:
	// its group is rebuilt by an operator's word or not at all.
	for partition := range Partitions {
		if v, ok := s.mesh.Partition(partition); ok && v.Version.Term > 0 {
			s.joinFleet(ctx)
			return
		}
	}
	e := &s.k.Boot.Settings
	for _, c := range s.rows(ctx.Now) {
		if !c.Bootstrapped {
			continue
		}
		// While a platform has its fleet formed, the replicas learn of it one by one; who is not
		// among them is a standby once a version is there.
		if !e.BootstrapKnown {
			s.joinFleet(ctx)
		}
		return
	}
	switch {
	case s.formation.BootstrapID == "":
		if at := ctx.Now - s.started; e.BootstrapKnown || at >= BootstrapAfter {
			s.planFormation(ctx)
		}
	case s.formation.Proposer.ID == s.replicaID && ctx.Now-s.proposedAt >= ProposeInterval:
		if ctx.Now-s.plannedAt > WithdrawAfter && !s.completing {
			s.withdraw(ctx)
			return
		}
		s.propose(ctx)
	}
}

// joinFleet makes an unformed core a standby of the fleet that it found. Where the
// found fleet is the one it consented to, its leaders bring it the versions.
func (s *Host) joinFleet(ctx *kernel.Context) {
	if s.bootstrapped {
		return
	}
	s.bootstrapped = true
	s.publishMember()
	ctx.Log(kernel.LevelInfo, "core_spare", "seat", s.replicaID)
}

// planFormation proposes a formation, if this core is the one to do so and enough others are known.
func (s *Host) planFormation(ctx *kernel.Context) {
	cores := s.standbys(ctx.Now)
	cores = slices.DeleteFunc(cores, func(c wire.Replica) bool { return s.refused[c.ID] })
	slices.SortFunc(cores, func(a, b wire.Replica) int { return cmp.Compare(a.ID, b.ID) })
	seats, ok := s.chooseFormation(ctx, cores)
	if !ok {
		return
	}
	f := wire.Bootstrap{BootstrapID: fmt.Sprintf("%016x", ctx.Rand.Uint64()), Voters: seats}
	f.Proposer = wire.Replica{ID: s.replicaID, Zone: s.k.Boot.Settings.Zone, Addr: s.k.Boot.Settings.Mesh}
	s.plannedAt = ctx.Now
	ctx.Log(kernel.LevelInfo, "formation_planned", "formation", f.BootstrapID, "seats", len(seats))
	s.consent(ctx, f, func(ctx *kernel.Context, ok bool) {
		if ok && s.formation.BootstrapID == f.BootstrapID {
			s.propose(ctx)
		}
	})
}

// consent syncs that this disk consents to a formation; an empty one takes the consent back.
func (s *Host) consent(ctx *kernel.Context, f wire.Bootstrap, done func(ctx *kernel.Context, ok bool)) {
	s.formation, s.consents, s.synced = f, map[string]bool{}, false
	s.save(ctx, "formation", wire.Encode(&f), func(ctx *kernel.Context, err string) {
		if s.formation.BootstrapID == f.BootstrapID {
			s.synced = err == ""
			if err != "" {
				s.formation = wire.Bootstrap{}
			}
		}
		done(ctx, err == "")
	})
}

func (s *Host) propose(ctx *kernel.Context) {
	s.proposedAt = ctx.Now
	for _, member := range s.formation.Voters {
		if member.ID != s.replicaID {
			s.sendReplica(ctx, member, wire.KindBootstrap, &s.formation)
			continue
		}
		s.handleFormReply(ctx, wire.BootstrapReply{BootstrapID: s.formation.BootstrapID, From: s.replicaID, OK: true})
	}
}

// withdraw gives up this replica's own proposal, for another one or for none. It is synced before
// anyone is told: whoever consented to it is free only once it can never be complete.
func (s *Host) withdraw(ctx *kernel.Context) {
	was := s.formation
	ctx.Log(kernel.LevelWarn, "formation_withdrawn", "formation", was.BootstrapID)
	s.consent(ctx, wire.Bootstrap{}, func(ctx *kernel.Context, ok bool) {
		if !ok {
			return
		}
		was.Withdrawn = true
		for _, member := range was.Voters {
			if member.ID != s.replicaID {
				s.sendReplica(ctx, member, wire.KindBootstrap, &was)
			}
		}
	})
}

func (s *Host) handleForm(ctx *kernel.Context, ch uint64, f wire.Bootstrap) {
	reply := func(ctx *kernel.Context, r wire.BootstrapReply) {
		r.BootstrapID, r.From = f.BootstrapID, s.replicaID
		ctx.Send(ch, wire.KindBootstrapReply, 0, &r)
	}
	e := &s.k.Boot.Settings
	mine, in := s.formation, contains(f.Voters, s.replicaID)
	switch {
	case s.replicaID == "" || s.diskDamaged:
	case f.Withdrawn:
		if mine.BootstrapID == f.BootstrapID && mine.Proposer.ID != s.replicaID && !s.bootstrapped && !s.completing {
			s.consent(ctx, wire.Bootstrap{}, func(*kernel.Context, bool) {})
		}
	case f.Commit:
		if f.BootstrapID == mine.BootstrapID {
			s.complete(ctx)
		}
	case s.bootstrapped:
		reply(ctx, wire.BootstrapReply{Bootstrapped: true})
	case mine.BootstrapID == f.BootstrapID:
		if s.synced {
			reply(ctx, wire.BootstrapReply{OK: true})
		}
	case mine.BootstrapID != "" && mine.Proposer.ID == s.replicaID && f.Proposer.ID < s.replicaID && !s.completing:
		// Of two proposals the one of the lesser replica goes on; that replica asks again soon.
		s.withdraw(ctx)
	case mine.BootstrapID != "":
		reply(ctx, wire.BootstrapReply{Proposer: mine.Proposer})
	case e.BootstrapKnown && !e.Bootstrap:
		reply(ctx, wire.BootstrapReply{Forbidden: true})
	case in && s.diskProblem == "":
		s.consent(ctx, f, func(ctx *kernel.Context, ok bool) { reply(ctx, wire.BootstrapReply{OK: ok}) })
	}
}

func (s *Host) handleFormReply(ctx *kernel.Context, r wire.BootstrapReply) {
	f := s.formation
	if s.bootstrapped || f.BootstrapID == "" || r.BootstrapID != f.BootstrapID || f.Proposer.ID != s.replicaID || s.completing {
		return
	}
	switch {
	case r.OK:
		s.consents[r.From] = true
		if !slices.ContainsFunc(f.Voters, func(seat wire.Replica) bool { return !s.consents[seat.ID] }) {
			s.complete(ctx)
		}
	case r.Bootstrapped:
		s.joinFleet(ctx)
	case r.Forbidden:
		s.refused[r.From] = true
		s.withdraw(ctx)
	case r.Proposer.ID != "" && r.Proposer.ID < s.replicaID:
		s.withdraw(ctx)
	case r.Proposer.ID != "":
		s.sendReplica(ctx, r.Proposer, wire.KindBootstrap, &f)
	}
}

// adoptFormation gives every partition that holds nothing yet the formation's replicas.
func (s *Host) adoptFormation() {
	for _, g := range s.groups {
		if len(g.accepted.Voters) == 0 {
			g.accepted.Voters = s.formation.Voters
			g.accepted.Version.Partition = g.partition
		}
	}
}

// complete makes a consenting replica a voter, once that is synced; the one that proposed the
// formation then tells the others, who may have nobody else to tell them.
func (s *Host) complete(ctx *kernel.Context) {
	f := s.formation
	if f.Commit || s.completing {
		return
	}
	f.Commit, s.completing = true, true
	s.save(ctx, "formation", wire.Encode(&f), func(ctx *kernel.Context, err string) {
		s.completing = false
		if err != "" || s.formation.Commit {
			return
		}
		s.formation, s.bootstrapped = f, true
		s.adoptFormation()
		ctx.Log(kernel.LevelInfo, "fleet_formed", "formation", f.BootstrapID, "seat", s.replicaID)
		s.publishMember()
		for _, member := range f.Voters {
			if f.Proposer.ID == s.replicaID && member.ID != s.replicaID {
				s.sendReplica(ctx, member, wire.KindBootstrap, &f)
			}
		}
	})
}
