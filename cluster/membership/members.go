// Package membership keeps the table of the fleet's processes as the mesh tells
// it, and tells the mesh about this one. Liveness is the mesh's judgement of
// each origin's beat; a restarted process is a new member.
package membership

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"wallport/cluster/mesh"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Member is one member as seen from here.
type Member struct {
	wire.Member
	Origin string
	Live   bool
}

// Members is the plug-in.
type Members struct {
	k           *kernel.Kernel
	mesh        *mesh.Mesh
	local       wire.Member
	announcedAt int64
	// announced is what was told then.
	announced wire.Member
	dirty     bool
	// announceDue is when the row is told next, 0 where nothing waits.
	announceDue int64
	rows        map[string]*wire.Member
	// sortedOrigins is the origins of the rows, by name; nil where a row came or went since.
	sortedOrigins []string
	peak          int
	peakAt        int64
	started       int64
}

// announceInterval is the least time between two tellings of this process's row. Where only the versions
// in force changed and there are more than smallFleet members, it is announceIntervalPerMember for each of
// them, up to maxAnnounceInterval: all tell of a version at about the same time, each to all.
const (
	announceInterval          = 200_000
	smallFleet                = 32
	announceIntervalPerMember = 100_000
	maxAnnounceInterval       = 10_000_000
	// startupDelay is how long after its start a process waits as long: it hears of several
	// versions then, and does not know yet how many members there are.
	startupDelay = 1_000_000
)

// PeakTTL is how long a larger fleet's size still divides what is shared out.
const PeakTTL = 600_000_000

func init() {
	kernel.Register(kernel.Registration{Rank: 20, Roles: []string{"node", "core"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		e := k.Boot.Settings
		return &Members{k: k, mesh: kernel.Find[*mesh.Mesh](k), rows: map[string]*wire.Member{}, local: wire.Member{
			Name: e.Name, Role: k.Boot.Role, Zone: e.Zone, Addr: e.Mesh, Caller: e.Caller, Operator: e.Operator, Mesh: mesh.Release,
		}}
	}})
}

// Name is the plug-in's name.
func (m *Members) Name() string { return "members" }

// Kinds are the frames that it takes: none.
func (m *Members) Kinds() []uint8 { return nil }

// Step takes one input.
func (m *Members) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		m.local.Started = ctx.Wall
		m.started = ctx.Now
		m.dirty = true
		m.announce(ctx)
	case kernel.Tick:
		m.announceDue = 0
		m.announceSoon(ctx)
	case kernel.Stopping:
		m.Update(func(s *wire.Member) { s.Draining = true })
		m.announce(ctx)
	case mesh.Stored:
		if v.Entry.Type == "member" {
			row := new(wire.Member)
			if wire.Decode(v.Entry.Body, row) == nil {
				m.rows[v.Origin], m.sortedOrigins = row, nil
			}
		}
	case mesh.Forgotten:
		if r := m.rows[v.Origin]; r != nil && r.Role == "node" && r.Draining && m.peak > 1 {
			// It left as planned: the fleet is meant to be smaller, unless it comes back.
			m.peak--
		}
		delete(m.rows, v.Origin)
		m.sortedOrigins = nil
	case mesh.LivenessUpdated:
		n := m.Count(ctx.Now, "node")
		if n >= m.peak || ctx.Now-m.peakAt > PeakTTL {
			m.peak, m.peakAt = n, ctx.Now
		}
	}
}

// Update changes what this process tells of itself; it is told soon after.
func (m *Members) Update(f func(s *wire.Member)) {
	f(&m.local)
	m.dirty = true
	m.k.Later(m.announceSoon)
}

// announceSoon tells what changed, at once if nothing was told of late.
func (m *Members) announceSoon(ctx *kernel.Context) {
	if !m.dirty {
		return
	}
	at := m.announcedAt + m.announceDelay(ctx.Now)
	switch {
	case at <= ctx.Now:
		m.announce(ctx)
	case m.announceDue == 0 || at < m.announceDue:
		m.announceDue = at
		ctx.After(at-ctx.Now, "members", "tell")
	}
}

// announceDelay is how long to wait between two tellings for what changed.
func (m *Members) announceDelay(now int64) int64 {
	was, is := m.announced, m.local
	was.InForce, is.InForce = nil, nil
	if !bytes.Equal(wire.Encode(&was), wire.Encode(&is)) {
		return announceInterval
	}
	if now-m.started < startupDelay {
		return startupDelay
	}
	if len(m.rows) <= smallFleet {
		return announceInterval
	}
	return min(maxAnnounceInterval, announceIntervalPerMember*int64(len(m.rows)))
}

// Local is what this process tells of itself.
func (m *Members) Local() wire.Member { return m.local }

func (m *Members) announce(ctx *kernel.Context) {
	if !m.dirty {
		return
	}
	m.dirty, m.announcedAt, m.announced = false, ctx.Now, m.local
	m.mesh.Announce(ctx, "member", m.mesh.Self(), wire.Encode(&m.local), false)
}

// All lists the members, by name.
func (m *Members) All(now int64) []Member {
	out := make([]Member, 0, len(m.rows))
	for _, fp := range m.sorted() {
		out = append(out, m.row(fp, now))
	}
	return out
}

func (m *Members) row(origin string, now int64) Member {
	return Member{Member: *m.rows[origin], Origin: origin, Live: m.mesh.Live(origin, now)}
}

// sorted lists the origins of all rows, by name; they are sorted only where a row changed.
func (m *Members) sorted() []string {
	if m.sortedOrigins == nil {
		m.sortedOrigins = slices.SortedFunc(maps.Keys(m.rows), func(a, b string) int {
			return cmp.Or(cmp.Compare(m.rows[a].Name, m.rows[b].Name), cmp.Compare(a, b))
		})
	}
	return m.sortedOrigins
}

// Each visits the members, by name. The rows are not to be changed.
func (m *Members) Each(now int64, visit func(origin string, row *wire.Member, live bool)) {
	for _, fp := range m.sorted() {
		visit(fp, m.rows[fp], m.mesh.Live(fp, now))
	}
}

// Live lists the live members of a role.
func (m *Members) Live(now int64, role string) []Member {
	var out []Member
	for _, fp := range m.sorted() {
		if m.rows[fp].Role == role && m.mesh.Live(fp, now) {
			out = append(out, m.row(fp, now))
		}
	}
	return out
}

// Count is how many members of a role are live.
func (m *Members) Count(now int64, role string) (n int) {
	for fp, r := range m.rows {
		if r.Role == role && m.mesh.Live(fp, now) {
			n++
		}
	}
	return n
}

// Replica finds the live core that has a replica's disk.
func (m *Members) Replica(id string, now int64) (Member, bool) {
	for _, fp := range m.sorted() {
		if m.rows[fp].Replica == id && m.mesh.Live(fp, now) {
			return m.row(fp, now), true
		}
	}
	return Member{}, false
}

// Divisor is by how many nodes a fleet-wide allowance is divided here: the
// greatest number seen in the last while, so that neither a shrinking fleet
// nor an isolated node multiplies what all may do together.
func (m *Members) Divisor() int { return max(1, m.peak) }
