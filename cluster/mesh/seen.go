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
	addedAt     map[uint64]int64
	oldestFirst []uint64
	seed        maphash.Seed
	frames      map[uint64]uint64
	// framesOf are the frames known of an entry: one, unless it was signed twice.
	framesOf map[uint64]uint64
}

func newSeenSet() *seenSet {
	return &seenSet{addedAt: map[uint64]int64{}, seed: maphash.MakeSeed(), frames: map[uint64]uint64{}, framesOf: map[uint64]uint64{}}
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
	at, ok := s.addedAt[k]
	return ok && now-at < SeenTTL
}

func (s *seenSet) add(k uint64, now int64) {
	if _, ok := s.addedAt[k]; !ok {
		s.oldestFirst = append(s.oldestFirst, k)
	}
	s.addedAt[k] = now
	for len(s.oldestFirst) > 0 && (len(s.oldestFirst) > MaxSeen || now-s.addedAt[s.oldestFirst[0]] >= SeenTTL) {
		old := s.oldestFirst[0]
		delete(s.addedAt, old)
		if f, ok := s.framesOf[old]; ok {
			delete(s.frames, f)
			delete(s.framesOf, old)
		}
		s.oldestFirst = s.oldestFirst[1:]
	}
}

// frameHash sums up an encoded entry without its last byte, the hops, which alone differ between
// the copies of one entry.
func (s *seenSet) frameHash(body []byte) uint64 {
	return maphash.Bytes(s.seed, body[:max(0, len(body)-1)])
}

// entryOfFrame gives the key of an entry whose frame was seen.
func (s *seenSet) entryOfFrame(frame uint64, now int64) (key uint64, ok bool) {
	key, ok = s.frames[frame]
	return key, ok && s.has(key, now)
}

// addFrame notes by which frame an entry that is in the set travels.
func (s *seenSet) addFrame(frame, key uint64) {
	if _, ok := s.addedAt[key]; !ok {
		return
	}
	if old, ok := s.framesOf[key]; ok {
		delete(s.frames, old)
	}
	s.frames[frame], s.framesOf[key] = key, frame
}
