// Package mesh floods signed announcements between all processes of a fleet
// and keeps what each origin last said. It is the gossip mesh of AgentDNS with
// four things added: order, catch-up, flood limits and many origins per id.
// Nothing on a request's path waits for it; docs/mesh.md tells the reasons.
package mesh

import (
	"crypto/ed25519"

	"wallport/runtime/kernel"
	"wallport/runtime/wire"
)

// Figures of the mesh; docs/mesh.md says how they were come by.
const (
	MaxHops           = 16
	MaxPeers          = 15
	HeartbeatInterval = 1_000_000
	PeerTimeout       = 4_000_000
	LivenessTimeout   = 3_500_000
	ForgetAfter       = 30_000_000
	SeedInterval      = 30_000_000
	MinBackoff        = 500_000
	MaxBackoff        = 5_000_000
	MaxSeedBackoff    = 1_000_000
	SeenTTL           = 60_000_000
	MaxSeen           = 1 << 16
	OriginRate        = 30
	OriginBurst       = 256
	MaxAddrs          = 512
	// Release is that of the mesh's messages; 1 and before carried every origin's beat.
	Release = 2
)

// Stored is emitted when an entry newer than what was held has been taken in.
type Stored struct {
	Entry  *wire.Entry
	Origin string
	Local  bool
}

// Forgotten is emitted when an origin has been silent so long that its entries are dropped.
type Forgotten struct{ Origin string }

// CaughtUp is emitted when a peer's marks show nothing that this process lacks.
type CaughtUp struct{}

// LivenessUpdated is emitted once a heartbeat, after liveness was judged anew.
type LivenessUpdated struct{}

type peerConn struct {
	conn     uint64
	addr     string
	zone     string
	key      string
	dialed   bool
	since    int64
	lastSeen int64
	// legacy is that it speaks the messages of the release before.
	legacy bool
	syncState
	outbox outbox
}

// Mesh is the plug-in.
type Mesh struct {
	k        *kernel.Kernel
	self     string
	addr     string
	count    uint64
	peers    map[uint64]*peerConn
	store    store
	seen     *seenSet
	dials    map[string]*dialState
	lastSeed int64
	seeds    []string
	links    linkState
	requests map[wire.Notice]entryRequest
	// turn counts the changes of who is reached.
	turn            uint64
	reachScheduled  bool
	startedAt       int64
	lastReach       int64
	reachGeneration uint64
	// legacy is that a process of the release before is there.
	legacy bool
	// inSync is that this process has once had all that a peer had, since its start or thaw.
	inSync          bool
	changedAt       int64
	syncRequestedAt int64
	syncTokens      int
	syncTokensAt    int64
	prunedAt        int64
	// forwardedAt is when entries were last forwarded; stopping that none may wait any more.
	forwardedAt      int64
	forwardScheduled bool
	stopping         bool
}

func init() {
	kernel.Register(kernel.Registration{Rank: 10, Roles: []string{"node", "core"}, Make: func(k *kernel.Kernel) kernel.Plugin {
		return New(k)
	}})
}

// New makes the mesh of one process.
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

// Name is the plug-in's name.
func (m *Mesh) Name() string { return "mesh" }

// Kinds are the frames that it takes.
func (m *Mesh) Kinds() []uint8 { return []uint8{wire.KindHeartbeat, wire.KindGossip, wire.KindNotice} }

// Self is the fingerprint of this process's key.
func (m *Mesh) Self() string { return m.self }

// Step takes one input.
func (m *Mesh) Step(ctx *kernel.Context, in kernel.Input) {
	switch v := in.(type) {
	case kernel.Start:
		m.start(ctx)
		ctx.After(ctx.Rand.Int64N(HeartbeatInterval), "mesh", "beat")
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
	case "beat":
		m.sendHeartbeats(ctx)
	case "reach":
		m.reachScheduled = false
		m.updateReachability(ctx)
	case "links":
		m.links.announceDue = 0
		m.updateLinks(ctx)
	case "forward":
		m.forwardScheduled = false
		m.flushAll(ctx)
	case "again":
		m.requestDueSyncs(ctx)
	case "dial":
		m.maintainLinks(ctx)
	}
}

// thawed: what happened meanwhile is asked for; how long others were silent counts from now on.
func (m *Mesh) thawed(ctx *kernel.Context, gap int64) {
	for _, p := range m.peers {
		p.lastSeen = ctx.Now
	}
	for _, o := range m.store.origins {
		o.heartbeatAt += gap
		o.lastLive += gap
		o.suspectedAt += gap
	}
	m.inSync = false
	for _, id := range sortedKeys(m.peers) {
		if m.legacy {
			hb := m.legacyHeartbeat()
			hb.Echo = true
			ctx.SendLatest(id, wire.KindHeartbeat, hb, "echo")
			continue
		}
		m.requestSync(ctx, m.peers[id])
	}
}

// Peers counts the open mesh channels.
func (m *Mesh) Peers() int { return len(m.peers) }

// Partition gives the newest version of a partition that the mesh has brought.
func (m *Mesh) Partition(partition int) (wire.Versioned, bool) {
	e, ok := m.store.partitions[partition]
	if !ok {
		return wire.Versioned{}, false
	}
	return wire.Versioned{Version: e.Version, Body: e.Body}, true
}

// Each visits the held entries of a type.
func (m *Mesh) Each(typ string, f func(e *wire.Entry, origin string)) {
	for _, fp := range sortedKeys(m.store.origins) {
		o := m.store.origins[fp]
		for _, key := range sortedKeys(o.entries) {
			if e := o.entries[key]; e.Type == typ && !e.Tombstone {
				f(e, fp)
			}
		}
	}
}

// Newer reports whether version a comes after b.
func Newer(a, b wire.Version) bool {
	return a.Term > b.Term || a.Term == b.Term && a.Seq > b.Seq
}
