// The receiver's side: one assembly for each connection, all of them bounded together.

package chunk

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"

	"wallport/runtime/wire"
)

// Figures of assembling.
const (
	// AssembledMost bounds the bytes of all assemblies under way together.
	AssembledMost = 2 * wire.MaxMessage
	// IdleAfter is how long an assembly waits for its next piece, in microseconds. It is longer
	// than the sender goes on without an acknowledgement.
	IdleAfter = GiveUpAfter + RetryAfter
	// AssembliesMost bounds the connections that are remembered.
	AssembliesMost = 256
)

// Faults of pieces. A connection that brings one is not to be trusted further.
var (
	ErrMalformed = errors.New("malformed piece")
	// ErrDigest tells that a whole message is not what its sender announced.
	ErrDigest = errors.New("message differs from its digest")
)

// Assembler puts the pieces of each connection together.
type Assembler struct {
	byConn map[uint64]*assembly
	next   uint64
	held   int
}

// assembly is a message under way, or the memory of the last one that was whole.
type assembly struct {
	number   uint64
	transfer uint64
	total    int
	digest   []byte
	data     []byte
	whole    bool
	at       int64
}

// NewAssembler makes an empty one.
func NewAssembler() *Assembler { return &Assembler{byConn: map[uint64]*assembly{}} }

// Held is the number of bytes of all assemblies under way.
func (a *Assembler) Held() int { return a.held }

// Receiving reports whether a message is under way on a connection.
func (a *Assembler) Receiving(conn uint64) bool {
	as := a.byConn[conn]
	return as != nil && !as.whole
}

// Taken is what came of a piece: an acknowledgement to send, if Reply is set, and the whole
// message, once it is whole and is what its sender announced.
type Taken struct {
	Reply bool
	Ack   wire.ChunkAck
	Whole []byte
}

// Take takes a piece that came on a connection.
func (a *Assembler) Take(now int64, conn uint64, p wire.Chunk) (Taken, error) {
	if err := check(p); err != nil {
		return Taken{}, err
	}
	as := a.byConn[conn]
	if as != nil && p.Transfer < as.transfer {
		// Doubled on its way: the sender has long gone on to another message.
		return Taken{}, nil
	}
	if as == nil || as.transfer != p.Transfer {
		if p.Offset != 0 {
			return acknowledge(p.Transfer, 0), nil
		}
		as = a.begin(now, conn, p)
	}
	if as.total != p.Total || !bytes.Equal(as.digest, p.Digest) {
		return Taken{}, fmt.Errorf("%w: not of the message that it continues", ErrMalformed)
	}
	as.at = now
	if as.whole || p.Offset != len(as.data) {
		return acknowledge(p.Transfer, as.arrived()), nil
	}
	if !a.reserve(as, len(p.Data)) {
		// Without an answer the sender tries again later.
		return Taken{}, nil
	}
	as.data = append(as.data, p.Data...)
	if len(as.data) < as.total {
		return acknowledge(p.Transfer, len(as.data)), nil
	}
	return a.finish(conn, as)
}

// check refuses what no sender sends.
func check(p wire.Chunk) error {
	switch {
	case p.Total <= 0 || p.Total > wire.MaxMessage:
		return fmt.Errorf("%w: a message of %d bytes", ErrMalformed, p.Total)
	case len(p.Digest) != sha256.Size:
		return fmt.Errorf("%w: a digest of %d bytes", ErrMalformed, len(p.Digest))
	case len(p.Data) == 0 || p.Offset < 0 || p.Offset > p.Total-len(p.Data):
		return fmt.Errorf("%w: %d bytes at %d of %d", ErrMalformed, len(p.Data), p.Offset, p.Total)
	}
	return nil
}

func acknowledge(transfer uint64, next int) Taken {
	return Taken{Reply: true, Ack: wire.ChunkAck{Transfer: transfer, Next: next}}
}

// arrived is how much of the message has arrived in order.
func (as *assembly) arrived() int {
	if as.whole {
		return as.total
	}
	return len(as.data)
}

// begin makes an assembly, in place of the connection's last one.
func (a *Assembler) begin(now int64, conn uint64, p wire.Chunk) *assembly {
	a.Closed(conn)
	if len(a.byConn) >= AssembliesMost {
		a.Closed(a.oldest())
	}
	a.next++
	as := &assembly{number: a.next, transfer: p.Transfer, total: p.Total, digest: p.Digest, at: now}
	a.byConn[conn] = as
	return as
}

// oldest is the connection that was silent for longest.
func (a *Assembler) oldest() (conn uint64) {
	at, first := int64(0), true
	for id, as := range a.byConn {
		if first || as.at < at || as.at == at && id < conn {
			conn, at, first = id, as.at, false
		}
	}
	return conn
}

// reserve makes room for more bytes of an assembly. Where there is none, only the assembly that
// began first goes on, and it has the room of the one that began last.
func (a *Assembler) reserve(as *assembly, n int) bool {
	for a.held+n > AssembledMost {
		conn, last := uint64(0), as
		for id, other := range a.byConn {
			if !other.whole && other.number < as.number {
				return false
			}
			if !other.whole && other.number > last.number {
				conn, last = id, other
			}
		}
		if last == as {
			return false
		}
		a.Closed(conn)
	}
	a.held += n
	return true
}

// finish checks a message that is whole.
func (a *Assembler) finish(conn uint64, as *assembly) (Taken, error) {
	data := as.data
	if digest := sha256.Sum256(data); !bytes.Equal(digest[:], as.digest) {
		a.Closed(conn)
		return Taken{}, ErrDigest
	}
	a.held -= len(data)
	as.data, as.whole = nil, true
	taken := acknowledge(as.transfer, as.total)
	taken.Whole = data
	return taken, nil
}

// Closed drops what came on a connection that has ended.
func (a *Assembler) Closed(conn uint64) {
	if as := a.byConn[conn]; as != nil {
		a.held -= len(as.data)
		delete(a.byConn, conn)
	}
}

// Expire drops the assemblies that nothing was added to for long.
func (a *Assembler) Expire(now int64) {
	for conn, as := range a.byConn {
		if now-as.at >= IdleAfter {
			a.Closed(conn)
		}
	}
}

// Busy reports whether any connection is remembered.
func (a *Assembler) Busy() bool { return len(a.byConn) > 0 }
