// Links: each process tells whom it hears directly, and whom it has ceased to hear. That
// is told when it changes and flooded; from it every process works out who is reached.

package mesh

import (
	"encoding/hex"
	"slices"
	"strings"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of links.
const (
	// LinkGrace is how long a link outlives its channel, which may be opened again.
	LinkGrace = 700_000
	// LinkFirst and LinkEvery are how long a new link waits for others to be told with it: since
	// it came, and since the last telling. LossEvery is the latter for a link that is lost.
	LinkFirst = 100_000
	LinkEvery = 1_000_000
	LossEvery = 100_000
	// LostMost bounds those that are told to be lost.
	LostMost = 64
)

// ended is a channel that has ended: when it did, when its peer was last heard, and the
// highest count known of it then.
type ended struct {
	at, seen int64
	count    uint64
}

// links is what a process tells of its own.
type links struct {
	now    []string
	told   string
	toldAt int64
	since  int64
	lost   map[string]uint64
	due    int64
	ended  map[string]ended
	again  bool
}

// heard lists those that are heard directly, in order.
func (m *Mesh) heard(ctx *kernel.Context) []string {
	var out []string
	open := map[string]bool{}
	for _, p := range m.peers {
		open[p.key] = true
		if ctx.Now-p.lastSeen < LiveFor {
			out = append(out, p.key)
		}
	}
	for fp, e := range m.links.ended {
		switch {
		case open[fp]:
			delete(m.links.ended, fp)
		case ctx.Now-e.at < LinkGrace && ctx.Now-e.seen < LiveFor:
			out = append(out, fp)
		default:
			delete(m.links.ended, fp)
			m.suspect(fp, e.count)
		}
	}
	slices.Sort(out)
	return out
}

// suspect tells of one that fell silent and has said nothing since by any way.
func (m *Mesh) suspect(fp string, count uint64) {
	if o := m.store.origins[fp]; o != nil && o.max <= count && len(m.links.lost) < LostMost {
		m.links.lost[fp] = count
	}
}

// relink looks at the own links, tells them if they changed and works out who is reached.
func (m *Mesh) relink(ctx *kernel.Context) {
	was := m.links.now
	m.links.now = m.heard(ctx)
	for fp, count := range m.links.lost {
		if o := m.store.origins[fp]; o == nil || o.max > count || slices.Contains(m.links.now, fp) {
			delete(m.links.lost, fp)
		}
	}
	if !slices.Equal(was, m.links.now) {
		m.reach(ctx)
	}
	m.tellLinks(ctx)
}

// loses reports whether something that was told is no longer so, or a member fell silent since.
func (l *links) loses() bool {
	peers, lost, _ := strings.Cut(l.told, "|")
	for _, fp := range strings.Fields(peers) {
		if !slices.Contains(l.now, fp) {
			return true
		}
	}
	for fp := range l.lost {
		if !strings.Contains(lost, fp) {
			return true
		}
	}
	return false
}

// tellLinks tells the own links, a loss soon and a gain together with others.
func (m *Mesh) tellLinks(ctx *kernel.Context) {
	l := &m.links
	now := strings.Join(l.now, " ") + "|" + strings.Join(sortedKeys(l.lost), " ")
	if now == l.told && !l.again {
		l.since = 0
		return
	}
	if l.since == 0 {
		l.since = ctx.Now
	}
	at := max(l.toldAt+LinkEvery, l.since+LinkFirst)
	if l.again || l.loses() {
		at = l.toldAt + LossEvery
	}
	if l.toldAt == 0 {
		at = l.since + LinkFirst
	}
	if ctx.Now < at {
		if l.due == 0 || at < l.due {
			l.due = at
			ctx.After(at-ctx.Now, "mesh", "links")
		}
		return
	}
	l.due, l.since, l.told, l.toldAt, l.again = 0, 0, now, ctx.Now, false
	body := wire.Links{}
	for _, fp := range l.now {
		b, _ := hex.DecodeString(fp)
		body.Peers = append(body.Peers, b...)
	}
	for _, fp := range sortedKeys(l.lost) {
		body.Lost = append(body.Lost, wire.Suspect{Origin: fp, Count: l.lost[fp]})
	}
	ctx.Counts.Add("mesh_links_told", 1)
	m.Announce(ctx, "links", m.self, wire.Encode(&body), false)
}

// linked takes in what another tells of its links.
func (m *Mesh) linked(ctx *kernel.Context, o *origin, e *wire.Entry) {
	var l wire.Links
	if wire.Decode(e.Body, &l) != nil || len(l.Peers)%8 != 0 || len(l.Peers) > 8*LinksMost || len(l.Lost) > LostMost {
		ctx.Counts.Add("mesh_dropped_malformed", 1)
		return
	}
	o.links = o.links[:0]
	for i := 0; i < len(l.Peers); i += 8 {
		fp := hex.EncodeToString(l.Peers[i : i+8])
		o.links = append(o.links, fp)
		m.store.lift(fp)
	}
	for _, s := range l.Lost {
		m.suspected(ctx, s)
	}
	m.reachSoon(ctx)
}

// suspected takes note of one that another has lost. This process itself says that it is there.
func (m *Mesh) suspected(ctx *kernel.Context, s wire.Suspect) {
	if s.Origin == m.self {
		if s.Count >= m.count {
			ctx.Counts.Add("mesh_refuted", 1)
			m.links.again = true
			m.tellLinks(ctx)
		}
		return
	}
	if o := m.store.origins[s.Origin]; o != nil && s.Count >= o.max && s.Count > o.suspect {
		o.suspect, o.suspectAt = s.Count, ctx.Now
		ctx.After(SuspectFor, "mesh", "reach")
	}
}
