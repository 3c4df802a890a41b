package mesh

import (
	"encoding/hex"
	"slices"
	"strings"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Times and bounds of links and their announcements.
const (
	// LinkGracePeriod is how long a link remains after its connection is closed, since the connection
	// may be reopened.
	LinkGracePeriod = 700 * clock.Millisecond
	// LinkBatchDelay is how long the announcement of a new link is delayed, to batch it with others.
	LinkBatchDelay = 100 * clock.Millisecond
	// LinkAnnounceInterval is the least time between an announcement and a later one that only adds
	// links, LossAnnounceInterval the least time between an announcement and a later one that reports a
	// lost link or must repeat the links, for example to refute a suspicion.
	LinkAnnounceInterval = 1 * clock.Second
	LossAnnounceInterval = 100 * clock.Millisecond
	// MaxLostLinks bounds the suspected peers in one announcement.
	MaxLostLinks = 64

	// fingerprintBytes is the length of a fingerprint in an entry, in bytes.
	fingerprintBytes = 8
	// lostSeparator separates the current from the lost peers in linkState.announced.
	lostSeparator = "|"
)

// closedConn describes a closed connection: when it was closed, when the last message from its peer
// arrived, and the highest count of the peer's entries when it was closed.
type closedConn struct {
	closedAt, lastSeen clock.Micros
	maxCount           uint64
}

// linkState holds this process's links and the state of their announcement.
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

// directPeers returns the sorted fingerprints of the peers from which a message arrived within
// LivenessTimeout, including those of connections closed within LinkGracePeriod. Once either period has
// passed for a closed connection, directPeers marks its peer as suspected.
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

// suspectPeer marks a lost peer as suspected, unless it has announced an entry with a count above
// the given one since the loss.
func (m *Mesh) suspectPeer(fp string, count uint64) {
	if origin := m.store.origins[fp]; origin != nil && origin.maxCount <= count && len(m.links.lost) < MaxLostLinks {
		m.links.lost[fp] = count
	}
}

// updateLinks recomputes this process's links and announces them if they changed.
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

// hasLoss reports whether, since the last announcement, an announced link has ended or a peer has become
// suspected.
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

// announceLinks announces this process's links if they changed, or schedules the announcement: a
// lost link after a short interval, new links in batches.
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

// entryBody returns the links in the form in which they are announced.
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

// handleSuspicion handles a suspicion that another process announced. If this process is the suspect, it
// refutes the suspicion by announcing its links again with a new count.
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
