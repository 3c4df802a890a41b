// A seat's side: hold versions, answer beats, keep what a missing seat should
// have had, and take over when named.
package part

import (
	"slices"

	"wallport/kernel"
	"wallport/mesh"
	"wallport/wire"
)

// accept syncs a version and says so, unless a newer term was promised.
func (g *Group) accept(t *kernel.Turn, ch, id uint64, a wire.Accept) {
	reply := func(t *kernel.Turn, r wire.AcceptReply) {
		r.Part, r.From = g.part, g.self()
		if a.From == g.self() {
			g.acceptReply(t, r)
			return
		}
		t.Send(ch, wire.KindAcceptReply, id, &r)
	}
	if g.s.damaged {
		return
	}
	if a.Term < g.promised || a.Stamped.Stamp.Term > a.Term {
		reply(t, wire.AcceptReply{Term: g.promised})
		return
	}
	if a.From != g.self() {
		g.follow(t, a.From, a.Term)
	}
	g.promised = a.Term
	v := a.Stamped
	if v.Stamp == g.held.Stamp {
		reply(t, wire.AcceptReply{OK: true, Term: a.Term, Stamp: v.Stamp})
		return
	}
	if !mesh.Newer(v.Stamp, g.held.Stamp) || !mesh.Newer(v.Stamp, g.pending) {
		return
	}
	g.pending = v.Stamp
	g.s.save(t, stampFile(v.Stamp), wire.Encode(&v), func(t *kernel.Turn, err string) {
		if err != "" {
			if g.pending == v.Stamp {
				g.pending = g.held.Stamp
			}
			reply(t, wire.AcceptReply{Term: a.Term, Err: err})
			return
		}
		if mesh.Newer(v.Stamp, g.held.Stamp) {
			g.held = v
		}
		g.files = append(g.files, v.Stamp)
		g.prune(t)
		reply(t, wire.AcceptReply{OK: true, Term: a.Term, Stamp: v.Stamp})
	})
}

func (g *Group) prune(t *kernel.Turn) {
	slices.SortFunc(g.files, func(a, b wire.Stamp) int {
		if mesh.Newer(a, b) {
			return -1
		}
		return 1
	})
	for len(g.files) > KeptOnDisk {
		last := g.files[len(g.files)-1]
		g.files = g.files[:len(g.files)-1]
		g.s.remove(t, stampFile(last))
	}
}

// follow takes a seat for the owner of a term.
func (g *Group) follow(t *kernel.Turn, from string, term uint64) {
	if g.role != follower && term >= g.term {
		g.retire(t, "another owner")
	}
	if g.owner != from {
		g.owner = from
		g.ownerAddr = g.s.addrOf(from, t.Now)
	}
	g.ownerSeen = t.Now
	g.defer_(t)
}

func (g *Group) beat(t *kernel.Turn, ch, id uint64, b wire.Beat) {
	r := wire.BeatReply{Part: g.part, Term: g.promised, From: g.self(), Round: b.Round, Held: g.held.Stamp, Wall: t.Wall, Clock: g.s.clock(t.Now), Sick: g.s.sick != ""}
	if b.Term < g.promised || g.s.damaged {
		t.Send(ch, wire.KindBeatReply, id, &r)
		return
	}
	if b.Yield != "" {
		g.ownerSeen, g.owner, g.ownerAddr = 0, "", ""
		g.promised = max(g.promised, b.Term)
		if b.Yield == g.self() && g.seated() && g.s.sick == "" && !g.s.stops {
			g.ask(t, true)
		}
		return
	}
	g.follow(t, b.From, b.Term)
	g.promised = b.Term
	g.contact.proven(b.ContactAt-g.s.clockOrigin, t.Now, b.Committed)
	r.OK, r.Term = true, b.Term
	if b.Committed == g.held.Stamp {
		g.commit(t, g.held)
	}
	t.Send(ch, wire.KindBeatReply, id, &r)
}
