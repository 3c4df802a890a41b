// Package chunk carries messages larger than a frame between two processes: the
// sender cuts them into pieces, the assembler puts them together and checks the whole
// by its digest. Both are state machines: they are given what happened and the time in
// microseconds, and give the pieces and acknowledgements to send.
//
// One message at a time travels to a destination, and few bytes are unacknowledged at
// any moment, so that small frames pass between the pieces. A transfer is begun again
// when the receiver asks for it, as it does after a reconnect. A transfer that makes
// no progress is given up: whoever sent the message sends it again if it still matters.
package chunk

import (
	"bytes"

	"wallport/runtime/wire"
)

// Figures of sending; times in microseconds, sizes in bytes.
const (
	// DestinationWindow bounds what is unacknowledged to one destination, and
	// ProcessWindow to all together: 105 ms on a link of 10 Mbit/s.
	DestinationWindow = 2 * wire.ChunkBytes
	ProcessWindow     = 4 * wire.ChunkBytes
	// RetryInterval is how long a transfer goes without progress before its pieces are sent
	// again from the last one that was acknowledged.
	RetryInterval = 1_000_000
	// ProgressTimeout is how long a transfer may go without any progress.
	ProgressTimeout = 5_000_000
	// MaxRestarts is how often the receiver may ask for the beginning.
	MaxRestarts = 4
	// MaxQueued bounds the messages that wait for one destination, the one under way included.
	MaxQueued = 16
	// MaxQueuedBytes bounds what the messages of all destinations hold.
	MaxQueuedBytes = 32 << 20
)

// Destination is an open connection, or the address of a direct one.
type Destination struct {
	Conn uint64
	Addr string
}

// Message is what is to be sent. One that waits is replaced by a newer one of its slot.
type Message struct {
	To         Destination
	ReplaceKey string
	Data       []byte
}

// Outgoing is a piece for a destination.
type Outgoing struct {
	To    Destination
	Chunk wire.Chunk
}

// Sender holds the messages that are on their way in pieces.
type Sender struct {
	queues map[Destination]*queue
	// destinations is the order in which destinations take turns.
	destinations []Destination
	lastTransfer uint64
	queuedBytes  int
}

// NewSender makes a sender that numbers its transfers from first on.
func NewSender(first uint64) *Sender {
	return &Sender{queues: map[Destination]*queue{}, lastTransfer: first}
}

// Busy reports whether anything is on its way.
func (s *Sender) Busy() bool { return len(s.queues) > 0 }

// Destinations is the number of those that something is under way to.
func (s *Sender) Destinations() int { return len(s.queues) }

// Sending reports whether anything waits for a destination or is on its way to it.
func (s *Sender) Sending(to Destination) bool { return s.queues[to] != nil }

// Enqueue takes a message. One that waits already is not taken twice; one that
// finds no room is dropped, which is told by false.
func (s *Sender) Enqueue(now int64, m Message) bool {
	q := s.queues[m.To]
	if q != nil && (q.contains(m) || s.replace(q, now, m)) {
		return true
	}
	if len(m.Data) > wire.MaxMessage || s.queuedBytes+len(m.Data) > MaxQueuedBytes || q != nil && len(q.messages) >= MaxQueued {
		return false
	}
	m.Data = s.shared(m.Data)
	s.queuedBytes += len(m.Data)
	if q != nil {
		q.messages = append(q.messages, m)
		return true
	}
	q = &queue{messages: []Message{m}}
	s.queues[m.To] = q
	s.destinations = append(s.destinations, m.To)
	s.lastTransfer++
	q.begin(s.lastTransfer, now)
	return true
}

// replace puts a message in the place of an older one of its slot, if there is one.
func (s *Sender) replace(q *queue, now int64, m Message) bool {
	i := q.replaceable(now, m)
	if i < 0 {
		return false
	}
	s.queuedBytes += len(m.Data) - len(q.messages[i].Data)
	q.messages[i].Data = m.Data
	if i == 0 {
		s.lastTransfer++
		q.begin(s.lastTransfer, now)
	}
	return true
}

// shared gives the bytes of an equal message for another destination, if there is one.
func (s *Sender) shared(data []byte) []byte {
	for _, to := range s.destinations {
		for _, m := range s.queues[to].messages {
			if bytes.Equal(m.Data, data) {
				return m.Data
			}
		}
	}
	return data
}

// finish drops a queue's first message and starts the next one.
func (s *Sender) finish(to Destination, now int64) {
	q := s.queues[to]
	s.queuedBytes -= len(q.messages[0].Data)
	q.messages = q.messages[1:]
	if len(q.messages) > 0 {
		s.lastTransfer++
		q.begin(s.lastTransfer, now)
		return
	}
	s.forget(to)
}

func (s *Sender) forget(to Destination) {
	q := s.queues[to]
	if q == nil {
		return
	}
	for _, m := range q.messages {
		s.queuedBytes -= len(m.Data)
	}
	delete(s.queues, to)
	for i, other := range s.destinations {
		if other == to {
			s.destinations = append(s.destinations[:i], s.destinations[i+1:]...)
			return
		}
	}
}

// Closed drops what was meant for a connection that has ended.
func (s *Sender) Closed(conn uint64) { s.forget(Destination{Conn: conn}) }

// Acked takes an acknowledgement. It tells whether a transfer has ended by it, and
// whether it began again.
func (s *Sender) Acked(now int64, ack wire.ChunkAck) (done, again bool) {
	for to, q := range s.queues {
		if q.transfer != ack.Transfer {
			continue
		}
		switch {
		case ack.Next >= len(q.messages[0].Data):
			s.finish(to, now)
			return true, false
		case ack.Next > q.acked:
			q.acked, q.sent = ack.Next, max(q.sent, ack.Next)
			q.progressAt, q.retryAt = now, now+RetryInterval
		case ack.Next == 0 && q.acked > 0:
			q.acked, q.sent = 0, 0
			q.retryAt = now + RetryInterval
			if q.restarts++; q.restarts > MaxRestarts {
				s.finish(to, now)
			}
			return false, true
		}
		return false, false
	}
	return false, false
}

// Expire sends again what was not acknowledged in time, and gives up what made no progress.
// It tells how many transfers were given up.
func (s *Sender) Expire(now int64) (abandoned int) {
	for _, to := range append([]Destination(nil), s.destinations...) {
		q := s.queues[to]
		switch {
		case now-q.progressAt >= ProgressTimeout:
			abandoned++
			s.finish(to, now)
		case q.unresponsive(now) && q.hasNewer():
			s.finish(to, now)
		case now >= q.retryAt:
			q.sent, q.retryAt = q.acked, now+RetryInterval
		}
	}
	return abandoned
}

// Pump gives the pieces that may be sent now, the destinations in turns.
func (s *Sender) Pump(now int64) (out []Outgoing) {
	window := ProcessWindow - s.unacknowledged(now)
	for sent := true; sent && window > 0; {
		sent = false
		for _, to := range s.destinations {
			q := s.queues[to]
			if window <= 0 || !q.fitsWindow() {
				continue
			}
			part := q.nextChunk()
			window -= len(part.Data)
			out, sent = append(out, Outgoing{To: to, Chunk: part}), true
		}
	}
	if len(s.destinations) > 1 {
		s.destinations = append(s.destinations[1:], s.destinations[0])
	}
	return out
}

// unacknowledged counts the bytes on their way, but for those to a destination that is silent:
// they would hold up all others.
func (s *Sender) unacknowledged(now int64) (n int) {
	for _, q := range s.queues {
		if now-q.progressAt < RetryInterval/2 {
			n += q.sent - q.acked
		}
	}
	return n
}
