package wire

// A message that is larger than MaxSingleFrame is sent in chunks. The chunks of a transfer are sent in order on one
// connection, the receiver acknowledges the bytes that have arrived in order, and the digest of the whole message is
// checked before the message is decoded.

// Bounds of messages and their chunks, in bytes.
const (
	// MaxSingleFrame is the largest frame that is sent in one piece. A larger one would delay the heartbeats
	// behind it: 64 KiB take 52 ms at 10 Mbit/s.
	MaxSingleFrame = 64 << 10
	// ChunkBytes is the largest part of a message that one chunk carries.
	ChunkBytes = 32 << 10
	// MaxMessage bounds a message that is sent in chunks: the largest body and edit log of a partition, and
	// space for their envelope.
	MaxMessage = 6 << 20
)

// Chunk is one part of a message. Transfer numbers ascend within the sending process.
type Chunk struct {
	Transfer uint64 `msg:"t"`
	Offset   int    `msg:"o"`
	Total    int    `msg:"n"`
	// Digest is the SHA-256 digest of the whole message.
	Digest []byte `msg:"s"`
	Data   []byte `msg:"d"`
}

// ChunkAck acknowledges the bytes of a transfer that have arrived in order: Next is the next offset that the receiver
// expects. A Next of 0 requests the message from its start.
type ChunkAck struct {
	Transfer uint64 `msg:"t"`
	Next     int    `msg:"x"`
}
