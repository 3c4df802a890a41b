// Package wire defines the messages that wallport's processes exchange, and the frames that they travel in.
//
// A frame has an envelope of the wire format, the kind and an id, followed by the message, encoded as msgp. On TCP each
// frame is preceded by its length in four big-endian bytes and has at most [MaxFrame] bytes; larger messages travel in
// chunks. The package also has the bodies of the mesh's entries and of the partitions' versions, which are encoded the
// same way and stored on disks.
//
// The msg tags, the numbers of the kinds and the texts of codes are fixed: processes of several releases run
// beside each other and read each other's files. The golden test holds the bytes of each message. Fields may be renamed
// under their tags, and added with omitempty: a receiver skips fields that it does not know.
//
// Moments and spans are int64 microseconds, as everywhere in wallport. They have no type of their own here, since the
// generated encoders are made from the declared types.
//
// After a change run generate.sh.
package wire
