package mesh

import (
	"crypto/ed25519"

	"wallport/runtime/clock"
	"wallport/runtime/kernel"
	"wallport/runtime/settings"
	"wallport/runtime/wire"
)

// Times and bounds of the mesh protocol. docs/mesh.md gives the reasons for their values.
const (
	// MaxHops bounds the number of hops over which an entry is forwarded.
	MaxHops = 16
	// MaxPeers bounds the open mesh connections of a process.
	MaxPeers = 15
	// HeartbeatInterval is the time between two heartbeats on a connection.
	HeartbeatInterval = 1 * clock.Second
	// LivenessTimeout is how long after its last message a peer still counts as live.
	LivenessTimeout = 3500 * clock.Millisecond
	// PeerTimeout is how long after its last message a peer's connection is closed. It exceeds
	// LivenessTimeout so that a short pause of a process does not break up the overlay.
	PeerTimeout = 4 * clock.Second
	// ForgetAfter is how long an origin must be unreachable before its entries are dropped.
	ForgetAfter = 30 * clock.Second
	// SeedInterval is how often every process dials the seeds at whose address it reaches no process.
	SeedInterval = 30 * clock.Second
	// MinBackoff and MaxBackoff bound the wait between two dials of one address. For a seed,
	// MaxSeedBackoff is the upper bound.
	MinBackoff     = 500 * clock.Millisecond
	MaxBackoff     = 5 * clock.Second
	MaxSeedBackoff = 1 * clock.Second
	// SeenTTL and MaxSeen bound the seen-set by age and by number of entries.
	SeenTTL = 60 * clock.Second
	MaxSeen = 1 << 16
	// OriginRate and OriginBurst are the token bucket limits on the entries accepted from one origin:
	// the rate in entries per second, and the burst in entries.
	OriginRate  = 30
	OriginBurst = 256
	// MaxAddrs bounds the addresses that are kept for dialling.
	MaxAddrs = 512
	// Release is the release of the mesh protocol. In releases up to 1, heartbeats carried the signed
	// heartbeat of every origin; see legacy.go.
	Release = 2
)

const pluginName = "mesh"

// Keys of the mesh's timers.
const (
	timerHeartbeat = "beat"
	timerReach     = "reach"
	timerLinks     = "links"
	timerForward   = "forward"
	timerSyncRetry = "again"
	timerDial      = "dial"
)

// Stored is emitted when an entry has been stored. An entry is stored only if it is newer than the one
// that it replaces. Local reports whether this process announced it.
type Stored struct {
	Entry  *wire.Entry
	Origin string
	Local  bool
}

// Forgotten is emitted when the entries of an origin are dropped because it was unreachable for
// ForgetAfter.
type Forgotten struct{ Origin string }

// CaughtUp is emitted when a peer's digest or summaries show that this process lacks no entry that the
// peer has.
type CaughtUp struct{}

// LivenessUpdated is emitted whenever this process has sent its heartbeats, and whenever the set of
// reachable origins has changed.
type LivenessUpdated struct{}

// peerConn is an open mesh connection and the peer at its other end.
type peerConn struct {
	conn     uint64
	addr     string
	zone     string
	key      string
	since    clock.Micros
	lastSeen clock.Micros
	// legacy reports whether the peer uses the protocol of release 1.
	legacy bool
	syncState
	outbox outbox
}

// Mesh is the kernel plug-in that runs the gossip mesh of one process.
type Mesh struct {
	k    *kernel.Kernel
	self string
	addr string
	// count is the count of this process's newest entry.
	count           uint64
	peers           map[uint64]*peerConn
	store           store
	seen            *seenSet
	dials           map[string]*dialState
	lastSeed        clock.Micros
	seeds           []string
	links           linkState
	requests        map[wire.Notice]entryRequest
	reachScheduled  bool
	startedAt       clock.Micros
	lastReach       clock.Micros
	reachGeneration uint64
	// legacy reports whether a process of release 1 was connected or reachable at the last heartbeat.
	legacy bool
	// inSync reports whether, since its start or its last thaw, this process has once had every entry
	// that one of its peers had.
	inSync bool
	// changedAt is when an entry was last received or announced, and syncRequestedAt when anti-entropy last
	// requested entries from any peer.
	changedAt       clock.Micros
	syncRequestedAt clock.Micros
	// syncTokens is the number of bytes that anti-entropy may send, as of syncTokensAt; it is refilled at
	// SyncBytesPerSecond.
	syncTokens   int
	syncTokensAt clock.Micros
	// prunedAt is when a surplus connection was last closed.
	prunedAt clock.Micros
	// forwardedAt is when entries were last forwarded, and forwardScheduled is set while a timer for the
	// next batch is set. A stopping process forwards without batching.
	forwardedAt      clock.Micros
	forwardScheduled bool
	stopping         bool
}

func init() {
	kernel.Register(kernel.Registration{Rank: 10, Roles: []string{settings.RoleNode, settings.RoleCore}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return New(k)
	}})
}

// New returns the mesh of one process.
func New(k *kernel.Kernel) *Mesh {
	m := &Mesh{
		k: k, self: kernel.Fingerprint(k.Boot.Key.Public), addr: k.Boot.Settings.Mesh,
		peers: map[uint64]*peerConn{}, store: newStore(), seen: newSeenSet(), dials: map[string]*dialState{},
		requests: map[wire.Notice]entryRequest{}, links: linkState{lost: map[string]uint64{}, closed: map[string]closedConn{}}, syncTokens: SyncBytesPerSecond,
	}
	self := m.store.origin(m.self, 0)
	self.heartbeat, self.key, self.sig = 1, k.Boot.Key.Public, ed25519.Sign(k.Boot.Key.Private, signedHeartbeatText(1))
	return m
}

// Name returns the plug-in's name.
func (m *Mesh) Name() string { return pluginName }

// Kinds returns the kinds of the frames that the mesh handles.
func (m *Mesh) Kinds() []uint8 { return []uint8{wire.KindHeartbeat, wire.KindGossip, wire.KindNotice} }

// Self returns the fingerprint of this process's key.
func (m *Mesh) Self() string { return m.self }

// Step handles one input of the kernel.
func (m *Mesh) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		m.start(ctx)
		ctx.After(ctx.Rand.Int64N(HeartbeatInterval), pluginName, timerHeartbeat)
	case kernel.Tick:
		m.tick(ctx, v.Key)
	case kernel.SeedsChanged:
		m.setSeeds(ctx, v.Seeds)
	case kernel.ConnUp:
		if v.Mesh {
			m.handleConnUp(ctx, v)
		}
	case kernel.ConnDown:
		if v.Mesh {
			m.handleConnDown(ctx, v)
		}
	case kernel.Stopping:
		m.stopping = true
		m.flushAll(ctx)
	case kernel.Thawed:
		m.thawed(ctx, v.Gap)
	case kernel.Message:
		m.handleMessage(ctx, v)
	}
}

func (m *Mesh) tick(ctx *kernel.Context, key string) {
	switch key {
	case timerHeartbeat:
		m.sendHeartbeats(ctx)
	case timerReach:
		m.reachScheduled = false
		m.updateReachability(ctx)
	case timerLinks:
		m.links.announceDue = 0
		m.updateLinks(ctx)
	case timerForward:
		m.forwardScheduled = false
		m.flushAll(ctx)
	case timerSyncRetry:
		m.requestDueSyncs(ctx)
	case timerDial:
		m.maintainLinks(ctx)
	}
}

// thawed handles the end of a freeze that lasted for gap: it excludes the gap from all time-outs, and
// requests from every peer the entries that this process missed.
func (m *Mesh) thawed(ctx *kernel.Context, gap clock.Micros) {
	for _, peer := range m.peers {
		peer.lastSeen = ctx.Now
	}
	for _, origin := range m.store.origins {
		origin.heartbeatAt += gap
		origin.lastLive += gap
		origin.suspectedAt += gap
	}
	m.inSync = false
	for _, id := range sortedKeys(m.peers) {
		if m.legacy {
			hb := m.legacyHeartbeat()
			hb.WantReply = true
			ctx.SendLatest(id, wire.KindHeartbeat, hb, "echo")
			continue
		}
		m.requestSync(ctx, m.peers[id])
	}
}

// Peers returns the number of open mesh connections.
func (m *Mesh) Peers() int { return len(m.peers) }

// Partition returns the newest stored version of a partition, and whether there is one.
func (m *Mesh) Partition(partition int) (wire.Versioned, bool) {
	entry, ok := m.store.partitions[partition]
	if !ok {
		return wire.Versioned{}, false
	}
	return wire.Versioned{Version: entry.Version, Body: entry.Body}, true
}

// Each calls f for the stored entries of a type, except tombstones, sorted by origin and then by id.
func (m *Mesh) Each(typ string, f func(entry *wire.Entry, origin string)) {
	for _, fp := range sortedKeys(m.store.origins) {
		origin := m.store.origins[fp]
		for _, key := range sortedKeys(origin.entries) {
			if entry := origin.entries[key]; entry.Type == typ && !entry.Tombstone {
				f(entry, fp)
			}
		}
	}
}

// Newer reports whether version a is newer than version b, by term and then by sequence.
func Newer(a, b wire.Version) bool {
	return a.Term > b.Term || a.Term == b.Term && a.Seq > b.Seq
}
