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
//go:generate go tool msgp -tests=false -file keys.go -o keys_gen.go

// MaxFrame is the largest frame, in bytes.
const MaxFrame = 1 << 20

// Format is the version of the wire format. Unknown fields of a message are skipped; a frame of a newer format is
// rejected.
const Format = 1

// Errors of reading, writing and opening frames.
var (
	// ErrOversize is returned for a frame or message that exceeds its size limit.
	ErrOversize = errors.New("frame larger than 1 MiB")
	// ErrFormat is returned for a frame of a release with a newer wire format.
	ErrFormat     = errors.New("frame of a newer wire format")
	ErrShortFrame = errors.New("frame shorter than its envelope")
)

// Frame is a frame whose envelope has been decoded and whose body has not.
type Frame struct {
	Kind uint8
	ID   uint64
	Body []byte
}

// envelopeBytes is the length of a frame's envelope: the format, the kind and the id.
const envelopeBytes = 10

// Seal returns the frame of a message: its envelope followed by the encoded message. If the message cannot be encoded,
// the frame consists of the envelope alone.
func Seal(kind uint8, id uint64, m msgp.Marshaler) []byte {
	b := make([]byte, envelopeBytes, 256)
	b[0], b[1] = Format, kind
	binary.BigEndian.PutUint64(b[2:], id)
	out, err := m.MarshalMsg(b)
	if err != nil {
		return b
	}
	return out
}

// KindOf returns the kind of a frame, or 0 if the frame is too short to have one.
func KindOf(frame []byte) uint8 {
	if len(frame) < 2 {
		return 0
	}
	return frame[1]
}

// Open checks and decodes the envelope of a frame of at most [MaxFrame] bytes, but not the body. It fails with
// [ErrShortFrame], [ErrOversize] or [ErrFormat].
func Open(b []byte) (Frame, error) { return open(b, MaxFrame) }

// OpenMessage is [Open] for a message that arrived in chunks, of at most [MaxMessage] bytes.
func OpenMessage(b []byte) (Frame, error) { return open(b, MaxMessage) }

func open(b []byte, limit int) (Frame, error) {
	if len(b) < envelopeBytes {
		return Frame{}, ErrShortFrame
	}
	if len(b) > limit {
		return Frame{}, ErrOversize
	}
	if b[0] > Format {
		return Frame{}, ErrFormat
	}
	return Frame{Kind: b[1], ID: binary.BigEndian.Uint64(b[2:]), Body: b[envelopeBytes:]}, nil
}

// WriteTo writes a frame, preceded by its length, to a stream. It returns [ErrOversize] for a frame above [MaxFrame].
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

// ReadFrom reads one frame from a stream. It returns [ErrOversize] before it reads the body of a frame that is too large.
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

// Decode decodes a body into a message; trailing bytes are ignored.
func Decode(b []byte, m msgp.Unmarshaler) error {
	_, err := m.UnmarshalMsg(b)
	return err
}

// Encode returns the encoding of a message without an envelope, or nil if the message cannot be encoded.
func Encode(m msgp.Marshaler) []byte {
	b, err := m.MarshalMsg(nil)
	if err != nil {
		return nil
	}
	return b
}
