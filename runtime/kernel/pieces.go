// Messages that are larger than a frame should be leave and reach a process in pieces.
// The plug-ins see none of it: they send a message, and get it whole.
package kernel

import (
	"errors"

	"wallport/runtime/chunk"
	"wallport/runtime/wire"
)

// piecesName is the timer's name; no plug-in has it.
const piecesName = "pieces"

// pieces is the kernel's side of segmented messages.
type pieces struct {
	sender    *chunk.Sender
	assembler *chunk.Assembler
	ticking   bool
}

func newPieces() *pieces {
	return &pieces{sender: chunk.NewSender(0), assembler: chunk.NewAssembler()}
}

// keepsOrder tells of the kinds of which a small frame must not pass a large one: the last
// frame of a hand-over says that it is complete.
func keepsOrder(kind uint8) bool { return kind == wire.KindHanded }

// send takes the large messages out of a step's sends and adds the pieces that may leave now.
func (p *pieces) send(ctx *Context) {
	sends := ctx.Out.Sends[:0]
	for _, s := range ctx.Out.Sends {
		to := chunk.Destination{Conn: s.Chan, Addr: s.Addr}
		behind := keepsOrder(wire.KindOf(s.Data)) && p.sender.Sending(to)
		if len(s.Data) <= wire.WholeMost && !behind {
			sends = append(sends, s)
			continue
		}
		if !p.sender.Enqueue(ctx.Now, chunk.Message{To: to, Slot: s.Slot, Data: s.Data}) {
			ctx.Counts.Add("transfers_dropped", 1)
		}
	}
	ctx.Out.Sends = sends
	p.pump(ctx)
	p.tickSoon(ctx)
}

func (p *pieces) pump(ctx *Context) {
	for _, o := range p.sender.Pump(ctx.Now) {
		ctx.Counts.Add("transfer_bytes_out", int64(len(o.Piece.Data)))
		frame := wire.Seal(wire.KindPiece, 0, &o.Piece)
		ctx.Out.Sends = append(ctx.Out.Sends, Send{Chan: o.To.Conn, Addr: o.To.Addr, Data: frame})
	}
}

// tickSoon sets the timer while anything is on its way.
func (p *pieces) tickSoon(ctx *Context) {
	if p.ticking {
		return
	}
	switch {
	case p.sender.Busy():
		ctx.After(chunk.RetryAfter/2, piecesName, "")
	case p.assembler.Busy():
		ctx.After(chunk.IdleAfter, piecesName, "")
	default:
		return
	}
	p.ticking = true
}

// tick sends again, gives up and forgets; the pieces leave at the end of the step.
func (p *pieces) tick(ctx *Context) {
	p.ticking = false
	if given := p.sender.Expire(ctx.Now); given > 0 {
		ctx.Counts.Add("transfers_abandoned", int64(given))
		ctx.Log(LevelWarn, "transfer_abandoned", "transfers", given)
	}
	p.assembler.Expire(ctx.Now)
}

// Receiving tells whether a large message is coming in, on any connection.
func (k *Kernel) Receiving() bool { return k.pieces.assembler.Held() > 0 }

// ReceivingOn tells whether one is coming in on a connection.
func (k *Kernel) ReceivingOn(conn uint64) bool { return k.pieces.assembler.Receiving(conn) }

// Sending is the number of destinations that large messages are under way to.
func (k *Kernel) Sending() int { return k.pieces.sender.Destinations() }

// closed drops what was under way on a connection that has ended.
func (p *pieces) closed(conn uint64) {
	p.sender.Closed(conn)
	p.assembler.Closed(conn)
}

// acked takes an acknowledgement.
func (p *pieces) acked(ctx *Context, ack wire.PieceAck) {
	done, again := p.sender.Acked(ctx.Now, ack)
	if done {
		ctx.Counts.Add("transfers_sent", 1)
	}
	if again {
		ctx.Counts.Add("transfers_restarted", 1)
	}
}

// piece takes a piece, and gives the message that is whole by it. An error means that the
// connection should be dropped.
func (p *pieces) piece(ctx *Context, conn uint64, piece wire.Piece) (*wire.Frame, error) {
	taken, err := p.assembler.Take(ctx.Now, conn, piece)
	if err != nil {
		if errors.Is(err, chunk.ErrDigest) {
			ctx.Counts.Add("transfers_corrupt", 1)
		}
		ctx.Log(LevelWarn, "transfer_refused", "why", err.Error())
		return nil, err
	}
	if taken.Reply {
		ctx.Send(conn, wire.KindPieceAck, 0, &taken.Ack)
	}
	if taken.Whole == nil {
		return nil, nil
	}
	ctx.Counts.Add("transfers_received", 1)
	frame, err := wire.OpenMessage(taken.Whole)
	return &frame, err
}
