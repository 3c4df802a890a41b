// The messages that wait for one destination.

package chunk

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"wallport/runtime/wire"
)

// queue holds the messages for one destination; the first one is under way.
type queue struct {
	messages   []Message
	transfer   uint64
	digest     []byte
	acked      int
	sent       int
	restarts   int
	progressAt int64
	retryAt    int64
}

// repeats reports whether a message waits already.
func (q *queue) repeats(m Message) bool {
	for _, old := range q.messages {
		if bytes.Equal(old.Data, m.Data) {
			return true
		}
	}
	return false
}

// placeOf is the place of the message that a newer one of its slot replaces, or -1. The one under
// way is finished first, unless the destination does not answer: with a newer one every second
// none would ever arrive whole.
func (q *queue) placeOf(now int64, m Message) int {
	for i, old := range q.messages {
		if m.Slot != "" && old.Slot == m.Slot && (i > 0 || q.isSilent(now)) {
			return i
		}
	}
	return -1
}

// isSilent tells that nothing of the first message was ever acknowledged, for long.
func (q *queue) isSilent(now int64) bool { return q.acked == 0 && now-q.progressAt >= RetryAfter }

// hasNewer reports whether a newer message of the first one's slot waits.
func (q *queue) hasNewer() bool {
	first := q.messages[0]
	return first.Slot != "" && slices.ContainsFunc(q.messages[1:], func(m Message) bool { return m.Slot == first.Slot })
}

// begin starts the transfer of a queue's first message.
func (q *queue) begin(transfer uint64, now int64) {
	digest := sha256.Sum256(q.messages[0].Data)
	q.transfer, q.digest = transfer, digest[:]
	q.acked, q.sent, q.restarts = 0, 0, 0
	q.progressAt, q.retryAt = now, now+RetryAfter
}

// hasRoom reports whether a further piece fits into the destination's window.
func (q *queue) hasRoom() bool {
	return q.sent < len(q.messages[0].Data) && q.sent-q.acked+wire.ChunkBytes <= DestinationWindow
}

func (q *queue) piece() wire.Chunk {
	data := q.messages[0].Data
	end := min(q.sent+wire.ChunkBytes, len(data))
	p := wire.Chunk{Transfer: q.transfer, Offset: q.sent, Total: len(data), Digest: q.digest, Data: data[q.sent:end]}
	q.sent = end
	return p
}
