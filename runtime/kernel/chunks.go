package kernel

import (
	"errors"

	"wallport/runtime/chunk"
	"wallport/runtime/wire"
)

// transferTimer is the plug-in name in the Ticks of the transfer timer; no plug-in has this name.
const transferTimer = "pieces"

// chunks sends and receives the messages that are larger than a frame. It replaces each large message in
// a step's sends by chunks and assembles messages from received chunks, so plug-ins handle complete
// messages only.
type chunks struct {
	sender    *chunk.Sender
	assembler *chunk.Assembler
	timerSet  bool
}

func newChunks() *chunks {
	return &chunks{sender: chunk.NewSender(0), assembler: chunk.NewAssembler()}
}

// mustNotOvertake reports whether a small message of a kind must wait for a large one sent before it:
// the last RecordsReply of a transfer of records marks it as complete.
func mustNotOvertake(kind uint8) bool { return kind == wire.KindRecordsReply }

// send replaces the large messages in a step's sends by the chunks that the send window allows now.
func (c *chunks) send(ctx *Context) {
	sends := ctx.Output.Sends[:0]
	for _, s := range ctx.Output.Sends {
		to := chunk.Destination{Conn: s.Conn, Addr: s.Addr}
		mustWait := mustNotOvertake(wire.KindOf(s.Data)) && c.sender.Sending(to)
		if len(s.Data) <= wire.MaxSingleFrame && !mustWait {
			sends = append(sends, s)
			continue
		}
		if !c.sender.Enqueue(ctx.Now, chunk.Message{To: to, ReplaceKey: s.ReplaceKey, Data: s.Data}) {
			ctx.Counts.Add("transfers_dropped", 1)
		}
	}
	ctx.Output.Sends = sends
	c.pump(ctx)
	c.armTimer(ctx)
}

func (c *chunks) pump(ctx *Context) {
	for _, o := range c.sender.Pump(ctx.Now) {
		ctx.Counts.Add("transfer_bytes_out", int64(len(o.Chunk.Data)))
		frame := wire.Seal(wire.KindChunk, 0, &o.Chunk)
		ctx.Output.Sends = append(ctx.Output.Sends, Send{Conn: o.To.Conn, Addr: o.To.Addr, Data: frame})
	}
}

// armTimer sets the transfer timer if it is not set and a transfer is in flight in either direction.
func (c *chunks) armTimer(ctx *Context) {
	if c.timerSet {
		return
	}
	switch {
	case c.sender.Busy():
		ctx.After(chunk.RetryInterval/2, transferTimer, "")
	case c.assembler.Busy():
		ctx.After(chunk.IdleTimeout, transferTimer, "")
	default:
		return
	}
	c.timerSet = true
}

// tick drops the transfers that have timed out, in either direction, and marks unacknowledged chunks for
// resending. They are resent at the end of the step.
func (c *chunks) tick(ctx *Context) {
	c.timerSet = false
	if abandoned := c.sender.Expire(ctx.Now); abandoned > 0 {
		ctx.Counts.Add("transfers_abandoned", int64(abandoned))
		ctx.Log(LevelWarn, "transfer_abandoned", "transfers", abandoned)
	}
	c.assembler.Expire(ctx.Now)
}

// closed drops the transfers on a connection that has ended.
func (c *chunks) closed(conn uint64) {
	c.sender.Closed(conn)
	c.assembler.Closed(conn)
}

// acked handles an acknowledgement from the receiver of a transfer.
func (c *chunks) acked(ctx *Context, ack wire.ChunkAck) {
	done, again := c.sender.Acked(ctx.Now, ack)
	if done {
		ctx.Counts.Add("transfers_sent", 1)
	}
	if again {
		ctx.Counts.Add("transfers_restarted", 1)
	}
}

// received handles a chunk and returns the message that it completes, or nil if chunks are still
// missing. An error means that the connection must be dropped.
func (c *chunks) received(ctx *Context, conn uint64, fragment wire.Chunk) (*wire.Frame, error) {
	accepted, err := c.assembler.Accept(ctx.Now, conn, fragment)
	if err != nil {
		if errors.Is(err, chunk.ErrDigest) {
			ctx.Counts.Add("transfers_corrupt", 1)
		}
		ctx.Log(LevelWarn, "transfer_rejected", "error", err.Error())
		return nil, err
	}
	if accepted.Reply {
		ctx.Send(conn, wire.KindChunkAck, 0, &accepted.Ack)
	}
	if accepted.Message == nil {
		return nil, nil
	}
	ctx.Counts.Add("transfers_received", 1)
	frame, err := wire.OpenMessage(accepted.Message)
	return &frame, err
}

// ReceivingAny reports whether a large message is being received on any connection.
func (k *Kernel) ReceivingAny() bool { return k.chunks.assembler.BufferedBytes() > 0 }

// ReceivingOn reports whether a large message is being received on a connection.
func (k *Kernel) ReceivingOn(conn uint64) bool { return k.chunks.assembler.Receiving(conn) }

// Sending returns the number of destinations to which large messages are in flight.
func (k *Kernel) Sending() int { return k.chunks.sender.Destinations() }
