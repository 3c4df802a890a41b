// The merge of parts: the greatest records of all of them, falling.

package dispatch

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// recordSize is the size of a record; a remainder that is shorter is none.
const recordSize = 16

type record struct{ hi, lo uint64 }

func (a record) less(b record) bool { return a.hi < b.hi || a.hi == b.hi && a.lo < b.lo }

// merge keeps the greatest records in a heap whose root is the least of them.
func merge(parts [][]byte, limit int) []byte {
	total := 0
	for _, p := range parts {
		total += len(p) / recordSize
	}
	limit = min(limit, total)
	if limit <= 0 {
		return []byte{}
	}
	heap := make([]record, 0, limit)
	for _, p := range parts {
		for ; len(p) >= recordSize; p = p[recordSize:] {
			r := record{binary.BigEndian.Uint64(p), binary.BigEndian.Uint64(p[8:])}
			switch {
			case len(heap) < limit:
				heap = append(heap, r)
				if len(heap) == limit {
					for i := limit/2 - 1; i >= 0; i-- {
						siftDown(heap, i)
					}
				}
			case heap[0].less(r):
				heap[0] = r
				siftDown(heap, 0)
			}
		}
	}
	slices.SortFunc(heap, func(a, b record) int {
		return -cmp.Or(cmp.Compare(a.hi, b.hi), cmp.Compare(a.lo, b.lo))
	})
	out := make([]byte, 0, limit*recordSize)
	for _, r := range heap {
		out = binary.BigEndian.AppendUint64(out, r.hi)
		out = binary.BigEndian.AppendUint64(out, r.lo)
	}
	return out
}

func siftDown(heap []record, i int) {
	for {
		c := 2*i + 1
		if c >= len(heap) {
			return
		}
		if c+1 < len(heap) && heap[c+1].less(heap[c]) {
			c++
		}
		if !heap[c].less(heap[i]) {
			return
		}
		heap[i], heap[c] = heap[c], heap[i]
		i = c
	}
}
