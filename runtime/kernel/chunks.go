// Messages that are larger than a frame should be leave and reach a process in pieces.
// The plug-ins see none of it: they send a message, and get it whole.

package kernel

import (
	"errors"

	"wallport/runtime/chunk"
	"wallport/runtime/wire"
)

// transferTimer is the timer's name; no plug-in has it.
const transferTimer = "pieces"

// chunks is the kernel's side of segmented messages.
type chunks struct {
	sender    *chunk.Sender
	assembler *chunk.Assembler
	timerSet  bool
}

func newChunks() *chunks {
	return &chunks{sender: chunk.NewSender(0), assembler: chunk.NewAssembler()}
}

// mustNotOvertake tells of the kinds of which a small frame must not pass a large one: the last
// frame of a hand-over says that it is complete.
func mustNotOvertake(kind uint8) bool { return kind == wire.KindRecordsReply }

// send takes the large messages out of a step's sends and adds the pieces that may leave now.
func (p *chunks) send(ctx *Context) {
	sends := ctx.Output.Sends[:0]
	for _, s := range ctx.Output.Sends {
		to := chunk.Destination{Conn: s.Conn, Addr: s.Addr}
		mustWait := mustNotOvertake(wire.KindOf(s.Data)) && p.sender.Sending(to)
		if len(s.Data) <= wire.MaxSingleFrame && !mustWait {
			sends = append(sends, s)
			continue
		}
		if !p.sender.Enqueue(ctx.Now, chunk.Message{To: to, ReplaceKey: s.ReplaceKey, Data: s.Data}) {
			ctx.Counts.Add("transfers_dropped", 1)
		}
	}
	ctx.Output.Sends = sends
	p.pump(ctx)
	p.armTimer(ctx)
}

func (p *chunks) pump(ctx *Context) {
	for _, o := range p.sender.Pump(ctx.Now) {
		ctx.Counts.Add("transfer_bytes_out", int64(len(o.Chunk.Data)))
		frame := wire.Seal(wire.KindChunk, 0, &o.Chunk)
		ctx.Output.Sends = append(ctx.Output.Sends, Send{Conn: o.To.Conn, Addr: o.To.Addr, Data: frame})
	}
}

// armTimer sets the timer while anything is on its way.
func (p *chunks) armTimer(ctx *Context) {
	if p.timerSet {
		return
	}
	switch {
	case p.sender.Busy():
		ctx.After(chunk.RetryInterval/2, transferTimer, "")
	case p.assembler.Busy():
		ctx.After(chunk.IdleTimeout, transferTimer, "")
	default:
		return
	}
	p.timerSet = true
}

// tick sends again, gives up and forgets; the pieces leave at the end of the step.
func (p *chunks) tick(ctx *Context) {
	p.timerSet = false
	if abandoned := p.sender.Expire(ctx.Now); abandoned > 0 {
		ctx.Counts.Add("transfers_abandoned", int64(abandoned))
		ctx.Log(LevelWarn, "transfer_abandoned", "transfers", abandoned)
	}
	p.assembler.Expire(ctx.Now)
}

// ReceivingAny reports whether a large message is coming in, on any connection.
func (k *Kernel) ReceivingAny() bool { return k.chunks.assembler.BufferedBytes() > 0 }

// ReceivingOn reports whether one is coming in on a connection.
func (k *Kernel) ReceivingOn(conn uint64) bool { return k.chunks.assembler.Receiving(conn) }

// Sending is the number of destinations that large messages are under way to.
func (k *Kernel) Sending() int { return k.chunks.sender.Destinations() }

// closed drops what was under way on a connection that has ended.
func (p *chunks) closed(conn uint64) {
	p.sender.Closed(conn)
	p.assembler.Closed(conn)
}

// acked takes an acknowledgement.
func (p *chunks) acked(ctx *Context, ack wire.ChunkAck) {
	done, again := p.sender.Acked(ctx.Now, ack)
	if done {
		ctx.Counts.Add("transfers_sent", 1)
	}
	if again {
		ctx.Counts.Add("transfers_restarted", 1)
	}
}

// received takes a piece, and gives the message that is whole by it. An error means that the
// connection should be dropped.
func (p *chunks) received(ctx *Context, conn uint64, piece wire.Chunk) (*wire.Frame, error) {
	taken, err := p.assembler.Accept(ctx.Now, conn, piece)
	if err != nil {
		if errors.Is(err, chunk.ErrDigest) {
			ctx.Counts.Add("transfers_corrupt", 1)
		}
		ctx.Log(LevelWarn, "transfer_refused", "why", err.Error())
		return nil, err
	}
	if taken.Reply {
		ctx.Send(conn, wire.KindChunkAck, 0, &taken.Ack)
	}
	if taken.Message == nil {
		return nil, nil
	}
	ctx.Counts.Add("transfers_received", 1)
	frame, err := wire.OpenMessage(taken.Message)
	return &frame, err
}
