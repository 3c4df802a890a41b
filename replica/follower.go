// A replica's side: hold versions, answer heartbeats, keep what a missing replica should
// have had, and take over when named.
package replica

import (
	"slices"

	"wallport/kernel"
	"wallport/mesh"
	"wallport/wire"
)

// accept syncs a version and says so, unless a newer term was voted.
func (g *Group) accept(t *kernel.Turn, ch, id uint64, a wire.Accept) {
	reply := func(t *kernel.Turn, r wire.AcceptReply) {
		r.Part, r.From, r.TakesBase = g.part, g.self(), true
		if a.From == g.self() {
			g.acceptReply(t, r)
			return
		}
		t.Send(ch, wire.KindAcceptReply, id, &r)
	}
	if g.s.diskDamaged {
		return
	}
	if g.s.stopping && !g.isVoter() && !contains(allVoters(a.Stamped), g.self()) {
		// It would be gone before it could be a voter.
		reply(t, wire.AcceptReply{Term: a.Term, Err: "leaving"})
		return
	}
	if a.Term < g.votedTerm || a.Stamped.Stamp.Term > a.Term {
		reply(t, wire.AcceptReply{Term: g.votedTerm})
		return
	}
	if a.From != g.self() {
		g.follow(t, a.From, a.Term)
	}
	g.votedTerm = a.Term
	v := a.Stamped
	if v.Stamp == g.accepted.Stamp {
		reply(t, wire.AcceptReply{OK: true, Term: a.Term, Stamp: v.Stamp})
		return
	}
	if !mesh.Newer(v.Stamp, g.accepted.Stamp) || !mesh.Newer(v.Stamp, g.pending) {
		return
	}
	if a.Base != (wire.Stamp{}) {
		if a.Base != g.accepted.Stamp {
			reply(t, wire.AcceptReply{Term: a.Term, Stamp: v.Stamp, LacksBase: true})
			return
		}
		v.Body, v.Ledger = g.accepted.Body, g.accepted.Ledger
	}
	g.pending = v.Stamp
	g.s.save(t, versionFile(v.Stamp), wire.Encode(&v), func(t *kernel.Turn, err string) {
		if err != "" {
			if g.pending == v.Stamp {
				g.pending = g.accepted.Stamp
			}
			reply(t, wire.AcceptReply{Term: a.Term, Err: err})
			return
		}
		if mesh.Newer(v.Stamp, g.accepted.Stamp) {
			g.accepted = v
		}
		g.versionFiles = append(g.versionFiles, v.Stamp)
		g.removeOldVersions(t)
		reply(t, wire.AcceptReply{OK: true, Term: a.Term, Stamp: v.Stamp})
	})
}

func (g *Group) removeOldVersions(t *kernel.Turn) {
	slices.SortFunc(g.versionFiles, func(a, b wire.Stamp) int {
		if mesh.Newer(a, b) {
			return -1
		}
		return 1
	})
	for len(g.versionFiles) > VersionsKept {
		last := g.versionFiles[len(g.versionFiles)-1]
		g.versionFiles = g.versionFiles[:len(g.versionFiles)-1]
		g.s.remove(t, versionFile(last))
	}
}

// follow takes a replica for the leader of a term.
func (g *Group) follow(t *kernel.Turn, from string, term uint64) {
	if g.role != follower && term >= g.term {
		g.stepDown(t, "another owner")
	}
	if g.leader != from {
		g.leader = from
		g.leaderAddress = g.s.addressOf(from, t.Now)
	}
	g.leaderSeen = t.Now
	g.scheduleElection(t)
}

func (g *Group) handleHeartbeat(t *kernel.Turn, ch, id uint64, b wire.Beat) {
	r := wire.BeatReply{Part: g.part, Term: g.votedTerm, From: g.self(), Round: b.Round, Held: g.accepted.Stamp, Wall: t.Wall, Clock: g.s.clock(t.Now), Sick: g.s.diskProblem != ""}
	if b.Term < g.votedTerm || g.s.diskDamaged {
		t.Send(ch, wire.KindBeatReply, id, &r)
		return
	}
	if b.Yield != "" {
		g.leaderSeen, g.leader, g.leaderAddress = 0, "", ""
		g.votedTerm = max(g.votedTerm, b.Term)
		if b.Yield == g.self() && g.isVoter() && g.s.diskProblem == "" && !g.s.stopping {
			g.startElection(t, true)
		}
		return
	}
	g.follow(t, b.From, b.Term)
	g.votedTerm = b.Term
	g.contact.proven(b.ContactAt-g.s.clockOrigin, t.Now, b.Committed)
	r.OK, r.Term = true, b.Term
	if b.Committed == g.accepted.Stamp {
		g.commit(t, g.accepted)
	}
	t.Send(ch, wire.KindBeatReply, id, &r)
}
