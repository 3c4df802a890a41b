package mesh

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// Bounds of the store.
const (
	// MaxOrigins bounds the number of origins, MaxEntries the entries of one origin.
	MaxOrigins = 4096
	MaxEntries = 4096
	// TombstoneTTL is how long the tombstone of a withdrawn entry is kept.
	TombstoneTTL = 60 * clock.Second
	// Two origins that are forgotten less than sameCauseWindow apart are assumed to have been separated
	// by the same network partition.
	sameCauseWindow = 3 * clock.Second
)

// originState is the state of one origin: its entries, their sum, its rate limit and its liveness.
type originState struct {
	// fingerprint is the fingerprint of the origin's key. hash is a hash of it, which selects the bucket.
	fingerprint string
	hash        uint64
	// maxCount is the highest count of the origin's entries. sum is the XOR of the hashes of its entries
	// that are not withdrawn.
	maxCount uint64
	sum      uint64
	// heartbeat is the origin's newest heartbeat count and heartbeatAt when it was received; key and sig
	// are the public key and the signature that prove it. Only processes of release 1 rely on it; see
	// legacy.go.
	heartbeat   uint64
	heartbeatAt clock.Micros
	key         []byte
	sig         []byte
	// tokens is the content of the origin's token bucket at tokensAt. It is refilled at OriginRate, and
	// each accepted entry takes one token.
	tokens   float64
	tokensAt clock.Micros
	// entries maps each entryKey to the newest entry. tombstones lists the withdrawn entries, oldest
	// first.
	entries    map[string]*wire.Entry
	tombstones []tombstone
	liveness
}

// tombstone is an entry that its origin withdrew.
type tombstone struct {
	key         string
	count       uint64
	withdrawnAt clock.Micros
}

// store holds the newest entry of each type, id and origin, the newest version of each partition, and
// the sums by which two stores are compared. Its size is bounded.
type store struct {
	origins    map[string]*originState
	partitions map[int]*wire.Entry
	forgotten  map[string]forgottenOrigin
	// buckets holds, for each bucket, the XOR of bucketSum over its origins; an origin's bucket follows
	// from the hash of its fingerprint. versionsHash is the XOR of the hashes of the partitions'
	// versions.
	buckets      [DigestBuckets]uint64
	versionsHash uint64
}

// forgottenOrigin holds the last heartbeat count of a forgotten origin and when it was forgotten.
type forgottenOrigin struct {
	heartbeat   uint64
	forgottenAt clock.Micros
}

func newStore() store {
	return store{origins: map[string]*originState{}, partitions: map[int]*wire.Entry{}, forgotten: map[string]forgottenOrigin{}}
}

// origin returns the state of an origin, which it creates on first use. It returns nil for a new
// origin if there are already MaxOrigins.
func (s *store) origin(fp string, now clock.Micros) *originState {
	origin := s.origins[fp]
	if origin == nil && len(s.origins) < MaxOrigins {
		origin = &originState{fingerprint: fp, hash: hash(fp), entries: map[string]*wire.Entry{}, tokens: OriginBurst, tokensAt: now, heartbeatAt: now}
		origin.lastLive = now
		s.origins[fp] = origin
	}
	return origin
}

func entryKey(entry *wire.Entry) string { return entry.Type + "\x00" + entry.ID }

func entryHash(entry *wire.Entry) uint64 {
	h := fnv.New64a()
	h.Write([]byte(entryKey(entry)))
	var b [8]byte
	for i := range b {
		b[i] = byte(entry.Count >> (8 * i))
	}
	h.Write(b[:])
	return h.Sum64()
}

func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return mix(h.Sum64())
}

func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// put stores an entry if it is newer than the stored one of the same origin, type and id, and
// reports whether it did. Withdrawn entries are left out of the sums, so two stores do not differ
// when one of them has already dropped its tombstones.
func (s *store) put(entry *wire.Entry, fp string, now clock.Micros) bool {
	origin := s.origin(fp, now)
	if origin == nil {
		return false
	}
	key := entryKey(entry)
	old := origin.entries[key]
	if old != nil && old.Count >= entry.Count || old == nil && len(origin.entries) >= MaxEntries {
		return false
	}
	sum := origin.sum
	if old != nil && !old.Tombstone {
		sum ^= entryHash(old)
	}
	if !entry.Tombstone {
		sum ^= entryHash(entry)
	} else {
		origin.tombstones = append(origin.tombstones, tombstone{key, entry.Count, now})
	}
	origin.entries[key] = entry
	s.setSum(origin, sum)
	origin.maxCount = max(origin.maxCount, entry.Count)
	return true
}

// setSum replaces an origin's sum and updates the sum of its bucket.
func (s *store) setSum(origin *originState, sum uint64) {
	s.buckets[origin.hash%DigestBuckets] ^= origin.bucketSum() ^ mix(origin.hash^sum)*nonzero(sum)
	origin.sum = sum
}

// bucketSum returns the origin's contribution to its bucket: 0 if the origin's sum is 0, as it is
// without entries.
func (o *originState) bucketSum() uint64 { return mix(o.hash^o.sum) * nonzero(o.sum) }

func nonzero(x uint64) uint64 { return min(x, 1) }

// putVersion stores a version of a partition if it is newer than the stored one, and reports
// whether it did.
func (s *store) putVersion(entry *wire.Entry) bool {
	held, ok := s.partitions[entry.Version.Partition]
	if ok && !Newer(entry.Version, held.Version) {
		return false
	}
	if ok {
		s.versionsHash ^= versionHash(held.Version)
	}
	s.versionsHash ^= versionHash(entry.Version)
	s.partitions[entry.Version.Partition] = entry
	return true
}

func versionHash(st wire.Version) uint64 { return mix(mix(st.Term^uint64(st.Partition)<<56) ^ st.Seq) }

// forget drops an origin and records its last heartbeat count, so that a peer with older state cannot
// restore the origin.
func (s *store) forget(fp string, now clock.Micros) {
	if origin := s.origins[fp]; origin != nil {
		if len(s.forgotten) >= MaxOrigins {
			clear(s.forgotten)
		}
		s.forgotten[fp] = forgottenOrigin{origin.heartbeat, now}
		s.buckets[origin.hash%DigestBuckets] ^= origin.bucketSum()
	}
	delete(s.origins, fp)
}

// restore deletes the record of a forgotten origin that is running again. It also deletes the records of
// the origins that were forgotten within sameCauseWindow of it, since the same network partition
// probably separated them. It reports whether the origin had been forgotten.
func (s *store) restore(fp string) bool {
	g, ok := s.forgotten[fp]
	if !ok {
		return false
	}
	for other, o := range s.forgotten {
		if other == fp || max(o.forgottenAt-g.forgottenAt, g.forgottenAt-o.forgottenAt) < sameCauseWindow {
			delete(s.forgotten, other)
		}
	}
	return true
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// pruneTombstones drops the withdrawn entries whose tombstones are older than TombstoneTTL.
func (o *originState) pruneTombstones(now clock.Micros) {
	for len(o.tombstones) > 0 && now-o.tombstones[0].withdrawnAt >= TombstoneTTL {
		g := o.tombstones[0]
		o.tombstones = o.tombstones[1:]
		if entry := o.entries[g.key]; entry != nil && entry.Tombstone && entry.Count == g.count {
			delete(o.entries, g.key)
		}
	}
}

// takeToken takes a token from the origin's token bucket, and reports whether there was one.
func (o *originState) takeToken(now clock.Micros) bool {
	o.tokens = min(OriginBurst, o.tokens+float64(now-o.tokensAt)*OriginRate/float64(clock.Second))
	o.tokensAt = now
	if o.tokens < 1 {
		return false
	}
	o.tokens--
	return true
}
