// Package wire holds every message that wallport's own processes exchange and
// the envelope they travel in. Bodies are msgp; on TCP a frame is preceded by
// its length in four big-endian bytes and is never larger than MaxFrame.
package wire

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/tinylib/msgp/msgp"
)

//go:generate go tool msgp -tests=false -file messages.go -o messages_gen.go
//go:generate go tool msgp -tests=false -file calls.go -o calls_gen.go
//go:generate go tool msgp -tests=false -file bodies.go -o bodies_gen.go
//go:generate go tool msgp -tests=false -file chunks.go -o chunks_gen.go
//go:generate go tool msgp -tests=false -file edit_log.go -o edit_log_gen.go
//go:generate go tool msgp -tests=false -file status.go -o status_gen.go
//go:generate go tool msgp -tests=false -file groups.go -o groups_gen.go

// MaxFrame bounds a frame in bytes.
const MaxFrame = 1 << 20

// Format is the version of the wire format. Unknown fields of a frame are skipped;
// a frame of a greater format is refused.
const Format = 1

var (
	ErrOversize   = errors.New("frame larger than 1 MiB")
	ErrFormat     = errors.New("frame of a newer wire format")
	ErrShortFrame = errors.New("empty frame")
)

// Frame is an opened envelope.
type Frame struct {
	Kind uint8
	ID   uint64
	Body []byte
}

// Seal encodes a message with its envelope: format, kind, id, body.
func Seal(kind uint8, id uint64, m msgp.Marshaler) []byte {
	b := make([]byte, 10, 256)
	b[0], b[1] = Format, kind
	binary.BigEndian.PutUint64(b[2:], id)
	out, err := m.MarshalMsg(b)
	if err != nil {
		return b
	}
	return out
}

// KindOf is the kind of a sealed frame.
func KindOf(frame []byte) uint8 {
	if len(frame) < 2 {
		return 0
	}
	return frame[1]
}

// Open checks and splits the envelope of a frame; the body is not yet decoded.
func Open(b []byte) (Frame, error) { return open(b, MaxFrame) }

// OpenMessage is Open for a message that came in pieces.
func OpenMessage(b []byte) (Frame, error) { return open(b, MaxMessage) }

func open(b []byte, most int) (Frame, error) {
	if len(b) < 10 {
		return Frame{}, ErrShortFrame
	}
	if len(b) > most {
		return Frame{}, ErrOversize
	}
	if b[0] > Format {
		return Frame{}, ErrFormat
	}
	return Frame{Kind: b[1], ID: binary.BigEndian.Uint64(b[2:]), Body: b[10:]}, nil
}

// WriteTo puts a length and a frame on a stream.
func WriteTo(w io.Writer, frame []byte) error {
	if len(frame) > MaxFrame {
		return ErrOversize
	}
	var n [4]byte
	binary.BigEndian.PutUint32(n[:], uint32(len(frame)))
	if _, err := w.Write(n[:]); err != nil {
		return err
	}
	_, err := w.Write(frame)
	return err
}

// ReadFrom takes one frame off a stream.
func ReadFrom(r io.Reader) ([]byte, error) {
	var n [4]byte
	if _, err := io.ReadFull(r, n[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(n[:])
	if size > MaxFrame {
		return nil, ErrOversize
	}
	b := make([]byte, size)
	_, err := io.ReadFull(r, b)
	return b, err
}

// Decode opens a body into a message; trailing bytes are tolerated.
func Decode(b []byte, m msgp.Unmarshaler) error {
	_, err := m.UnmarshalMsg(b)
	return err
}

// Encode makes a body of a message.
func Encode(m msgp.Marshaler) []byte {
	b, err := m.MarshalMsg(nil)
	if err != nil {
		return nil
	}
	return b
}
