package chunk

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"

	"wallport/runtime/clock"
	"wallport/runtime/wire"
)

const (
	// MaxBufferedBytes bounds the bytes of all incomplete messages together.
	MaxBufferedBytes = 2 * wire.MaxMessage
	// IdleTimeout is how long an assembly waits for its next chunk. It is longer than the sender goes
	// on without an acknowledgement.
	IdleTimeout = ProgressTimeout + RetryInterval
	// MaxAssemblies bounds the connections with an assembly, complete or not.
	MaxAssemblies = 256
)

// The errors of [Assembler.Accept]. A connection that causes one must be dropped.
var (
	// ErrMalformed is that a chunk is one that no sender sends.
	ErrMalformed = errors.New("malformed chunk")
	// ErrDigest is that a complete message is not the one that its sender announced.
	ErrDigest = errors.New("message differs from its digest")
)

// Assembler joins the chunks that arrive on each connection to messages.
type Assembler struct {
	byConn   map[uint64]*assembly
	lastSeq  uint64
	buffered int
}

// assembly is the message that is arriving on a connection or, once complete, the record of it that
// lets repeated chunks be acknowledged.
type assembly struct {
	seq         uint64
	transfer    uint64
	total       int
	digest      []byte
	data        []byte
	complete    bool
	lastChunkAt clock.Micros
}

// NewAssembler returns an empty assembler.
func NewAssembler() *Assembler { return &Assembler{byConn: map[uint64]*assembly{}} }

// BufferedBytes returns the bytes of all incomplete messages.
func (a *Assembler) BufferedBytes() int { return a.buffered }

// Receiving reports whether a message is arriving on a connection.
func (a *Assembler) Receiving(conn uint64) bool {
	as := a.byConn[conn]
	return as != nil && !as.complete
}

// Accepted is the result of a chunk: an acknowledgement to send, if Reply is set, and the message
// that the chunk completes, if it does.
type Accepted struct {
	Reply   bool
	Ack     wire.ChunkAck
	Message []byte
}

// Accept handles a chunk that arrived on a connection. Chunks are accepted in order only; any other is
// acknowledged with the offset that is expected.
func (a *Assembler) Accept(now clock.Micros, conn uint64, p wire.Chunk) (Accepted, error) {
	if err := validate(p); err != nil {
		return Accepted{}, err
	}
	as := a.byConn[conn]
	if as != nil && p.Transfer < as.transfer {
		// A late duplicate: the sender has gone on to another message.
		return Accepted{}, nil
	}
	if as == nil || as.transfer != p.Transfer {
		if p.Offset != 0 {
			return acknowledge(p.Transfer, 0), nil
		}
		as = a.start(now, conn, p)
	}
	if as.total != p.Total || !bytes.Equal(as.digest, p.Digest) {
		return Accepted{}, fmt.Errorf("%w: its total or digest differs from that of the chunks before it", ErrMalformed)
	}
	as.lastChunkAt = now
	if as.complete || p.Offset != len(as.data) {
		return acknowledge(p.Transfer, as.arrived()), nil
	}
	if !a.reserve(as, len(p.Data)) {
		// Without an acknowledgement the sender retries later.
		return Accepted{}, nil
	}
	as.data = append(as.data, p.Data...)
	if len(as.data) < as.total {
		return acknowledge(p.Transfer, len(as.data)), nil
	}
	return a.finish(conn, as)
}

// validate rejects what no sender sends.
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

// arrived returns how many bytes of the message have arrived in order.
func (as *assembly) arrived() int {
	if as.complete {
		return as.total
	}
	return len(as.data)
}

// start begins an assembly in place of the connection's last one.
func (a *Assembler) start(now clock.Micros, conn uint64, p wire.Chunk) *assembly {
	a.Closed(conn)
	if len(a.byConn) >= MaxAssemblies {
		a.Closed(a.oldest())
	}
	a.lastSeq++
	as := &assembly{seq: a.lastSeq, transfer: p.Transfer, total: p.Total, digest: p.Digest, lastChunkAt: now}
	a.byConn[conn] = as
	return as
}

// oldest returns the connection whose last chunk is the longest ago.
func (a *Assembler) oldest() (conn uint64) {
	oldestAt, first := clock.Micros(0), true
	for id, as := range a.byConn {
		if first || as.lastChunkAt < oldestAt || as.lastChunkAt == oldestAt && id < conn {
			conn, oldestAt, first = id, as.lastChunkAt, false
		}
	}
	return conn
}

// reserve makes room for n more bytes of an assembly. When the buffer is full only the assembly that
// started first goes on: it evicts those that started last. The others retry.
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

// finish checks the digest of a complete message.
func (a *Assembler) finish(conn uint64, as *assembly) (Accepted, error) {
	data := as.data
	if digest := sha256.Sum256(data); !bytes.Equal(digest[:], as.digest) {
		a.Closed(conn)
		return Accepted{}, ErrDigest
	}
	a.buffered -= len(data)
	as.data, as.complete = nil, true
	accepted := acknowledge(as.transfer, as.total)
	accepted.Message = data
	return accepted, nil
}

// Closed drops the assembly of a connection that has ended.
func (a *Assembler) Closed(conn uint64) {
	if as := a.byConn[conn]; as != nil {
		a.buffered -= len(as.data)
		delete(a.byConn, conn)
	}
}

// Expire drops the assemblies that had no chunk for IdleTimeout.
func (a *Assembler) Expire(now clock.Micros) {
	for conn, as := range a.byConn {
		if now-as.lastChunkAt >= IdleTimeout {
			a.Closed(conn)
		}
	}
}

// Busy reports whether any connection has an assembly, complete or not.
func (a *Assembler) Busy() bool { return len(a.byConn) > 0 }
