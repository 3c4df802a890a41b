// Package part holds the control state: each part is a register of versions
// kept by a small group of seats on disk machines. A group elects an owner by
// majority in a term; an owner's version counts once a majority synced it; a
// seat that has promised a term takes nothing of an older one, which is the
// fence against owners that were frozen or cut off.
package part

import (
	"wallport/kernel"
	"wallport/wire"
)

// Figures of the groups.
const (
	TickEvery   = 50_000
	BeatEvery   = 150_000
	StepDown    = 1_000_000
	PlaceAfter  = 4_000_000
	KeptOnDisk  = 3
	BacklogMost = 256
	// ElectAfter is how long the first of the seats does without an owner before it stands; each
	// further one waits ElectStep longer, so that two seldom stand at once.
	ElectAfter = 500_000
	// ElectAtStart stands for it while a process has just started; StartsFor is how long it has.
	ElectAtStart = 60_000
	StartsFor    = 3_000_000
	ElectStep    = 150_000
	ElectSpan    = 60_000
	// ClockEvery is how often an owner looks whether something is due by the clock.
	ClockEvery = 200_000
	// ProbeEvery is how often a sick disk is tried.
	ProbeEvery = 200_000
	// SickAfter is how long a write may take before the disk counts as sick.
	SickAfter = 300_000
	// ReplaceAt is how long a seat must be silent before a spare core takes its place.
	ReplaceAt = 2_000_000
	// HandOverEvery is how often a seat that lacks the newest version is given it.
	HandOverEvery = 600_000
	// ListenFirst is how long a process that just started listens before it stands for
	// owner: a group that was rebuilt without it is heard of meanwhile. Where a platform runs
	// the fleet nobody rebuilds a group, and ListenBriefly is enough.
	ListenFirst   = 1_500_000
	ListenBriefly = 200_000
)

type role uint8

const (
	follower role = iota
	asking
	candidate
	owner
)

// Committed is emitted in a seat's process when it knows a version to be committed.
type Committed struct{ Stamped wire.Stamped }

type waiting struct {
	ch    uint64
	id    uint64
	edit  wire.Edit
	reply wire.EditReply
	// took tells that the edit is part of the version under way; round is the beat that must be confirmed before the reply is sent.
	took  bool
	round uint64
}

// Group is one seat's side of one part.
type Group struct {
	part int
	s    *Seats

	promised uint64
	votedFor string
	held     wire.Stamped
	pending  wire.Stamp
	files    []wire.Stamp

	served wire.Stamped

	role      role
	owner     string
	ownerAddr string
	ownerSeen int64
	electAt   int64

	term      uint64
	replies   map[string]wire.VoteReply
	acks      map[string]bool
	flight    *wire.Stamped
	sentAt    int64
	backlog   []waiting
	inFlight  []waiting
	reads     []waiting
	beatAt    int64
	round     uint64
	roundAcks map[string]uint64
	heard     map[string]int64
	steady    map[string]int64
	sick      map[string]bool
	instead   map[string]wire.Seat
	handed    map[string]int64
	walls     map[string]int64
	contact   contact
	relayedAt int64
	// lostContact is that a leader's loss of contact is logged.
	lostContact bool
	wonAt       int64
	clockAt     int64
	ready       bool
	yielding    bool
	holds       map[string]*grant
	turns       uint64
}

func newGroup(s *Seats, part int) *Group {
	return &Group{part: part, s: s, holds: map[string]*grant{}, heard: map[string]int64{}}
}

func (g *Group) self() string { return g.s.seat }

func (g *Group) seated() bool { return has(binds(g.held), g.self()) }

func (g *Group) tick(t *kernel.Turn) {
	if !g.seated() {
		return
	}
	if g.role == owner {
		g.ownerTick(t)
		return
	}
	if g.s.stops {
		return
	}
	if g.electAt == 0 {
		g.defer_(t)
	}
	at := g.electAt
	if g.s.sick != "" {
		// A healthy seat goes first; where there is none, a slow owner is better than none.
		at += 2 * ElectAfter
	}
	if t.Now >= at && t.Now-g.s.started >= g.s.listens() {
		g.ask(t, false)
	}
}
