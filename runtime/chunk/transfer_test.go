// Messages in pieces: whatever the way does to the pieces, a message arrives as it was
// sent or not at all, and what is held is bounded.

package chunk

import (
	"bytes"
	"crypto/sha256"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/wire"
)

// faults is what happens to pieces and acknowledgements: the chance in 100 of each.
type faults struct{ lose, duplicate, delay, reconnect int }

// transport is a sender and an assembler with a way between them.
type transport struct {
	t         *testing.T
	rnd       *rand.Rand
	faults    faults
	now       int64
	conn      uint64
	sender    *Sender
	assembler *Assembler
	arrived   [][]byte
	delayed   []func()
}

func newTransport(t *testing.T, seed uint64, w faults) *transport {
	return &transport{
		t: t, rnd: rand.New(rand.NewPCG(seed, 5)), faults: w, conn: 1,
		sender: NewSender(0), assembler: NewAssembler(),
	}
}

func (x *transport) chance(in100 int) bool { return x.rnd.IntN(100) < in100 }

// carry brings something to the other side, or does to it what the way does.
func (x *transport) carry(f func()) {
	if x.chance(x.faults.lose) {
		return
	}
	if x.chance(x.faults.delay) {
		x.delayed = append(x.delayed, f)
		return
	}
	f()
	if x.chance(x.faults.duplicate) {
		x.delayed = append(x.delayed, f)
	}
}

// run goes on until nothing is under way, or for so long.
func (x *transport) run(for_ int64) {
	for end := x.now + for_; x.sender.Busy() && x.now < end; x.now += 10_000 {
		if x.chance(x.faults.reconnect) {
			x.conn++
		}
		for _, o := range x.sender.Pump(x.now) {
			conn, piece := x.conn, o.Chunk
			x.carry(func() { x.take(conn, piece) })
		}
		if len(x.delayed) > 0 && x.chance(50) {
			i := x.rnd.IntN(len(x.delayed))
			f := x.delayed[i]
			x.delayed = append(x.delayed[:i], x.delayed[i+1:]...)
			f()
		}
		x.sender.Expire(x.now)
		x.assembler.Expire(x.now)
	}
}

func (x *transport) take(conn uint64, p wire.Chunk) {
	taken, err := x.assembler.Accept(x.now, conn, p)
	must.NoError(x.t, err)
	if taken.Message != nil {
		x.arrived = append(x.arrived, taken.Message)
	}
	if taken.Reply {
		x.carry(func() { x.sender.Acked(x.now, taken.Ack) })
	}
}

func message(seed byte, size int) []byte {
	b := make([]byte, size)
	rand.NewChaCha8([32]byte{seed}).Read(b)
	return b
}

// same compares messages by their bytes; printing the difference of large ones takes long.
func same(t *testing.T, want, got [][]byte) {
	t.Helper()
	must.Eq(t, len(want), len(got))
	for i := range want {
		must.True(t, bytes.Equal(want[i], got[i]), must.Sprintf("message %d differs", i))
	}
}

// chunkOf cuts one piece out of a message.
func chunkOf(transfer uint64, data []byte, offset int) wire.Chunk {
	digest := sha256.Sum256(data)
	return chunkWith(transfer, data, digest[:], offset)
}

func chunkWith(transfer uint64, data, digest []byte, offset int) wire.Chunk {
	return wire.Chunk{
		Transfer: transfer, Offset: offset, Total: len(data), Digest: digest,
		Data: data[offset:min(offset+wire.ChunkBytes, len(data))],
	}
}

func TestMessagesArriveIntactOrNotAtAll(t *testing.T) {
	for name, w := range map[string]faults{
		"calm": {}, "lost": {lose: 10}, "doubled": {duplicate: 40}, "out of order": {delay: 20},
		"reconnected": {reconnect: 5}, "all of it": {lose: 5, duplicate: 20, delay: 10, reconnect: 2},
	} {
		t.Run(name, func(t *testing.T) {
			arrived := 0
			for seed := range uint64(40) {
				x := newTransport(t, seed, w)
				sent := map[[sha256.Size]byte]bool{}
				for i := range byte(4) {
					m := message(i, wire.MaxSingleFrame+int(i)*50_001+1)
					sent[sha256.Sum256(m)] = true
					must.True(t, x.sender.Enqueue(x.now, Message{To: Destination{Conn: 1}, Data: m}))
				}
				x.run(600_000_000)
				must.False(t, x.sender.Busy(), must.Sprintf("seed %d", seed))
				must.Eq(t, 0, x.sender.queuedBytes, must.Sprintf("seed %d", seed))
				for _, m := range x.arrived {
					must.True(t, sent[sha256.Sum256(m)], must.Sprintf("seed %d: a message that nobody sent", seed))
				}
				if w.reconnect == 0 && w.lose == 0 {
					must.Len(t, 4, x.arrived, must.Sprintf("seed %d", seed))
				}
				arrived += len(x.arrived)
			}
			must.GreaterEq(t, 4*40/2, arrived)
		})
	}
}

func TestTransferRestartsAfterReconnect(t *testing.T) {
	x := newTransport(t, 1, faults{})
	m := message(1, 10*wire.ChunkBytes)
	x.sender.Enqueue(x.now, Message{To: Destination{Addr: "a"}, Data: m})
	x.run(20_000)
	must.Positive(t, x.assembler.BufferedBytes())
	x.conn = 2
	x.run(10_000_000)
	same(t, [][]byte{m}, x.arrived)
}

func TestChunksOfDifferentTransfersDoNotMix(t *testing.T) {
	a, b := message(1, 3*wire.ChunkBytes), message(2, 3*wire.ChunkBytes)
	as := NewAssembler()
	take := func(conn uint64, p wire.Chunk) Accepted {
		taken, err := as.Accept(0, conn, p)
		must.NoError(t, err)
		return taken
	}
	take(1, chunkOf(1, a, 0))
	take(2, chunkOf(1, b, 0))
	take(1, chunkOf(1, a, wire.ChunkBytes))
	must.Eq(t, wire.ChunkAck{Transfer: 1, Next: wire.ChunkBytes}, take(2, chunkOf(1, b, 2*wire.ChunkBytes)).Ack)
	same(t, [][]byte{a}, [][]byte{take(1, chunkOf(1, a, 2*wire.ChunkBytes)).Message})

	// A piece of the next message in the middle of this one, and then a late one of this.
	must.Eq(t, wire.ChunkAck{Transfer: 2, Next: 0}, take(2, chunkOf(2, a, wire.ChunkBytes)).Ack)
	take(2, chunkOf(2, a, 0))
	must.False(t, take(2, chunkOf(1, b, wire.ChunkBytes)).Reply, must.Sprint("the sender has gone on"))
	take(2, chunkOf(2, a, wire.ChunkBytes))
	same(t, [][]byte{a}, [][]byte{take(2, chunkOf(2, a, 2*wire.ChunkBytes)).Message})

	// Pieces of another message under the same number.
	take(3, chunkOf(7, a, 0))
	_, err := as.Accept(0, 3, chunkOf(7, b, wire.ChunkBytes))
	must.ErrorIs(t, err, ErrMalformed)
}

func TestMessageWithWrongDigestIsNotDelivered(t *testing.T) {
	m := message(1, 2*wire.ChunkBytes)
	as := NewAssembler()
	_, err := as.Accept(0, 1, chunkOf(1, m, 0))
	must.NoError(t, err)
	last := chunkOf(1, m, wire.ChunkBytes)
	last.Data = append([]byte(nil), last.Data...)
	last.Data[5] ^= 1
	taken, err := as.Accept(0, 1, last)
	must.ErrorIs(t, err, ErrDigest)
	must.Nil(t, taken.Message)
	must.Eq(t, 0, as.BufferedBytes())
}

func TestMalformedChunksAreRejected(t *testing.T) {
	good := chunkOf(1, message(1, 2*wire.ChunkBytes), 0)
	for name, spoil := range map[string]func(p *wire.Chunk){
		"too large":       func(p *wire.Chunk) { p.Total = wire.MaxMessage + 1 },
		"of no size":      func(p *wire.Chunk) { p.Total = 0 },
		"short digest":    func(p *wire.Chunk) { p.Digest = p.Digest[1:] },
		"empty":           func(p *wire.Chunk) { p.Data = nil },
		"before the head": func(p *wire.Chunk) { p.Offset = -1 },
		"past the end":    func(p *wire.Chunk) { p.Offset = p.Total - 1 },
	} {
		t.Run(name, func(t *testing.T) {
			p, as := good, NewAssembler()
			spoil(&p)
			_, err := as.Accept(0, 1, p)
			must.ErrorIs(t, err, ErrMalformed)
			must.False(t, as.Busy())
		})
	}
}

func TestBufferedBytesAreBoundedAndOldestAssembliesComplete(t *testing.T) {
	const senders = 12
	as := NewAssembler()
	messages := make([][]byte, senders)
	digests := make([][sha256.Size]byte, senders)
	for i := range messages {
		messages[i] = message(byte(i), 2<<20)
		digests[i] = sha256.Sum256(messages[i])
	}
	var whole int
	next := make([]int, senders)
	for range 3 * (2 << 20) / wire.ChunkBytes {
		for i, m := range messages {
			taken, err := as.Accept(0, uint64(i), chunkWith(1, m, digests[i][:], next[i]))
			must.NoError(t, err)
			must.LessEq(t, MaxBufferedBytes, as.BufferedBytes())
			if taken.Reply {
				next[i] = taken.Ack.Next % len(m)
			}
			if taken.Message != nil {
				whole++
				same(t, [][]byte{m}, [][]byte{taken.Message})
			}
		}
	}
	must.GreaterEq(t, 4, whole, must.Sprint("those that began first are whole"))
	as.Expire(IdleTimeout)
	must.Eq(t, 0, as.BufferedBytes())
	must.False(t, as.Busy())
}
