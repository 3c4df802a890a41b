// The messages that wait for one destination.
package segment

import (
	"bytes"
	"crypto/sha256"

	"wallport/wire"
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

// replace looks for a message that the new one repeats, or whose place it takes. The one
// under way is finished first: with a newer one every second none would ever arrive whole.
// It tells by how many bytes the queue has grown.
func (q *queue) replace(m Message) (grown int, taken bool) {
	for i := range q.messages {
		old := &q.messages[i]
		if bytes.Equal(old.Data, m.Data) {
			return 0, true
		}
		if i > 0 && m.Slot != "" && old.Slot == m.Slot {
			grown = len(m.Data) - len(old.Data)
			old.Data = m.Data
			return grown, true
		}
	}
	return 0, false
}

// begin starts the transfer of a queue's first message.
func (q *queue) begin(transfer uint64, now int64) {
	digest := sha256.Sum256(q.messages[0].Data)
	q.transfer, q.digest = transfer, digest[:]
	q.acked, q.sent, q.restarts = 0, 0, 0
	q.progressAt, q.retryAt = now, now+RetryAfter
}

// hasRoom tells whether a further piece fits into the destination's window.
func (q *queue) hasRoom() bool {
	return q.sent < len(q.messages[0].Data) && q.sent-q.acked+wire.PieceBytes <= DestinationWindow
}

func (q *queue) piece() wire.Piece {
	data := q.messages[0].Data
	end := min(q.sent+wire.PieceBytes, len(data))
	p := wire.Piece{Transfer: q.transfer, Offset: q.sent, Total: len(data), Digest: q.digest, Data: data[q.sent:end]}
	q.sent = end
	return p
}
