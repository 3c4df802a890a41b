// Large messages between two kernels: whole for the plug-ins, in pieces on the way,
// and no heartbeat waits for them.

package kernel

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/tinylib/msgp/msgp"

	"wallport/runtime/wire"
)

// recorder is a plug-in that takes edits and votes.
type recorder struct{ got []Message }

func (*recorder) Name() string   { return "recorder" }
func (*recorder) Kinds() []uint8 { return []uint8{wire.KindEdit, wire.KindLeaderHeartbeat} }
func (r *recorder) Step(_ *Context, in Input) {
	if m, ok := in.(Message); ok {
		r.got = append(r.got, m)
	}
}

// sendNow has a kernel send a message on connection 1.
func (k *Kernel) sendNow(now int64, kind uint8, m msgp.Marshaler) Output {
	k.Later(func(ctx *Context) { ctx.Send(1, kind, 7, m) })
	return k.Step(now, now, Stopping{})
}

func newRecording() (*Kernel, *recorder) {
	k, r := New(Boot{}), &recorder{}
	k.plugins, k.byKind[wire.KindEdit], k.byKind[wire.KindLeaderHeartbeat] = append(k.plugins, r), r, r
	return k, r
}

// exchange carries frames to and fro until there are none. Both sides call the connection 1.
func exchange(t *testing.T, now int64, from, to *Kernel, out Output) (frames int) {
	for len(out.Sends) > 0 {
		var back, on Output
		for _, s := range out.Sends {
			must.LessEq(t, wire.MaxSingleFrame, len(s.Data))
			frames++
			back.Sends = append(back.Sends, to.Step(now, now, Received{Conn: 1, Data: s.Data}).Sends...)
		}
		for _, s := range back.Sends {
			on.Sends = append(on.Sends, from.Step(now, now, Received{Conn: 1, Data: s.Data}).Sends...)
		}
		out = on
	}
	return frames
}

func TestLargeMessageArrivesComplete(t *testing.T) {
	a, _ := newRecording()
	b, got := newRecording()
	e := wire.Edit{EditID: "large", Body: bytes.Repeat([]byte("0123456789abcdef"), 4<<20/16)}
	frames := exchange(t, 0, a, b, a.sendNow(0, wire.KindEdit, &e))
	must.Between(t, 128, frames, 130)
	must.Len(t, 1, got.got)
	must.Eq(t, uint64(7), got.got[0].ID)
	var after wire.Edit
	must.NoError(t, wire.Decode(got.got[0].Body, &after))
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
	must.LessEq(t, 2*wire.ChunkBytes+512, size, must.Sprint("what a heartbeat may have to wait for"))
	beat := a.sendNow(0, wire.KindLeaderHeartbeat, &wire.LeaderHeartbeat{})
	exchange(t, 0, a, b, beat)
	must.Len(t, 1, got.got)
	must.Eq(t, wire.KindLeaderHeartbeat, got.got[0].Kind)
	exchange(t, 0, a, b, large)
	must.Len(t, 2, got.got)
}

func TestOversizeMessageIsDroppedAndNextIsDelivered(t *testing.T) {
	a, _ := newRecording()
	b, got := newRecording()
	exchange(t, 0, a, b, a.sendNow(0, wire.KindEdit, &wire.Edit{Body: make([]byte, wire.MaxMessage)}))
	must.Len(t, 0, got.got)
	must.Eq(t, 1, a.Counts.Of("transfers_dropped").Load())
	exchange(t, 0, a, b, a.sendNow(0, wire.KindEdit, &wire.Edit{Body: make([]byte, 100_000)}))
	must.Len(t, 1, got.got)
}

func TestMalformedChunkDropsConnection(t *testing.T) {
	b, got := newRecording()
	out := b.Step(0, 0, Received{Conn: 1, Data: wire.Seal(wire.KindChunk, 0, &wire.Chunk{Transfer: 1, Total: 9})})
	must.Eq(t, []uint64{1}, out.Drops)
	must.Len(t, 0, got.got)
}

func TestLostChunksAreResent(t *testing.T) {
	a, _ := newRecording()
	b, got := newRecording()
	lost := a.sendNow(0, wire.KindEdit, &wire.Edit{Body: make([]byte, 300_000)})
	must.Len(t, 1, lost.Timers)
	at := int64(0)
	for range 4 {
		at += 500_000
		exchange(t, at, a, b, a.Step(at, at, Tick{Plugin: transferTimer}))
	}
	must.Len(t, 1, got.got)
}
