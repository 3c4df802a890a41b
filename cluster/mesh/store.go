// What the mesh holds: per origin the newest entry of each id, with the sums
// by which two processes see at a glance whether they hold the same; per partition
// the newest committed version. All of it is bounded.

package mesh

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"wallport/runtime/wire"
)

// Bounds of what is held, and how long an entry that was taken back is remembered.
const (
	MaxOrigins   = 4096
	MaxEntries   = 4096
	TombstoneTTL = 60_000_000
)

type originState struct {
	fingerprint string
	hash        uint64
	maxCount    uint64
	sum         uint64
	heartbeat   uint64
	heartbeatAt int64
	key         []byte
	sig         []byte
	tokens      float64
	tokensAt    int64
	entries     map[string]*wire.Entry
	tombstones  []tombstone
	liveness
}

// tombstone is an entry that its origin took back.
type tombstone struct {
	key         string
	count       uint64
	withdrawnAt int64
}

type store struct {
	origins    map[string]*originState
	partitions map[int]*wire.Entry
	forgotten  map[string]forgottenOrigin
	// buckets sum up the origins, a bucket by hash of the fingerprint each; versions the partitions.
	buckets      [DigestBuckets]uint64
	versionsHash uint64
}

// forgottenOrigin is the last beat of an origin that was forgotten, and when it was.
type forgottenOrigin struct {
	heartbeat   uint64
	forgottenAt int64
}

func newStore() store {
	return store{origins: map[string]*originState{}, partitions: map[int]*wire.Entry{}, forgotten: map[string]forgottenOrigin{}}
}

// origin is what is held of a fingerprint, made at first use; nil where there are too many.
func (s *store) origin(fp string, now int64) *originState {
	o := s.origins[fp]
	if o == nil && len(s.origins) < MaxOrigins {
		o = &originState{fingerprint: fp, hash: hash(fp), entries: map[string]*wire.Entry{}, tokens: OriginBurst, tokensAt: now, heartbeatAt: now}
		o.lastLive = now
		s.origins[fp] = o
	}
	return o
}

func entryKey(e *wire.Entry) string { return e.Type + "\x00" + e.ID }

func entryHash(e *wire.Entry) uint64 {
	h := fnv.New64a()
	h.Write([]byte(entryKey(e)))
	var b [8]byte
	for i := range b {
		b[i] = byte(e.Count >> (8 * i))
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

// put takes an entry in when it is newer than what the same origin said of the same id.
// What was taken back counts in no sum, so that it can be dropped after a while.
func (s *store) put(e *wire.Entry, fp string, now int64) bool {
	o := s.origin(fp, now)
	if o == nil {
		return false
	}
	key := entryKey(e)
	old := o.entries[key]
	if old != nil && old.Count >= e.Count || old == nil && len(o.entries) >= MaxEntries {
		return false
	}
	sum := o.sum
	if old != nil && !old.Tombstone {
		sum ^= entryHash(old)
	}
	if !e.Tombstone {
		sum ^= entryHash(e)
	} else {
		o.tombstones = append(o.tombstones, tombstone{key, e.Count, now})
	}
	o.entries[key] = e
	s.setSum(o, sum)
	o.maxCount = max(o.maxCount, e.Count)
	return true
}

// setSum gives an origin its new sum.
func (s *store) setSum(o *originState, sum uint64) {
	s.buckets[o.hash%DigestBuckets] ^= o.bucketSum() ^ mix(o.hash^sum)*nonzero(sum)
	o.sum = sum
}

// bucketSum is an origin's part of its bucket; one of which nothing is held has none.
func (o *originState) bucketSum() uint64 { return mix(o.hash^o.sum) * nonzero(o.sum) }

func nonzero(x uint64) uint64 { return min(x, 1) }

// putVersion takes a newer version of a partition in.
func (s *store) putVersion(e *wire.Entry) bool {
	held, ok := s.partitions[e.Version.Partition]
	if ok && !Newer(e.Version, held.Version) {
		return false
	}
	if ok {
		s.versionsHash ^= versionHash(held.Version)
	}
	s.versionsHash ^= versionHash(e.Version)
	s.partitions[e.Version.Partition] = e
	return true
}

func versionHash(st wire.Version) uint64 { return mix(mix(st.Term^uint64(st.Partition)<<56) ^ st.Seq) }

// pruneTombstones drops what an origin took back long ago.
func (o *originState) pruneTombstones(now int64) {
	for len(o.tombstones) > 0 && now-o.tombstones[0].withdrawnAt >= TombstoneTTL {
		g := o.tombstones[0]
		o.tombstones = o.tombstones[1:]
		if e := o.entries[g.key]; e != nil && e.Tombstone && e.Count == g.count {
			delete(o.entries, g.key)
		}
	}
}

// takeToken takes one token of an origin's flood allowance.
func (o *originState) takeToken(now int64) bool {
	o.tokens = min(OriginBurst, o.tokens+float64(now-o.tokensAt)*OriginRate/1e6)
	o.tokensAt = now
	if o.tokens < 1 {
		return false
	}
	o.tokens--
	return true
}

// forget drops an origin and remembers its last beat, so that a stale holder cannot bring it back.
func (s *store) forget(fp string, now int64) {
	if o := s.origins[fp]; o != nil {
		if len(s.forgotten) >= MaxOrigins {
			clear(s.forgotten)
		}
		s.forgotten[fp] = forgottenOrigin{o.heartbeat, now}
		s.buckets[o.hash%DigestBuckets] ^= o.bucketSum()
	}
	delete(s.origins, fp)
}

// restore gives an origin back that is there after all, and those that were forgotten with it:
// what went at once was cut off together.
func (s *store) restore(fp string) bool {
	g, ok := s.forgotten[fp]
	if !ok {
		return false
	}
	for other, o := range s.forgotten {
		if other == fp || max(o.forgottenAt-g.forgottenAt, g.forgottenAt-o.forgottenAt) < forgottenTogether {
			delete(s.forgotten, other)
		}
	}
	return true
}

// forgottenTogether is how far apart origins may be forgotten that went at once.
const forgottenTogether = 3_000_000

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
