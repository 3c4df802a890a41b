package wire

// A message that is larger than a frame should be travels in chunks. The chunks of a transfer follow each other on one
// connection, the receiver acknowledges what it has in order, and the whole message is checked by its digest before
// anything reads it.

// Bounds of messages and their chunks, in bytes.
const (
	// MaxSingleFrame is the largest frame that is sent in one piece. A larger one would delay the heartbeats
	// behind it: 64 KiB take 52 ms at 10 Mbit/s.
	MaxSingleFrame = 64 << 10
	// ChunkBytes is how much of the message one chunk carries.
	ChunkBytes = 32 << 10
	// MaxMessage bounds a message that travels in chunks: the largest body and edit log of a partition, and
	// space for their envelope.
	MaxMessage = 6 << 20
)

// Chunk is one part of a message. Transfer numbers ascend within a process.
type Chunk struct {
	Transfer uint64 `msg:"t"`
	Offset   int    `msg:"o"`
	Total    int    `msg:"n"`
	// Digest is the SHA-256 digest of the whole message.
	Digest []byte `msg:"s"`
	Data   []byte `msg:"d"`
}

// ChunkAck says how much of a transfer has arrived in order. Zero asks to begin again.
type ChunkAck struct {
	Transfer uint64 `msg:"t"`
	Next     int    `msg:"x"`
}
