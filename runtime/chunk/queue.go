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

// contains reports whether a message waits already.
func (q *queue) contains(m Message) bool {
	for _, old := range q.messages {
		if bytes.Equal(old.Data, m.Data) {
			return true
		}
	}
	return false
}

// replaceable is the place of the message that a newer one of its slot replaces, or -1. The one under
// way is finished first, unless the destination does not answer: with a newer one every second
// none would ever arrive whole.
func (q *queue) replaceable(now int64, m Message) int {
	for i, old := range q.messages {
		if m.ReplaceKey != "" && old.ReplaceKey == m.ReplaceKey && (i > 0 || q.unresponsive(now)) {
			return i
		}
	}
	return -1
}

// unresponsive tells that nothing of the first message was ever acknowledged, for long.
func (q *queue) unresponsive(now int64) bool {
	return q.acked == 0 && now-q.progressAt >= RetryInterval
}

// hasNewer reports whether a newer message of the first one's slot waits.
func (q *queue) hasNewer() bool {
	first := q.messages[0]
	return first.ReplaceKey != "" && slices.ContainsFunc(q.messages[1:], func(m Message) bool { return m.ReplaceKey == first.ReplaceKey })
}

// begin starts the transfer of a queue's first message.
func (q *queue) begin(transfer uint64, now int64) {
	digest := sha256.Sum256(q.messages[0].Data)
	q.transfer, q.digest = transfer, digest[:]
	q.acked, q.sent, q.restarts = 0, 0, 0
	q.progressAt, q.retryAt = now, now+RetryInterval
}

// fitsWindow reports whether a further piece fits into the destination's window.
func (q *queue) fitsWindow() bool {
	return q.sent < len(q.messages[0].Data) && q.sent-q.acked+wire.ChunkBytes <= DestinationWindow
}

func (q *queue) nextChunk() wire.Chunk {
	data := q.messages[0].Data
	end := min(q.sent+wire.ChunkBytes, len(data))
	p := wire.Chunk{Transfer: q.transfer, Offset: q.sent, Total: len(data), Digest: q.digest, Data: data[q.sent:end]}
	q.sent = end
	return p
}
