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
	// LinkGracePeriod is how long a link outlives its channel, which may be opened again.
	LinkGracePeriod = 700_000
	// LinkBatchDelay and LinkAnnounceInterval are how long a new link waits for others to be told with it: since
	// it came, and since the last telling. LossAnnounceInterval is the latter for a link that is lost.
	LinkBatchDelay       = 100_000
	LinkAnnounceInterval = 1_000_000
	LossAnnounceInterval = 100_000
	// MaxLostLinks bounds those that are told to be lost.
	MaxLostLinks = 64
)

// closedConn is a channel that has ended: when it did, when its peer was last heard, and the
// highest count known of it then.
type closedConn struct {
	closedAt, lastSeen int64
	maxCount           uint64
}

// linkState is what a process tells of its own.
type linkState struct {
	current     []string
	announced   string
	announcedAt int64
	changedAt   int64
	lost        map[string]uint64
	announceDue int64
	closed      map[string]closedConn
	reannounce  bool
}

// directPeers lists those that are heard directly, in order.
func (m *Mesh) directPeers(ctx *kernel.Context) []string {
	var out []string
	open := map[string]bool{}
	for _, p := range m.peers {
		open[p.key] = true
		if ctx.Now-p.lastSeen < LivenessTimeout {
			out = append(out, p.key)
		}
	}
	for fp, e := range m.links.closed {
		switch {
		case open[fp]:
			delete(m.links.closed, fp)
		case ctx.Now-e.closedAt < LinkGracePeriod && ctx.Now-e.lastSeen < LivenessTimeout:
			out = append(out, fp)
		default:
			delete(m.links.closed, fp)
			m.suspectPeer(fp, e.maxCount)
		}
	}
	slices.Sort(out)
	return out
}

// suspectPeer tells of one that fell silent and has said nothing since by any way.
func (m *Mesh) suspectPeer(fp string, count uint64) {
	if o := m.store.origins[fp]; o != nil && o.maxCount <= count && len(m.links.lost) < MaxLostLinks {
		m.links.lost[fp] = count
	}
}

// updateLinks looks at the own links, tells them if they changed and works out who is reached.
func (m *Mesh) updateLinks(ctx *kernel.Context) {
	was := m.links.current
	m.links.current = m.directPeers(ctx)
	for fp, count := range m.links.lost {
		if o := m.store.origins[fp]; o == nil || o.maxCount > count || slices.Contains(m.links.current, fp) {
			delete(m.links.lost, fp)
		}
	}
	if !slices.Equal(was, m.links.current) {
		m.updateReachability(ctx)
	}
	m.announceLinks(ctx)
}

// hasLoss reports whether something that was told is no longer so, or a member fell silent since.
func (l *linkState) hasLoss() bool {
	peers, lost, _ := strings.Cut(l.announced, "|")
	for _, fp := range strings.Fields(peers) {
		if !slices.Contains(l.current, fp) {
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

// announceLinks tells the own links, a loss soon and a gain together with others.
func (m *Mesh) announceLinks(ctx *kernel.Context) {
	l := &m.links
	now := strings.Join(l.current, " ") + "|" + strings.Join(sortedKeys(l.lost), " ")
	if now == l.announced && !l.reannounce {
		l.changedAt = 0
		return
	}
	if l.changedAt == 0 {
		l.changedAt = ctx.Now
	}
	at := max(l.announcedAt+LinkAnnounceInterval, l.changedAt+LinkBatchDelay)
	if l.reannounce || l.hasLoss() {
		at = l.announcedAt + LossAnnounceInterval
	}
	if l.announcedAt == 0 {
		at = l.changedAt + LinkBatchDelay
	}
	if ctx.Now < at {
		if l.announceDue == 0 || at < l.announceDue {
			l.announceDue = at
			ctx.After(at-ctx.Now, "mesh", "links")
		}
		return
	}
	l.announceDue, l.changedAt, l.announced, l.announcedAt, l.reannounce = 0, 0, now, ctx.Now, false
	body := wire.Links{}
	for _, fp := range l.current {
		b, _ := hex.DecodeString(fp)
		body.Peers = append(body.Peers, b...)
	}
	for _, fp := range sortedKeys(l.lost) {
		body.Suspects = append(body.Suspects, wire.Suspect{Origin: fp, Count: l.lost[fp]})
	}
	ctx.Counts.Add("mesh_links_told", 1)
	m.Announce(ctx, "links", m.self, wire.Encode(&body), false)
}

// handleLinks takes in what another tells of its links.
func (m *Mesh) handleLinks(ctx *kernel.Context, o *originState, e *wire.Entry) {
	var l wire.Links
	if wire.Decode(e.Body, &l) != nil || len(l.Peers)%8 != 0 || len(l.Peers) > 8*MaxLinks || len(l.Suspects) > MaxLostLinks {
		ctx.Counts.Add("mesh_dropped_malformed", 1)
		return
	}
	o.links = o.links[:0]
	for i := 0; i < len(l.Peers); i += 8 {
		fp := hex.EncodeToString(l.Peers[i : i+8])
		o.links = append(o.links, fp)
		m.store.restore(fp)
	}
	for _, s := range l.Suspects {
		m.handleSuspicion(ctx, s)
	}
	m.scheduleReach(ctx)
}

// handleSuspicion takes note of one that another has lost. This process itself says that it is there.
func (m *Mesh) handleSuspicion(ctx *kernel.Context, s wire.Suspect) {
	if s.Origin == m.self {
		if s.Count >= m.count {
			ctx.Counts.Add("mesh_refuted", 1)
			m.links.reannounce = true
			m.announceLinks(ctx)
		}
		return
	}
	if o := m.store.origins[s.Origin]; o != nil && s.Count >= o.maxCount && s.Count > o.suspectCount {
		o.suspectCount, o.suspectedAt = s.Count, ctx.Now
		ctx.After(SuspicionTimeout, "mesh", "reach")
	}
}
