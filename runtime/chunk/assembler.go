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
	// MaxBufferedBytes bounds the total bytes of all incomplete messages.
	MaxBufferedBytes = 2 * wire.MaxMessage
	// IdleTimeout is how long an assembly waits for its next chunk. It exceeds the time for which the
	// sender continues without an acknowledgement.
	IdleTimeout = ProgressTimeout + RetryInterval
	// MaxAssemblies bounds the number of connections that have an assembly, complete or not.
	MaxAssemblies = 256
)

// The errors of [Assembler.Accept]. A connection that causes one must be dropped.
var (
	// ErrMalformed is returned for a chunk that no correct sender sends.
	ErrMalformed = errors.New("malformed chunk")
	// ErrDigest is returned if a complete message does not match the digest in its chunks.
	ErrDigest = errors.New("assembled message does not match its SHA-256 digest")
)

// Assembler assembles messages from the chunks that arrive on each connection.
type Assembler struct {
	byConn   map[uint64]*assembly
	lastSeq  uint64
	buffered int
}

// assembly is the message that is being received on a connection. Once the message is complete, the
// assembly remains without its data, so that repeated chunks can be acknowledged.
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

// BufferedBytes returns the number of bytes buffered for all incomplete messages.
func (a *Assembler) BufferedBytes() int { return a.buffered }

// Receiving reports whether a connection has an incomplete message.
func (a *Assembler) Receiving(conn uint64) bool {
	as := a.byConn[conn]
	return as != nil && !as.complete
}

// Accepted is the result of accepting a chunk: Ack is to be sent if Reply is set, and Message is the
// message that the chunk completed, or nil.
type Accepted struct {
	Reply   bool
	Ack     wire.ChunkAck
	Message []byte
}

// Accept handles a chunk that arrived on a connection. Chunks are accepted in order only; any other
// chunk is acknowledged with the expected offset. Accept fails with [ErrMalformed] or [ErrDigest].
func (a *Assembler) Accept(now clock.Micros, conn uint64, p wire.Chunk) (Accepted, error) {
	if err := validate(p); err != nil {
		return Accepted{}, err
	}
	as := a.byConn[conn]
	if as != nil && p.Transfer < as.transfer {
		// The chunk is a late duplicate: the sender has already started another transfer.
		return Accepted{}, nil
	}
	if as == nil || as.transfer != p.Transfer {
		if p.Offset != 0 {
			return acknowledge(p.Transfer, 0), nil
		}
		as = a.start(now, conn, p)
	}
	if as.total != p.Total || !bytes.Equal(as.digest, p.Digest) {
		return Accepted{}, fmt.Errorf("%w: total or digest differs from the earlier chunks of the transfer", ErrMalformed)
	}
	as.lastChunkAt = now
	if as.complete || p.Offset != len(as.data) {
		return acknowledge(p.Transfer, as.arrived()), nil
	}
	if !a.reserve(as, len(p.Data)) {
		// The chunk is dropped; without an acknowledgement the sender retries later.
		return Accepted{}, nil
	}
	as.data = append(as.data, p.Data...)
	if len(as.data) < as.total {
		return acknowledge(p.Transfer, len(as.data)), nil
	}
	return a.finish(conn, as)
}

// validate returns an ErrMalformed error for a chunk that no correct sender sends.
func validate(p wire.Chunk) error {
	switch {
	case p.Total <= 0 || p.Total > wire.MaxMessage:
		return fmt.Errorf("%w: message size of %d bytes is out of range", ErrMalformed, p.Total)
	case len(p.Digest) != sha256.Size:
		return fmt.Errorf("%w: digest of %d bytes is not a SHA-256 digest", ErrMalformed, len(p.Digest))
	case len(p.Data) == 0 || p.Offset < 0 || p.Offset > p.Total-len(p.Data):
		return fmt.Errorf("%w: %d data bytes at offset %d do not fit a message of %d bytes", ErrMalformed, len(p.Data), p.Offset, p.Total)
	}
	return nil
}

func acknowledge(transfer uint64, next int) Accepted {
	return Accepted{Reply: true, Ack: wire.ChunkAck{Transfer: transfer, Next: next}}
}

// arrived returns the number of bytes of the message that have arrived in order.
func (as *assembly) arrived() int {
	if as.complete {
		return as.total
	}
	return len(as.data)
}

// start begins a new assembly on a connection and drops the connection's previous one.
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

// oldest returns the connection whose last chunk arrived the longest time ago.
func (a *Assembler) oldest() (conn uint64) {
	oldestAt, first := clock.Micros(0), true
	for id, as := range a.byConn {
		if first || as.lastChunkAt < oldestAt || as.lastChunkAt == oldestAt && id < conn {
			conn, oldestAt, first = id, as.lastChunkAt, false
		}
	}
	return conn
}

// reserve reserves n more buffer bytes for an assembly, and reports whether it succeeded. If the buffer
// is full, only the incomplete assembly that started first succeeds: it evicts the incomplete assemblies
// that started last. The senders of the evicted and the unsuccessful assemblies retry.
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

// finish checks the digest of a complete message and returns the message with its acknowledgement.
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

// Closed drops the assembly of a connection, for example because the connection has been closed.
func (a *Assembler) Closed(conn uint64) {
	if as := a.byConn[conn]; as != nil {
		a.buffered -= len(as.data)
		delete(a.byConn, conn)
	}
}

// Expire drops the assemblies that have received no chunk for IdleTimeout.
func (a *Assembler) Expire(now clock.Micros) {
	for conn, as := range a.byConn {
		if now-as.lastChunkAt >= IdleTimeout {
			a.Closed(conn)
		}
	}
}

// Busy reports whether any connection has an assembly, complete or not.
func (a *Assembler) Busy() bool { return len(a.byConn) > 0 }
