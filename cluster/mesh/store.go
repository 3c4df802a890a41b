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
	OriginsMost = 4096
	EntriesMost = 4096
	GoneFor     = 60_000_000
)

type origin struct {
	fp      string
	hash    uint64
	max     uint64
	sum     uint64
	beat    uint64
	beatAt  int64
	key     []byte
	sig     []byte
	tokens  float64
	tokenAt int64
	entries map[string]*wire.Entry
	gone    []gone
	node
}

// gone is an entry that its origin took back.
type gone struct {
	key   string
	count uint64
	at    int64
}

type store struct {
	origins map[string]*origin
	parts   map[int]*wire.Entry
	buried  map[string]grave
	// buckets sum up the origins, a bucket by hash of the fingerprint each; versions the partitions.
	buckets [Buckets]uint64
	stamps  uint64
}

// grave is the last beat of an origin that was forgotten, and when it was.
type grave struct {
	beat uint64
	at   int64
}

func newStore() store {
	return store{origins: map[string]*origin{}, parts: map[int]*wire.Entry{}, buried: map[string]grave{}}
}

// origin is what is held of a fingerprint, made at first use; nil where there are too many.
func (s *store) origin(fp string, now int64) *origin {
	o := s.origins[fp]
	if o == nil && len(s.origins) < OriginsMost {
		o = &origin{fp: fp, hash: hash(fp), entries: map[string]*wire.Entry{}, tokens: OriginBurst, tokenAt: now, beatAt: now}
		o.liveAt = now
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
	if old != nil && old.Count >= e.Count || old == nil && len(o.entries) >= EntriesMost {
		return false
	}
	sum := o.sum
	if old != nil && !old.Gone {
		sum ^= entryHash(old)
	}
	if !e.Gone {
		sum ^= entryHash(e)
	} else {
		o.gone = append(o.gone, gone{key, e.Count, now})
	}
	o.entries[key] = e
	s.sumUp(o, sum)
	o.max = max(o.max, e.Count)
	return true
}

// sumUp gives an origin its new sum.
func (s *store) sumUp(o *origin, sum uint64) {
	s.buckets[o.hash%Buckets] ^= o.share() ^ mix(o.hash^sum)*nonzero(sum)
	o.sum = sum
}

// share is an origin's part of its bucket; one of which nothing is held has none.
func (o *origin) share() uint64 { return mix(o.hash^o.sum) * nonzero(o.sum) }

func nonzero(x uint64) uint64 { return min(x, 1) }

// putVersion takes a newer version of a partition in.
func (s *store) putVersion(e *wire.Entry) bool {
	held, ok := s.parts[e.Version.Partition]
	if ok && !Newer(e.Version, held.Version) {
		return false
	}
	if ok {
		s.stamps ^= stampHash(held.Version)
	}
	s.stamps ^= stampHash(e.Version)
	s.parts[e.Version.Partition] = e
	return true
}

func stampHash(st wire.Version) uint64 { return mix(mix(st.Term^uint64(st.Partition)<<56) ^ st.Seq) }

// prune drops what an origin took back long ago.
func (o *origin) prune(now int64) {
	for len(o.gone) > 0 && now-o.gone[0].at >= GoneFor {
		g := o.gone[0]
		o.gone = o.gone[1:]
		if e := o.entries[g.key]; e != nil && e.Gone && e.Count == g.count {
			delete(o.entries, g.key)
		}
	}
}

// spend takes one token of an origin's flood allowance.
func (o *origin) spend(now int64) bool {
	o.tokens = min(OriginBurst, o.tokens+float64(now-o.tokenAt)*OriginRate/1e6)
	o.tokenAt = now
	if o.tokens < 1 {
		return false
	}
	o.tokens--
	return true
}

// bury drops an origin and remembers its last beat, so that a stale holder cannot bring it back.
func (s *store) bury(fp string, now int64) {
	if o := s.origins[fp]; o != nil {
		if len(s.buried) >= OriginsMost {
			clear(s.buried)
		}
		s.buried[fp] = grave{o.beat, now}
		s.buckets[o.hash%Buckets] ^= o.share()
	}
	delete(s.origins, fp)
}

// lift gives an origin back that is there after all, and those that were forgotten with it:
// what went at once was cut off together.
func (s *store) lift(fp string) bool {
	g, ok := s.buried[fp]
	if !ok {
		return false
	}
	for other, o := range s.buried {
		if other == fp || max(o.at-g.at, g.at-o.at) < together {
			delete(s.buried, other)
		}
	}
	return true
}

// together is how far apart origins may be forgotten that went at once.
const together = 3_000_000

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
