// Pieces: how a message that is larger than a frame should be travels. Pieces of a
// transfer follow each other on one connection, the receiver acknowledges what it has
// in order, and the whole is checked by its digest before anything reads it.

package wire

// Bounds of messages and their pieces, in bytes.
const (
	// MaxSingleFrame is the largest frame that is sent as it is. A larger one would hold up
	// the heartbeats behind it: 64 KiB take 52 ms at 10 Mbit/s.
	MaxSingleFrame = 64 << 10
	// ChunkBytes is what one piece carries.
	ChunkBytes = 32 << 10
	// MaxMessage bounds a message that travels in pieces: the largest body and ledger of
	// a partition, and room for their envelope.
	MaxMessage = 6 << 20
)

// Chunk is one part of a message. Transfers of a process are numbered upwards.
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
