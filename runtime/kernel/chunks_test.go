package kernel

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

// recorder is a plug-in that records the edits and heartbeats that it receives.
type recorder struct{ received []Message }

func (*recorder) Name() string   { return "recorder" }
func (*recorder) Kinds() []uint8 { return []uint8{wire.KindEdit, wire.KindLeaderHeartbeat} }
func (r *recorder) Step(_ *Context, in Input) {
	if m, ok := in.(Message); ok {
		r.received = append(r.received, m)
	}
}

// sendNow makes a kernel send a message on connection 1 and returns the step's output.
func (k *Kernel) sendNow(now clock.Micros, kind uint8, m msgp.Marshaler) Output {
	k.Later(func(ctx *Context) { ctx.Send(1, kind, 7, m) })
	return k.Step(now, now, Stopping{})
}

func newRecording() (*Kernel, *recorder) {
	k, r := New(Boot{}), &recorder{}
	k.plugins, k.byKind[wire.KindEdit], k.byKind[wire.KindLeaderHeartbeat] = append(k.plugins, r), r, r
	return k, r
}

// exchange delivers frames between two kernels until neither sends any, and returns how many frames the
// first kernel sent. In both kernels the connection has the id 1.
func exchange(t *testing.T, now clock.Micros, from, to *Kernel, out Output) (frames int) {
	t.Helper()
	for len(out.Sends) > 0 {
		var back, next Output
		for _, s := range out.Sends {
			must.LessEq(t, wire.MaxSingleFrame, len(s.Data))
			frames++
			back.Sends = append(back.Sends, to.Step(now, now, Received{Conn: 1, Data: s.Data}).Sends...)
		}
		for _, s := range back.Sends {
			next.Sends = append(next.Sends, from.Step(now, now, Received{Conn: 1, Data: s.Data}).Sends...)
		}
		out = next
	}
	return frames
}

func TestLargeMessageArrivesComplete(t *testing.T) {
	a, _ := newRecording()
	b, got := newRecording()
	e := wire.Edit{EditID: "large", Body: bytes.Repeat([]byte("0123456789abcdef"), 4<<20/16)}
	frames := exchange(t, 0, a, b, a.sendNow(0, wire.KindEdit, &e))
	must.Between(t, 128, frames, 130)
	must.Len(t, 1, got.received)
	must.Eq(t, uint64(7), got.received[0].ID)
	var after wire.Edit
	must.NoError(t, wire.Decode(got.received[0].Body, &after))
	must.True(t, bytes.Equal(e.Body, after.Body))
	must.Eq(t, 1, a.Counts.Of("transfers_sent").Load())
}

func TestHeartbeatOvertakesChunks(t *testing.T) {
	a, _ := newRecording()
	b, got := newRecording()
	large := a.sendNow(0, wire.KindEdit, &wire.Edit{Body: make([]byte, 1<<20)})
	size := 0
	for _, s := range large.Sends {
		size += len(s.Data)
	}
	must.LessEq(t, 2*wire.ChunkBytes+512, size, must.Sprint("no more than two chunks and their envelopes may be queued ahead of a heartbeat"))
	beat := a.sendNow(0, wire.KindLeaderHeartbeat, &wire.LeaderHeartbeat{})
	exchange(t, 0, a, b, beat)
	must.Len(t, 1, got.received)
	must.Eq(t, wire.KindLeaderHeartbeat, got.received[0].Kind)
	exchange(t, 0, a, b, large)
	must.Len(t, 2, got.received)
}

func TestOversizeMessageIsDroppedAndNextIsDelivered(t *testing.T) {
	a, _ := newRecording()
	b, got := newRecording()
	exchange(t, 0, a, b, a.sendNow(0, wire.KindEdit, &wire.Edit{Body: make([]byte, wire.MaxMessage)}))
	must.Len(t, 0, got.received)
	must.Eq(t, 1, a.Counts.Of("transfers_dropped").Load())
	exchange(t, 0, a, b, a.sendNow(0, wire.KindEdit, &wire.Edit{Body: make([]byte, 100_000)}))
	must.Len(t, 1, got.received)
}

func TestMalformedChunkDropsConnection(t *testing.T) {
	b, got := newRecording()
	out := b.Step(0, 0, Received{Conn: 1, Data: wire.Seal(wire.KindChunk, 0, &wire.Chunk{Transfer: 1, Total: 9})})
	must.Eq(t, []uint64{1}, out.Drops)
	must.Len(t, 0, got.received)
}

func TestLostChunksAreResent(t *testing.T) {
	a, _ := newRecording()
	b, got := newRecording()
	lost := a.sendNow(0, wire.KindEdit, &wire.Edit{Body: make([]byte, 300_000)})
	must.Len(t, 1, lost.Timers)
	at := clock.Micros(0)
	for range 4 {
		at += 500 * clock.Millisecond
		exchange(t, at, a, b, a.Step(at, at, Tick{Plugin: transferTimer}))
	}
	must.Len(t, 1, got.received)
}
