package chunk

import (
	"bytes"

	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

const (
	// DestinationWindow bounds the unacknowledged bytes to one destination. ProcessWindow bounds those
	// to all destinations together; sending that many takes 105 ms on a link of 10 Mbit/s.
	DestinationWindow = 2 * wire.ChunkBytes
	ProcessWindow     = 4 * wire.ChunkBytes
	// RetryInterval is how long a transfer goes without progress before its chunks are resent from the
	// last acknowledged offset.
	RetryInterval = 1 * clock.Second
	// ProgressTimeout is how long a transfer may go without progress before it is abandoned.
	ProgressTimeout = 5 * clock.Second
	// MaxRestarts is how many times the receiver may restart a transfer from offset 0 before the
	// transfer is abandoned.
	MaxRestarts = 4
	// MaxQueued bounds the messages queued for one destination, including the one in flight.
	MaxQueued = 16
	// MaxQueuedBytes bounds the bytes of the messages queued for all destinations.
	MaxQueuedBytes = 32 << 20
)

// Destination identifies an open connection by Conn, or a direct connection by the address Addr of the
// other process.
type Destination struct {
	Conn uint64
	Addr string
}

// Message is a message to send. A newer message with the same ReplaceKey replaces a queued one; a message
// with an empty key replaces none.
type Message struct {
	To         Destination
	ReplaceKey string
	Data       []byte
}

// Outgoing is a chunk to send to a destination.
type Outgoing struct {
	To    Destination
	Chunk wire.Chunk
}

// Sender queues messages for each destination and sends them in chunks.
type Sender struct {
	queues map[Destination]*queue
	// destinations is the round-robin order of the destinations.
	destinations []Destination
	lastTransfer uint64
	queuedBytes  int
}

// NewSender returns a sender that numbers its transfers from last+1.
func NewSender(last uint64) *Sender {
	return &Sender{queues: map[Destination]*queue{}, lastTransfer: last}
}

// Busy reports whether any message is queued or in flight.
func (s *Sender) Busy() bool { return len(s.queues) > 0 }

// Destinations returns the number of destinations with a message queued or in flight.
func (s *Sender) Destinations() int { return len(s.queues) }

// Sending reports whether a message is queued for or in flight to a destination.
func (s *Sender) Sending(to Destination) bool { return s.queues[to] != nil }

// Enqueue queues a message, unless one with the same data is already queued for its destination. It
// returns false if it drops the message because the message is too large or a queue limit is reached.
func (s *Sender) Enqueue(now clock.Micros, m Message) bool {
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

// replace replaces a queued message with the same key by m, and reports whether there was one.
func (s *Sender) replace(q *queue, now clock.Micros, m Message) bool {
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

// shared returns the data of a queued message with equal data if there is one, so that a broadcast to
// several destinations is held in memory only once.
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

// finish drops the message in flight to a destination and starts the next one.
func (s *Sender) finish(to Destination, now clock.Micros) {
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

// Closed drops the messages for a connection that has been closed.
func (s *Sender) Closed(conn uint64) { s.forget(Destination{Conn: conn}) }

// Acked handles an acknowledgement. It reports whether the acknowledgement completes the transfer and
// whether it restarts the transfer. An acknowledgement of an unknown transfer is ignored.
func (s *Sender) Acked(now clock.Micros, ack wire.ChunkAck) (done, restarted bool) {
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

// Expire marks the bytes that were not acknowledged in time to be resent by the next Pump, and abandons
// the transfers without progress for ProgressTimeout. It returns the number of abandoned transfers. It
// also ends a transfer to an unresponsive destination if a newer message with the same key is queued,
// without counting the transfer as abandoned.
func (s *Sender) Expire(now clock.Micros) (abandoned int) {
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

// Pump returns the chunks that the windows allow to be sent now, round-robin over the destinations.
func (s *Sender) Pump(now clock.Micros) (out []Outgoing) {
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

// unacknowledged returns the number of bytes in flight. It leaves out destinations that made no progress
// for half of RetryInterval, so that they do not block the others.
func (s *Sender) unacknowledged(now clock.Micros) (n int) {
	for _, q := range s.queues {
		if now-q.progressAt < RetryInterval/2 {
			n += q.sent - q.acked
		}
	}
	return n
}
