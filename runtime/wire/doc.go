// Package wire defines the messages that wallport's processes exchange, and the frames that carry them.
//
// A frame starts with an envelope, which holds the version of the wire format, the kind and an id. The message follows,
// encoded as msgp. On TCP each frame is preceded by its length in four big-endian bytes and has at most [MaxFrame]
// bytes; larger messages are sent in chunks. The package also defines the bodies of the mesh's entries and of the
// partitions' versions, which are encoded the same way and stored on disk.
//
// The msg tags, the numbers of the kinds and the texts of codes are fixed: processes of several releases run at the
// same time and read each other's files. The golden test compares the bytes of each message. A field may be renamed if
// it keeps its tag, and may be added with omitempty: a receiver skips fields that it does not know.
//
// Times and durations are int64 microseconds, as everywhere in wallport. They have no named type here, since the
// generated encoders depend on the declared types.
//
// Run generate.sh after a change to the message types.
package wire
