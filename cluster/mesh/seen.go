package mesh

import (
	"hash/fnv"
	"hash/maphash"

	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// seenSet holds the keys of recently received or announced entries, bounded by SeenTTL and MaxSeen. It
// also holds the hashes of their frames: duplicates make up most of a flood, and are recognized by
// the hash without being decoded.
type seenSet struct {
	addedAt     map[uint64]clock.Micros
	oldestFirst []uint64
	seed        maphash.Seed
	frames      map[uint64]uint64
	// framesOf maps the key of an entry to the hash of its frame, or of the latest of its frames if the
	// entry was signed more than once.
	framesOf map[uint64]uint64
}

func newSeenSet() *seenSet {
	return &seenSet{addedAt: map[uint64]clock.Micros{}, seed: maphash.MakeSeed(), frames: map[uint64]uint64{}, framesOf: map[uint64]uint64{}}
}

// seenKey returns an entry's key in the seen-set: a hash of type, id and timestamp, as in the paper,
// and also of the origin, its count and the version.
func seenKey(entry *wire.Entry) uint64 {
	h := fnv.New64a()
	h.Write([]byte(entryKey(entry)))
	h.Write(entry.Origin)
	var b [40]byte
	for i := range 8 {
		b[i] = byte(entry.At >> (8 * i))
		b[8+i] = byte(entry.Count >> (8 * i))
		b[16+i] = byte(entry.Version.Term >> (8 * i))
		b[24+i] = byte(entry.Version.Seq >> (8 * i))
		b[32+i] = byte(entry.Version.Partition >> (8 * i))
	}
	h.Write(b[:])
	return h.Sum64()
}

func (s *seenSet) has(k uint64, now clock.Micros) bool {
	at, ok := s.addedAt[k]
	return ok && now-at < SeenTTL
}

func (s *seenSet) add(k uint64, now clock.Micros) {
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

// frameHash returns the hash of an encoded entry without its last byte. That byte is the hop count,
// the only part in which the copies of an entry differ.
func (s *seenSet) frameHash(body []byte) uint64 {
	return maphash.Bytes(s.seed, body[:max(0, len(body)-1)])
}

// entryOfFrame returns the key of the entry whose frame has the given hash, and whether the entry is
// in the set.
func (s *seenSet) entryOfFrame(frame uint64, now clock.Micros) (key uint64, ok bool) {
	key, ok = s.frames[frame]
	return key, ok && s.has(key, now)
}

// addFrame adds the frame hash of an entry. It does nothing if the entry is not in the set.
func (s *seenSet) addFrame(frame, key uint64) {
	if _, ok := s.addedAt[key]; !ok {
		return
	}
	if old, ok := s.framesOf[key]; ok {
		delete(s.frames, old)
	}
	s.frames[frame], s.framesOf[key] = key, frame
}
