package dispatch

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// recordSize is the size of a record in bytes. A shorter remainder at the end of a body is ignored.
const recordSize = 16

// record is one record of a body, interpreted as a big-endian number of 128 bits.
type record struct{ hi, lo uint64 }

func (a record) less(b record) bool { return a.hi < b.hi || a.hi == b.hi && a.lo < b.lo }

// merge returns the greatest records of all bodies, at most limit of them, in descending order. It keeps them in a
// heap whose root is the smallest record.
func merge(bodies [][]byte, limit int) []byte {
	total := 0
	for _, body := range bodies {
		total += len(body) / recordSize
	}
	limit = min(limit, total)
	if limit <= 0 {
		return []byte{}
	}
	heap := make([]record, 0, limit)
	for _, body := range bodies {
		for ; len(body) >= recordSize; body = body[recordSize:] {
			r := record{hi: binary.BigEndian.Uint64(body), lo: binary.BigEndian.Uint64(body[8:])}
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

// siftDown restores the heap property below index i.
func siftDown(heap []record, i int) {
	for {
		least := 2*i + 1
		if least >= len(heap) {
			return
		}
		if least+1 < len(heap) && heap[least+1].less(heap[least]) {
			least++
		}
		if !heap[least].less(heap[i]) {
			return
		}
		heap[i], heap[least] = heap[least], heap[i]
		i = least
	}
}
