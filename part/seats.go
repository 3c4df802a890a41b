// Seats is the plug-in of a core process: its disk, its identity and its side
// of every part's group. The seat's id is made on an empty disk and is lost
// with it; a disk that cannot be trusted takes no part at all.
package part

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"wallport/diskfile"
	"wallport/kernel"
	"wallport/members"
	"wallport/mesh"
	"wallport/wire"
)

// Seats is the plug-in.
type Seats struct {
	k       *kernel.Kernel
	mesh    *mesh.Mesh
	members *members.Members
	seat    string
	groups  []*Group
	damaged bool
	future  string
	sick    string
	stops   bool

	formation  wire.Form
	formed     bool
	consents   map[string]bool
	refused    map[string]bool
	synced     bool
	completing bool
	plannedAt  int64
	proposedAt int64
	started    int64
	nextWrite  uint64
	// clockOrigin is where the clock begins that leaders are told.
	clockOrigin int64
	writes      map[string]func(t *kernel.Turn, err string)
	writeSince  map[string]int64
	probing     bool
	probeAt     int64

	pullers map[string]puller
	rowsNow []members.Row
	rowsAt  int64
}

func init() {
	kernel.Register(kernel.Registration{Rank: 30, Roles: []string{"core"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		s := &Seats{
			k: k, mesh: kernel.Find[*mesh.Mesh](k), members: kernel.Find[*members.Members](k),
			writes: map[string]func(*kernel.Turn, string){}, writeSince: map[string]int64{}, consents: map[string]bool{},
			refused: map[string]bool{}, pullers: map[string]puller{},
		}
		for p := range Parts {
			s.groups = append(s.groups, newGroup(s, p))
		}
		return s
	}})
}

// Name is the plug-in's name.
func (s *Seats) Name() string { return "seats" }

// Kinds are the frames that it takes.
func (s *Seats) Kinds() []uint8 {
	return []uint8{
		wire.KindVote, wire.KindVoteReply, wire.KindAccept, wire.KindAcceptReply, wire.KindBeat, wire.KindBeatReply,
		wire.KindForm, wire.KindFormReply, wire.KindPull, wire.KindEdit, wire.KindHold, wire.KindRebuild,
	}
}

func promiseFile(part int) string { return fmt.Sprintf("part-%d.promise", part) }

func stampFile(s wire.Stamp) string {
	return fmt.Sprintf("part-%d.stamp-%012d-%012d", s.Part, s.Term, s.Seq)
}

// Load reads the disk as it was at the start of the process.
func (s *Seats) load(t *kernel.Turn) {
	for name, raw := range s.k.Boot.Files {
		b, err := diskfile.Unpack(raw)
		if f, ok := err.(diskfile.ErrFuture); ok {
			s.damaged, s.future = true, f.Error()
			continue
		}
		isStamped := strings.Contains(name, ".stamp-")
		if err != nil {
			t.Counts.Add("disk_torn", 1)
			t.Note(1, "disk_torn", "file", name)
			// A version that was not whole was never acknowledged; any other file is needed whole.
			s.damaged = s.damaged || !isStamped
			continue
		}
		switch {
		case name == "seat":
			s.seat = string(b)
		case name == "formation":
			s.damaged = wire.Decode(b, &s.formation) != nil || s.damaged
			s.formed, s.synced = s.formation.Go, true
			if len(s.formation.Seats) > 0 && s.formation.By.ID == "" {
				// Releases before 2 did not write down who proposed: it was the first.
				s.formation.By = s.formation.Seats[0]
			}
		case isStamped:
			var v wire.Stamped
			if wire.Decode(b, &v) != nil || v.Stamp.Part < 0 || v.Stamp.Part >= Parts {
				s.damaged = true
				continue
			}
			g := s.groups[v.Stamp.Part]
			g.files = append(g.files, v.Stamp)
			if mesh.Newer(v.Stamp, g.held.Stamp) {
				g.held = v
			}
		case strings.HasSuffix(name, ".promise"):
			var part int
			var v wire.Vote
			if _, err := fmt.Sscanf(name, "part-%d.promise", &part); err != nil || part < 0 || part >= Parts || wire.Decode(b, &v) != nil {
				s.damaged = true
				continue
			}
			s.groups[part].promised, s.groups[part].votedFor = v.Term, v.From
		}
	}
	for _, g := range s.groups {
		if g.held.Stamp.Term > g.promised {
			g.promised, g.votedFor = g.held.Stamp.Term, ""
		}
		s.formed = s.formed || g.held.Stamp.Term > 0
	}
	if s.formation.Go {
		s.found()
	}
	if s.seat == "" && len(s.k.Boot.Files) > 0 {
		s.damaged = true
	}
}

// wanted is how many seats a part's group should have.
func (s *Seats) wanted() int { return s.k.Boot.Env.Seats() }

// listens is how long a process that just started does not stand for owner.
func (s *Seats) listens() int64 {
	if s.k.Boot.Env.BootstrapKnown {
		return ListenBriefly
	}
	return ListenFirst
}

func (s *Seats) start(t *kernel.Turn) {
	s.started, s.clockOrigin = t.Now, 1+t.Rand.Int64N(clockOrigins)
	if s.k.Boot.Env.Data == "" && len(s.k.Boot.Files) == 0 {
		// Without a disk it has no seat; it hands on what it is asked.
		t.Note(0, "core_without_disk")
		return
	}
	s.load(t)
	if s.damaged {
		s.setSick(t, "damaged")
		t.Note(2, "disk_damaged", "do", "stop this core, empty its data folder, start it again: it comes back as a new seat", "why", s.future)
		return
	}
	if s.seat == "" {
		s.identify(t)
	} else {
		s.tell()
	}
	t.After(TickEvery, "seats", "tick")
}

func (s *Seats) tell() {
	s.members.Update(func(m *wire.Member) { m.Seat, m.Formed, m.Sick = s.seat, s.formed, s.sick })
}

// addrOf is where a seat's disk is now, as the mesh tells it.
func (s *Seats) addrOf(id string, now int64) string {
	if id == s.seat {
		return s.k.Boot.Env.Mesh
	}
	if r, ok := s.row(id, now); ok {
		return r.Addr
	}
	return ""
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
