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
	// MaxBufferedBytes bounds the bytes of all assemblies under way together.
	MaxBufferedBytes = 2 * wire.MaxMessage
	// IdleTimeout is how long an assembly waits for its next piece, in microseconds. It is longer
	// than the sender goes on without an acknowledgement.
	IdleTimeout = ProgressTimeout + RetryInterval
	// MaxAssemblies bounds the connections that are remembered.
	MaxAssemblies = 256
)

// Faults of pieces. A connection that brings one is not to be trusted further.
var (
	ErrMalformed = errors.New("malformed piece")
	// ErrDigest tells that a whole message is not what its sender announced.
	ErrDigest = errors.New("message differs from its digest")
)

// Assembler puts the pieces of each connection together.
type Assembler struct {
	byConn   map[uint64]*assembly
	lastSeq  uint64
	buffered int
}

// assembly is a message under way, or the memory of the last one that was whole.
type assembly struct {
	seq         uint64
	transfer    uint64
	total       int
	digest      []byte
	data        []byte
	complete    bool
	lastChunkAt int64
}

// NewAssembler makes an empty one.
func NewAssembler() *Assembler { return &Assembler{byConn: map[uint64]*assembly{}} }

// BufferedBytes is the number of bytes of all assemblies under way.
func (a *Assembler) BufferedBytes() int { return a.buffered }

// Receiving reports whether a message is under way on a connection.
func (a *Assembler) Receiving(conn uint64) bool {
	as := a.byConn[conn]
	return as != nil && !as.complete
}

// Accepted is what came of a piece: an acknowledgement to send, if Reply is set, and the whole
// message, once it is whole and is what its sender announced.
type Accepted struct {
	Reply   bool
	Ack     wire.ChunkAck
	Message []byte
}

// Accept takes a piece that came on a connection.
func (a *Assembler) Accept(now int64, conn uint64, p wire.Chunk) (Accepted, error) {
	if err := validate(p); err != nil {
		return Accepted{}, err
	}
	as := a.byConn[conn]
	if as != nil && p.Transfer < as.transfer {
		// Doubled on its way: the sender has long gone on to another message.
		return Accepted{}, nil
	}
	if as == nil || as.transfer != p.Transfer {
		if p.Offset != 0 {
			return acknowledge(p.Transfer, 0), nil
		}
		as = a.start(now, conn, p)
	}
	if as.total != p.Total || !bytes.Equal(as.digest, p.Digest) {
		return Accepted{}, fmt.Errorf("%w: not of the message that it continues", ErrMalformed)
	}
	as.lastChunkAt = now
	if as.complete || p.Offset != len(as.data) {
		return acknowledge(p.Transfer, as.arrived()), nil
	}
	if !a.reserve(as, len(p.Data)) {
		// Without an answer the sender tries again later.
		return Accepted{}, nil
	}
	as.data = append(as.data, p.Data...)
	if len(as.data) < as.total {
		return acknowledge(p.Transfer, len(as.data)), nil
	}
	return a.finish(conn, as)
}

// validate refuses what no sender sends.
func validate(p wire.Chunk) error {
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

func acknowledge(transfer uint64, next int) Accepted {
	return Accepted{Reply: true, Ack: wire.ChunkAck{Transfer: transfer, Next: next}}
}

// arrived is how much of the message has arrived in order.
func (as *assembly) arrived() int {
	if as.complete {
		return as.total
	}
	return len(as.data)
}

// start makes an assembly, in place of the connection's last one.
func (a *Assembler) start(now int64, conn uint64, p wire.Chunk) *assembly {
	a.Closed(conn)
	if len(a.byConn) >= MaxAssemblies {
		a.Closed(a.oldest())
	}
	a.lastSeq++
	as := &assembly{seq: a.lastSeq, transfer: p.Transfer, total: p.Total, digest: p.Digest, lastChunkAt: now}
	a.byConn[conn] = as
	return as
}

// oldest is the connection that was silent for longest.
func (a *Assembler) oldest() (conn uint64) {
	oldestAt, first := int64(0), true
	for id, as := range a.byConn {
		if first || as.lastChunkAt < oldestAt || as.lastChunkAt == oldestAt && id < conn {
			conn, oldestAt, first = id, as.lastChunkAt, false
		}
	}
	return conn
}

// reserve makes room for more bytes of an assembly. Where there is none, only the assembly that
// began first goes on, and it has the room of the one that began last.
func (a *Assembler) reserve(as *assembly, n int) bool {
	for a.buffered+n > MaxBufferedBytes {
		conn, last := uint64(0), as
		for id, other := range a.byConn {
			if !other.complete && other.seq < as.seq {
				return false
			}
			if !other.complete && other.seq > last.seq {
				conn, last = id, other
			}
		}
		if last == as {
			return false
		}
		a.Closed(conn)
	}
	a.buffered += n
	return true
}

// finish checks a message that is whole.
func (a *Assembler) finish(conn uint64, as *assembly) (Accepted, error) {
	data := as.data
	if digest := sha256.Sum256(data); !bytes.Equal(digest[:], as.digest) {
		a.Closed(conn)
		return Accepted{}, ErrDigest
	}
	a.buffered -= len(data)
	as.data, as.complete = nil, true
	taken := acknowledge(as.transfer, as.total)
	taken.Message = data
	return taken, nil
}

// Closed drops what came on a connection that has ended.
func (a *Assembler) Closed(conn uint64) {
	if as := a.byConn[conn]; as != nil {
		a.buffered -= len(as.data)
		delete(a.byConn, conn)
	}
}

// Expire drops the assemblies that nothing was added to for long.
func (a *Assembler) Expire(now int64) {
	for conn, as := range a.byConn {
		if now-as.lastChunkAt >= IdleTimeout {
			a.Closed(conn)
		}
	}
}

// Busy reports whether any connection is remembered.
func (a *Assembler) Busy() bool { return len(a.byConn) > 0 }
