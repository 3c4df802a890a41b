// What the mesh holds: per origin the newest entry of each id, with the sums
// by which two processes see at a glance whether they hold the same; per part
// the newest committed version; and the set of entries seen of late.
package mesh

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"

	"wallport/wire"
)

type origin struct {
	max     uint64
	sum     uint64
	beat    uint64
	beatAt  int64
	key     []byte
	sig     []byte
	tokens  float64
	tokenAt int64
	entries map[string]*wire.Entry
}

type store struct {
	origins map[string]*origin
	parts   map[int]*wire.Entry
	buried  map[string]uint64
}

func newStore() store {
	return store{origins: map[string]*origin{}, parts: map[int]*wire.Entry{}, buried: map[string]uint64{}}
}

func (s *store) origin(fp string, now int64) *origin {
	o := s.origins[fp]
	if o == nil {
		o = &origin{entries: map[string]*wire.Entry{}, tokens: OriginBurst, tokenAt: now, beatAt: now}
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

// put takes an entry in when it is newer than what the same origin said of the same id.
func (s *store) put(e *wire.Entry, fp string, now int64) bool {
	o := s.origin(fp, now)
	key := entryKey(e)
	old := o.entries[key]
	if old != nil && old.Count >= e.Count {
		return false
	}
	if old != nil {
		o.sum ^= entryHash(old)
	}
	o.entries[key] = e
	o.sum ^= entryHash(e)
	o.max = max(o.max, e.Count)
	return true
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
func (s *store) bury(fp string) {
	if o := s.origins[fp]; o != nil {
		if len(s.buried) >= 4096 {
			clear(s.buried)
		}
		s.buried[fp] = o.beat
	}
	delete(s.origins, fp)
}

type seenSet struct {
	at    map[uint64]int64
	order []uint64
}

func newSeenSet() *seenSet { return &seenSet{at: map[uint64]int64{}} }

// seenKey is the source's type + id + timestamp, and the origin and its counter besides.
func seenKey(e *wire.Entry) uint64 {
	h := fnv.New64a()
	h.Write([]byte(entryKey(e)))
	h.Write(e.Origin)
	var b [40]byte
	for i := range 8 {
		b[i] = byte(e.At >> (8 * i))
		b[8+i] = byte(e.Count >> (8 * i))
		b[16+i] = byte(e.Stamp.Term >> (8 * i))
		b[24+i] = byte(e.Stamp.Seq >> (8 * i))
		b[32+i] = byte(e.Stamp.Part >> (8 * i))
	}
	h.Write(b[:])
	return h.Sum64()
}

func (s *seenSet) has(k uint64, now int64) bool {
	at, ok := s.at[k]
	return ok && now-at < SeenFor
}

func (s *seenSet) add(k uint64, now int64) {
	if _, ok := s.at[k]; !ok {
		s.order = append(s.order, k)
	}
	s.at[k] = now
	for len(s.order) > 0 && (len(s.order) > SeenMost || now-s.at[s.order[0]] >= SeenFor) {
		delete(s.at, s.order[0])
		s.order = s.order[1:]
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
