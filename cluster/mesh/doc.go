// Package mesh is the gossip mesh that connects all processes of a fleet. It floods signed entries,
// keeps the newest entry of each type, id and origin, and determines which origins are live.
//
// The design follows the paper "Gossip Mesh (AgentDNS)": flooding with a hop bound and a seen-set,
// Ed25519 signatures, heartbeats with peer addresses, seeds with backoff, a cap on peers. This
// package adds an order of entries, anti-entropy, rate limits, notices of large entries and several
// origins for one id. docs/mesh.md lists the differences from the paper and their reasons.
//
// # Concepts
//
// An origin is a process, identified by the key that signs its entries and named by the key's
// fingerprint. It numbers its entries with an increasing count; of two entries with the same type, id
// and origin, the one with the higher count wins. This order does not depend on clocks. A restarted
// process has a new key and is a new origin. Versions of a partition belong to no origin: the higher
// version (term, sequence) wins, regardless of its sender.
//
// Each concept has its own file:
//
//   - announce.go: entries of this process.
//   - flood.go: the steps in which an entry is received and forwarded: seen-set, signature, origin,
//     hop bound, rate limit, store, forward. outbox.go batches forwarded entries.
//   - notice.go: for a large entry, only a notice is flooded. A process that lacks the entry requests it.
//   - heartbeat.go, antientropy.go: heartbeats carry a digest of the store. If two digests differ,
//     the processes compare bucket sums, then summaries of origins, and send the missing entries.
//   - links.go, reachability.go: each process announces its connections and the peers that it
//     lost. A process is live if a chain of links, each announced by both ends, leads to it. A
//     suspect refutes the suspicion with a new entry, as SWIM does with an incarnation number.
//   - overlay.go, peers.go: the choice of the processes to connect to, and the connections.
//   - store.go, seen.go: the stored entries and the seen-set.
//   - legacy.go: the protocol of release 1.
//
// # Inputs and outputs
//
// [Mesh] is a plug-in of the kernel: it has no goroutines and reads no clock. Frames, connections
// and timers come in through Step. Frames, dials and timers go out through the kernel's context.
// Other plug-ins announce entries with [Mesh.Announce] and [Mesh.AnnounceVersion], and receive
// changes as the events [Stored], [Forgotten], [CaughtUp] and [LivenessUpdated].
//
// The state is in memory only. No request waits for the mesh: the request path reads snapshots that
// are built from the mesh's events.
package mesh
