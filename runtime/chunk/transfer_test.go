package chunk

import (
	"bytes"
	"crypto/sha256"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// faults are the faults that a network applies to chunks and acknowledgements, each with its probability in percent.
type faults struct{ lose, duplicate, delay, reconnect int }

// transport is a sender and an assembler with a faulty network between them.
type transport struct {
	t         *testing.T
	rnd       *rand.Rand
	faults    faults
	now       clock.Micros
	conn      uint64
	sender    *Sender
	assembler *Assembler
	arrived   [][]byte
	delayed   []func()
}

func newTransport(t *testing.T, seed uint64, f faults) *transport {
	t.Helper()
	return &transport{
		t: t, rnd: rand.New(rand.NewPCG(seed, 5)), faults: f, conn: 1,
		sender: NewSender(0), assembler: NewAssembler(),
	}
}

func (x *transport) chance(in100 int) bool { return x.rnd.IntN(100) < in100 }

// deliver runs f, which delivers a chunk or an acknowledgement, subject to the network's faults: it may drop, delay or
// repeat the call.
func (x *transport) deliver(f func()) {
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

// run runs the network until the sender has no message left, but not longer than limit.
func (x *transport) run(limit clock.Micros) {
	for end := x.now + limit; x.sender.Busy() && x.now < end; x.now += 10 * clock.Millisecond {
		if x.chance(x.faults.reconnect) {
			x.conn++
		}
		for _, o := range x.sender.Pump(x.now) {
			conn, c := x.conn, o.Chunk
			x.deliver(func() { x.receive(conn, c) })
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

func (x *transport) receive(conn uint64, p wire.Chunk) {
	accepted, err := x.assembler.Accept(x.now, conn, p)
	must.NoError(x.t, err)
	if accepted.Message != nil {
		x.arrived = append(x.arrived, accepted.Message)
	}
	if accepted.Reply {
		x.deliver(func() { x.sender.Acked(x.now, accepted.Ack) })
	}
}

func message(seed byte, size int) []byte {
	b := make([]byte, size)
	rand.NewChaCha8([32]byte{seed}).Read(b)
	return b
}

// equalMessages fails the test if the messages differ. It does not print the difference, which would take long for
// large messages.
func equalMessages(t *testing.T, want, got [][]byte) {
	t.Helper()
	must.Eq(t, len(want), len(got))
	for i := range want {
		must.True(t, bytes.Equal(want[i], got[i]), must.Sprintf("message %d differs", i))
	}
}

// chunkOf returns the chunk of a message at an offset.
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
	for name, f := range map[string]faults{
		"no faults": {}, "loss": {lose: 10}, "duplicates": {duplicate: 40}, "reordering": {delay: 20},
		"reconnects": {reconnect: 5}, "all faults": {lose: 5, duplicate: 20, delay: 10, reconnect: 2},
	} {
		t.Run(name, func(t *testing.T) {
			arrived := 0
			for seed := range uint64(40) {
				x := newTransport(t, seed, f)
				sent := map[[sha256.Size]byte]bool{}
				for i := range byte(4) {
					m := message(i, wire.MaxSingleFrame+int(i)*50_001+1)
					sent[sha256.Sum256(m)] = true
					must.True(t, x.sender.Enqueue(x.now, Message{To: Destination{Conn: 1}, Data: m}))
				}
				x.run(600 * clock.Second)
				must.False(t, x.sender.Busy(), must.Sprintf("seed %d: all transfers must end within the time limit", seed))
				must.Eq(t, 0, x.sender.queuedBytes, must.Sprintf("seed %d: no bytes must remain queued", seed))
				for _, m := range x.arrived {
					must.True(t, sent[sha256.Sum256(m)], must.Sprintf("seed %d: received a message that was not sent", seed))
				}
				if f.reconnect == 0 && f.lose == 0 {
					must.Len(t, 4, x.arrived, must.Sprintf("seed %d: every message must arrive", seed))
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
	x.run(20 * clock.Millisecond)
	must.Positive(t, x.assembler.BufferedBytes())
	x.conn = 2
	x.run(10 * clock.Second)
	equalMessages(t, [][]byte{m}, x.arrived)
}

func TestChunksOfDifferentTransfersDoNotMix(t *testing.T) {
	a, b := message(1, 3*wire.ChunkBytes), message(2, 3*wire.ChunkBytes)
	as := NewAssembler()
	accept := func(conn uint64, p wire.Chunk) Accepted {
		accepted, err := as.Accept(0, conn, p)
		must.NoError(t, err)
		return accepted
	}
	accept(1, chunkOf(1, a, 0))
	accept(2, chunkOf(1, b, 0))
	accept(1, chunkOf(1, a, wire.ChunkBytes))
	must.Eq(t, wire.ChunkAck{Transfer: 1, Next: wire.ChunkBytes}, accept(2, chunkOf(1, b, 2*wire.ChunkBytes)).Ack)
	equalMessages(t, [][]byte{a}, [][]byte{accept(1, chunkOf(1, a, 2*wire.ChunkBytes)).Message})

	// A chunk of the next transfer arrives before the current one is complete, then a late chunk of the current one.
	must.Eq(t, wire.ChunkAck{Transfer: 2, Next: 0}, accept(2, chunkOf(2, a, wire.ChunkBytes)).Ack)
	accept(2, chunkOf(2, a, 0))
	must.False(t, accept(2, chunkOf(1, b, wire.ChunkBytes)).Reply, must.Sprint("a late chunk of an earlier transfer must not be acknowledged"))
	accept(2, chunkOf(2, a, wire.ChunkBytes))
	equalMessages(t, [][]byte{a}, [][]byte{accept(2, chunkOf(2, a, 2*wire.ChunkBytes)).Message})

	// Chunks of two different messages have the same transfer number.
	accept(3, chunkOf(7, a, 0))
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
	accepted, err := as.Accept(0, 1, last)
	must.ErrorIs(t, err, ErrDigest)
	must.Nil(t, accepted.Message)
	must.Eq(t, 0, as.BufferedBytes())
}

func TestMalformedChunksAreRejected(t *testing.T) {
	good := chunkOf(1, message(1, 2*wire.ChunkBytes), 0)
	for name, corrupt := range map[string]func(p *wire.Chunk){
		"too large":       func(p *wire.Chunk) { p.Total = wire.MaxMessage + 1 },
		"zero size":       func(p *wire.Chunk) { p.Total = 0 },
		"short digest":    func(p *wire.Chunk) { p.Digest = p.Digest[1:] },
		"empty":           func(p *wire.Chunk) { p.Data = nil },
		"negative offset": func(p *wire.Chunk) { p.Offset = -1 },
		"past the end":    func(p *wire.Chunk) { p.Offset = p.Total - 1 },
	} {
		t.Run(name, func(t *testing.T) {
			p, as := good, NewAssembler()
			corrupt(&p)
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
	var completed int
	next := make([]int, senders)
	for range 3 * (2 << 20) / wire.ChunkBytes {
		for i, m := range messages {
			accepted, err := as.Accept(0, uint64(i), chunkWith(1, m, digests[i][:], next[i]))
			must.NoError(t, err)
			must.LessEq(t, MaxBufferedBytes, as.BufferedBytes())
			if accepted.Reply {
				next[i] = accepted.Ack.Next % len(m)
			}
			if accepted.Message != nil {
				completed++
				equalMessages(t, [][]byte{m}, [][]byte{accepted.Message})
			}
		}
	}
	must.GreaterEq(t, 4, completed, must.Sprint("the assemblies that started first must complete"))
	as.Expire(IdleTimeout)
	must.Eq(t, 0, as.BufferedBytes())
	must.False(t, as.Busy())
}
