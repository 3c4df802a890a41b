// Package membership maintains the list of the fleet's processes and announces this process to the
// others.
//
// Each process announces one entry in the mesh with its name, role, zone, addresses and the versions
// that it has in force. The list holds the newest entry of each origin. The mesh decides whether a
// member is live ([mesh.Mesh.Live]). A restarted process has a new key and is a new member.
package membership

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"wallport/cluster/mesh"
	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// Member is a member of the fleet in this process's view.
type Member struct {
	wire.Member
	Origin string
	Live   bool
}

// Members is the plug-in that maintains the list of members. It emits no events; other plug-ins query it.
type Members struct {
	k           *kernel.Kernel
	mesh        *mesh.Mesh
	local       wire.Member
	announcedAt clock.Micros
	// announced is the last announced state of the local member.
	announced wire.Member
	dirty     bool
	// announceDue is when the announcement timer fires; 0 if it is not set.
	announceDue clock.Micros
	byOrigin    map[string]*wire.Member
	// sortedOrigins caches the result of sorted. It is nil if a member was added, changed or removed
	// after the last call.
	sortedOrigins []string
	// peak is the number of nodes by which fleet-wide allowances are divided (see Divisor), and
	// peakAt is when it was last set.
	peak    int
	peakAt  clock.Micros
	started clock.Micros
}

// Intervals between announcements of the local member.
const (
	// announceInterval is the minimum interval between two announcements.
	announceInterval = 200 * clock.Millisecond
	// In a fleet of more than smallFleet members, the interval before an announcement that changes
	// only the versions in force is announceIntervalPerMember times the number of members, at most
	// maxAnnounceInterval. All processes announce a new version at about the same time, and each
	// announcement goes to all processes.
	smallFleet                = 32
	announceIntervalPerMember = 100 * clock.Millisecond
	maxAnnounceInterval       = 10 * clock.Second
	// During the first startupDelay after the start of a process, the interval before such an
	// announcement is startupDelay: the process receives several versions in that time and does not
	// know the size of the fleet yet.
	startupDelay = 1 * clock.Second
)

const (
	pluginName    = "members"
	timerAnnounce = "tell"
)

// PeakTTL is how long fleet-wide allowances are still divided by the previous number of nodes after a
// fleet has shrunk (see Divisor).
const PeakTTL = 10 * clock.Minute

func init() {
	kernel.Register(kernel.Registration{Rank: 20, Roles: []string{settings.RoleNode, settings.RoleCore}, Make: func(k *kernel.Kernel) kernel.Plugin {
		s := k.Boot.Settings
		return &Members{k: k, mesh: kernel.Find[*mesh.Mesh](k), byOrigin: map[string]*wire.Member{}, local: wire.Member{
			Name: s.Name, Role: k.Boot.Role, Zone: s.Zone, Addr: s.Mesh, Caller: s.Caller, Operator: s.Operator, Mesh: mesh.Release,
		}}
	}})
}

// Name returns the plug-in's name.
func (m *Members) Name() string { return pluginName }

// Kinds returns the kinds of frames that the plug-in handles: none.
func (m *Members) Kinds() []uint8 { return nil }

// Step handles one input of the kernel.
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
		m.Update(func(local *wire.Member) { local.Draining = true })
		m.announce(ctx)
	case mesh.Stored:
		if v.Entry.Type == mesh.EntryMember {
			member := new(wire.Member)
			if wire.Decode(v.Entry.Body, member) == nil {
				m.byOrigin[v.Origin], m.sortedOrigins = member, nil
			}
		}
	case mesh.Forgotten:
		if r := m.byOrigin[v.Origin]; r != nil && r.Role == settings.RoleNode && r.Draining && m.peak > 1 {
			// A node that drained was removed intentionally, so the peak is lowered. If the node
			// returns, the count of live nodes raises the peak again.
			m.peak--
		}
		delete(m.byOrigin, v.Origin)
		m.sortedOrigins = nil
	case mesh.LivenessUpdated:
		n := m.Count(ctx.Now, settings.RoleNode)
		if n >= m.peak || ctx.Now-m.peakAt > PeakTTL {
			m.peak, m.peakAt = n, ctx.Now
		}
	}
}

// Update calls f to change the local member and schedules an announcement of the change.
func (m *Members) Update(f func(local *wire.Member)) {
	f(&m.local)
	m.dirty = true
	m.k.Later(m.announceSoon)
}

// announceSoon announces a changed local member, immediately if announceDelay has passed since the
// last announcement, otherwise by a timer.
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
		ctx.After(at-ctx.Now, pluginName, timerAnnounce)
	}
}

// announceDelay returns the minimum time between the last announcement and the next one, which
// depends on what has changed since the last one.
func (m *Members) announceDelay(now clock.Micros) clock.Micros {
	lastAnnounced, current := m.announced, m.local
	lastAnnounced.InForce, current.InForce = nil, nil
	if !bytes.Equal(wire.Encode(&lastAnnounced), wire.Encode(&current)) {
		return announceInterval
	}
	if now-m.started < startupDelay {
		return startupDelay
	}
	if len(m.byOrigin) <= smallFleet {
		return announceInterval
	}
	return min(maxAnnounceInterval, announceIntervalPerMember*clock.Micros(len(m.byOrigin)))
}

// Local returns the member entry of this process.
func (m *Members) Local() wire.Member { return m.local }

// announce announces the local member if it has changed.
func (m *Members) announce(ctx *kernel.Context) {
	if !m.dirty {
		return
	}
	m.dirty, m.announcedAt, m.announced = false, ctx.Now, m.local
	m.mesh.Announce(ctx, mesh.EntryMember, m.mesh.Self(), wire.Encode(&m.local), false)
}

// All returns the members, sorted by name.
func (m *Members) All(now clock.Micros) []Member {
	out := make([]Member, 0, len(m.byOrigin))
	for _, origin := range m.sorted() {
		out = append(out, m.memberOf(origin, now))
	}
	return out
}

func (m *Members) memberOf(origin string, now clock.Micros) Member {
	return Member{Member: *m.byOrigin[origin], Origin: origin, Live: m.mesh.Live(origin, now)}
}

// sorted returns the origins of all members, sorted by name and then by origin.
func (m *Members) sorted() []string {
	if m.sortedOrigins == nil {
		m.sortedOrigins = slices.SortedFunc(maps.Keys(m.byOrigin), func(a, b string) int {
			return cmp.Or(cmp.Compare(m.byOrigin[a].Name, m.byOrigin[b].Name), cmp.Compare(a, b))
		})
	}
	return m.sortedOrigins
}

// Each calls visit for each member in the order of their names. visit must not modify the member.
func (m *Members) Each(now clock.Micros, visit func(origin string, member *wire.Member, live bool)) {
	for _, origin := range m.sorted() {
		visit(origin, m.byOrigin[origin], m.mesh.Live(origin, now))
	}
}

// Live returns the live members with a role, sorted by name.
func (m *Members) Live(now clock.Micros, role string) []Member {
	var out []Member
	for _, origin := range m.sorted() {
		if m.byOrigin[origin].Role == role && m.mesh.Live(origin, now) {
			out = append(out, m.memberOf(origin, now))
		}
	}
	return out
}

// Count returns the number of live members with a role.
func (m *Members) Count(now clock.Micros, role string) (n int) {
	for origin, r := range m.byOrigin {
		if r.Role == role && m.mesh.Live(origin, now) {
			n++
		}
	}
	return n
}

// Replica returns the live core that has the replica with that id. The Boolean result is false if
// there is none.
func (m *Members) Replica(id string, now clock.Micros) (Member, bool) {
	for _, origin := range m.sorted() {
		if m.byOrigin[origin].Replica == id && m.mesh.Live(origin, now) {
			return m.memberOf(origin, now), true
		}
	}
	return Member{}, false
}

// Divisor returns the number of nodes by which a fleet-wide allowance is divided. It is the greatest
// number of live nodes within PeakTTL, minus the drained nodes that were removed. A node that is
// isolated or whose fleet shrinks therefore does not use the shares of nodes that it no longer sees.
func (m *Members) Divisor() int { return max(1, m.peak) }
