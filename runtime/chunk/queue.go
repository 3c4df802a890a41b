package chunk

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// queue holds the messages for one destination; the first one is in flight.
type queue struct {
	messages []Message
	transfer uint64
	digest   []byte
	// acked and sent are offsets in the first message.
	acked, sent int
	restarts    int
	// progressAt is when the transfer started or an acknowledgement last advanced it, retryAt when to
	// resend from acked.
	progressAt, retryAt clock.Micros
}

// contains reports whether a message with the same data is queued.
func (q *queue) contains(m Message) bool {
	for _, old := range q.messages {
		if bytes.Equal(old.Data, m.Data) {
			return true
		}
	}
	return false
}

// replaceable returns the index of the message that m replaces because it has the same key, or -1. The
// message in flight is not replaced unless the destination is unresponsive: otherwise no message would
// ever arrive if a newer one were queued every second.
func (q *queue) replaceable(now clock.Micros, m Message) int {
	for i, old := range q.messages {
		if m.ReplaceKey != "" && old.ReplaceKey == m.ReplaceKey && (i > 0 || q.unresponsive(now)) {
			return i
		}
	}
	return -1
}

// unresponsive reports whether no part of the message in flight is acknowledged and its transfer has made no progress
// for at least RetryInterval.
func (q *queue) unresponsive(now clock.Micros) bool {
	return q.acked == 0 && now-q.progressAt >= RetryInterval
}

// hasNewer reports whether a newer message with the same key as the one in flight is queued.
func (q *queue) hasNewer() bool {
	first := q.messages[0]
	return first.ReplaceKey != "" && slices.ContainsFunc(q.messages[1:], func(m Message) bool { return m.ReplaceKey == first.ReplaceKey })
}

// begin starts the transfer of the first message.
func (q *queue) begin(transfer uint64, now clock.Micros) {
	digest := sha256.Sum256(q.messages[0].Data)
	q.transfer, q.digest = transfer, digest[:]
	q.acked, q.sent, q.restarts = 0, 0, 0
	q.progressAt, q.retryAt = now, now+RetryInterval
}

// fitsWindow reports whether there is another chunk to send and it fits into the destination's window.
func (q *queue) fitsWindow() bool {
	return q.sent < len(q.messages[0].Data) && q.sent-q.acked+wire.ChunkBytes <= DestinationWindow
}

// nextChunk returns the chunk at the send offset and advances the offset past it.
func (q *queue) nextChunk() wire.Chunk {
	data := q.messages[0].Data
	end := min(q.sent+wire.ChunkBytes, len(data))
	p := wire.Chunk{Transfer: q.transfer, Offset: q.sent, Total: len(data), Digest: q.digest, Data: data[q.sent:end]}
	q.sent = end
	return p
}
