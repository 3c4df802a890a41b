package mesh

import (
	"encoding/hex"
	"slices"
	"strings"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Constants of links.
const (
	// LinkGracePeriod is how long a link outlives its connection, which may be opened again.
	LinkGracePeriod = 700 * clock.Millisecond
	// LinkBatchDelay is how long a new link waits for others to be announced with it.
	LinkBatchDelay = 100 * clock.Millisecond
	// LinkAnnounceInterval is the least time between two announcements of new links,
	// LossAnnounceInterval that before the announcement of a lost one.
	LinkAnnounceInterval = 1 * clock.Second
	LossAnnounceInterval = 100 * clock.Millisecond
	// MaxLostLinks bounds the lost links in one announcement.
	MaxLostLinks = 64

	// fingerprintBytes is the length of a fingerprint in an entry.
	fingerprintBytes = 8
	// lostSeparator stands between the current and the lost peers in linkState.announced.
	lostSeparator = "|"
)

// closedConn is a closed connection: when it was closed, when its peer was last heard, and the
// highest count of the peer's entries at that moment.
type closedConn struct {
	closedAt, lastSeen clock.Micros
	maxCount           uint64
}

// linkState is what this process announces of its links.
type linkState struct {
	current     []string
	announced   string
	announcedAt clock.Micros
	changedAt   clock.Micros
	lost        map[string]uint64
	announceDue clock.Micros
	closed      map[string]closedConn
	reannounce  bool
}

// directPeers returns the sorted fingerprints of the processes that are heard directly, those of
// recently closed connections included.
func (m *Mesh) directPeers(ctx *kernel.Context) []string {
	var out []string
	open := map[string]bool{}
	for _, peer := range m.peers {
		open[peer.key] = true
		if ctx.Now-peer.lastSeen < LivenessTimeout {
			out = append(out, peer.key)
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

// suspectPeer suspects a lost peer that has announced nothing since the loss.
func (m *Mesh) suspectPeer(fp string, count uint64) {
	if origin := m.store.origins[fp]; origin != nil && origin.maxCount <= count && len(m.links.lost) < MaxLostLinks {
		m.links.lost[fp] = count
	}
}

// updateLinks evaluates the own links and announces them if they changed.
func (m *Mesh) updateLinks(ctx *kernel.Context) {
	was := m.links.current
	m.links.current = m.directPeers(ctx)
	for fp, count := range m.links.lost {
		if origin := m.store.origins[fp]; origin == nil || origin.maxCount > count || slices.Contains(m.links.current, fp) {
			delete(m.links.lost, fp)
		}
	}
	if !slices.Equal(was, m.links.current) {
		m.updateReachability(ctx)
	}
	m.announceLinks(ctx)
}

// hasLoss reports whether an announced link is gone or a peer was lost since the last announcement.
func (l *linkState) hasLoss() bool {
	peers, lost, _ := strings.Cut(l.announced, lostSeparator)
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

// announceLinks announces the own links if they changed: a loss soon, a new link together with
// others.
func (m *Mesh) announceLinks(ctx *kernel.Context) {
	own := &m.links
	current := strings.Join(own.current, " ") + lostSeparator + strings.Join(sortedKeys(own.lost), " ")
	if current == own.announced && !own.reannounce {
		own.changedAt = 0
		return
	}
	if own.changedAt == 0 {
		own.changedAt = ctx.Now
	}
	if at := own.nextAnnounce(); ctx.Now < at {
		if own.announceDue == 0 || at < own.announceDue {
			own.announceDue = at
			ctx.After(at-ctx.Now, pluginName, timerLinks)
		}
		return
	}
	own.announceDue, own.changedAt, own.announced, own.announcedAt, own.reannounce = 0, 0, current, ctx.Now, false
	ctx.Counts.Add("mesh_links_told", 1)
	body := own.entryBody()
	m.Announce(ctx, EntryLinks, m.self, wire.Encode(&body), false)
}

// nextAnnounce returns when the changed links are to be announced.
func (l *linkState) nextAnnounce() clock.Micros {
	switch {
	case l.announcedAt == 0:
		return l.changedAt + LinkBatchDelay
	case l.reannounce || l.hasLoss():
		return l.announcedAt + LossAnnounceInterval
	default:
		return max(l.announcedAt+LinkAnnounceInterval, l.changedAt+LinkBatchDelay)
	}
}

// entryBody encodes the links as they are announced.
func (l *linkState) entryBody() wire.Links {
	var body wire.Links
	for _, fp := range l.current {
		b, _ := hex.DecodeString(fp)
		body.Peers = append(body.Peers, b...)
	}
	for _, fp := range sortedKeys(l.lost) {
		body.Suspects = append(body.Suspects, wire.Suspect{Origin: fp, Count: l.lost[fp]})
	}
	return body
}

// handleLinks handles the links that another process announced.
func (m *Mesh) handleLinks(ctx *kernel.Context, origin *originState, entry *wire.Entry) {
	var links wire.Links
	if wire.Decode(entry.Body, &links) != nil || len(links.Peers)%fingerprintBytes != 0 || len(links.Peers) > fingerprintBytes*MaxLinks || len(links.Suspects) > MaxLostLinks {
		ctx.Counts.Add("mesh_dropped_malformed", 1)
		return
	}
	origin.links = origin.links[:0]
	for i := 0; i < len(links.Peers); i += fingerprintBytes {
		fp := hex.EncodeToString(links.Peers[i : i+fingerprintBytes])
		origin.links = append(origin.links, fp)
		m.store.restore(fp)
	}
	for _, s := range links.Suspects {
		m.handleSuspicion(ctx, s)
	}
	m.scheduleReach(ctx)
}

// handleSuspicion handles the suspicion of a process by another. If this process is suspected, it
// refutes that by announcing its links with a new count.
func (m *Mesh) handleSuspicion(ctx *kernel.Context, s wire.Suspect) {
	if s.Origin == m.self {
		if s.Count >= m.count {
			ctx.Counts.Add("mesh_refuted", 1)
			m.links.reannounce = true
			m.announceLinks(ctx)
		}
		return
	}
	if origin := m.store.origins[s.Origin]; origin != nil && s.Count >= origin.maxCount && s.Count > origin.suspectCount {
		origin.suspectCount, origin.suspectedAt = s.Count, ctx.Now
		ctx.After(SuspicionTimeout, pluginName, timerReach)
	}
}
