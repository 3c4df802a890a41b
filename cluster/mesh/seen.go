// The set of entries seen of late, bounded by time and number. A frame that was seen is
// known again by a hash over its bytes, so that duplicates, most of what a flood brings,
// are dropped before they are decoded.

package mesh

import (
	"hash/fnv"
	"hash/maphash"

	"wallport/runtime/wire"
)

type seenSet struct {
	at     map[uint64]int64
	order  []uint64
	seed   maphash.Seed
	frames map[uint64]uint64
	// framesOf are the frames known of an entry: one, unless it was signed twice.
	framesOf map[uint64]uint64
}

func newSeenSet() *seenSet {
	return &seenSet{at: map[uint64]int64{}, seed: maphash.MakeSeed(), frames: map[uint64]uint64{}, framesOf: map[uint64]uint64{}}
}

// seenKey is the source's type + id + timestamp, and the origin and its counter besides.
func seenKey(e *wire.Entry) uint64 {
	h := fnv.New64a()
	h.Write([]byte(entryKey(e)))
	h.Write(e.Origin)
	var b [40]byte
	for i := range 8 {
		b[i] = byte(e.At >> (8 * i))
		b[8+i] = byte(e.Count >> (8 * i))
		b[16+i] = byte(e.Version.Term >> (8 * i))
		b[24+i] = byte(e.Version.Seq >> (8 * i))
		b[32+i] = byte(e.Version.Partition >> (8 * i))
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
		old := s.order[0]
		delete(s.at, old)
		if f, ok := s.framesOf[old]; ok {
			delete(s.frames, f)
			delete(s.framesOf, old)
		}
		s.order = s.order[1:]
	}
}

// frame sums up an encoded entry without its last byte, the hops, which alone differ between
// the copies of one entry.
func (s *seenSet) frame(body []byte) uint64 {
	return maphash.Bytes(s.seed, body[:max(0, len(body)-1)])
}

// known gives the key of an entry whose frame was seen.
func (s *seenSet) known(frame uint64, now int64) (key uint64, ok bool) {
	key, ok = s.frames[frame]
	return key, ok && s.has(key, now)
}

// learn notes by which frame an entry that is in the set travels.
func (s *seenSet) learn(frame, key uint64) {
	if _, ok := s.at[key]; !ok {
		return
	}
	if old, ok := s.framesOf[key]; ok {
		delete(s.frames, old)
	}
	s.frames[frame], s.framesOf[key] = key, frame
}
