package state

import (
	"fmt"

	"wallport/runtime/wire"
)

// Bounds of a partition's body and edit log, in bytes. A replica stores three versions of each partition
// on its disk, and a fourth one while it is being written: 4 × (4 + 1.5 + 4 × 0.9) MiB = 38.2 MB of a
// 64 MB disk. A node holds the configuration in encoded, decoded and compiled form; with a bound of 4 MiB
// these copies fit into its memory.
const (
	MaxConfigBody    = 4 << 20
	MaxConfigEditLog = 3 << 19
	MaxIndexBody     = 512 << 10
	MaxIndexEditLog  = 384 << 10
	// TickAllowance is how many bytes a TickFunc may add beyond these bounds, for the active bookings and the
	// lease holders.
	TickAllowance = 128 << 10
)

// MaxBody returns the bound of a partition's body, in bytes.
func MaxBody(partition int) int {
	if partition == ConfigPartition {
		return MaxConfigBody
	}
	return MaxIndexBody
}

// MaxEditLog returns the bound of a partition's edit log, in bytes.
func MaxEditLog(partition int) int {
	if partition == ConfigPartition {
		return MaxConfigEditLog
	}
	return MaxIndexEditLog
}

// TooLarge reports whether an edit makes the body or the edit log of a partition exceed its bound, and returns
// the reply that refuses the edit. A body or edit log that exceeded its bound before the edit may only become
// smaller.
func TooLarge(partition int, before, after Value) (refusal wire.EditReply, tooLarge bool) {
	subject := "configuration"
	if partition != ConfigPartition {
		subject = fmt.Sprintf("indexes of partition %d", partition)
	}
	if exceeds(before.Body, after.Body, MaxBody(partition)) {
		return refuseSize(subject, len(after.Body), MaxBody(partition)), true
	}
	if exceeds(before.EditLog, after.EditLog, MaxEditLog(partition)) {
		return refuseSize("history of the "+subject, len(after.EditLog), MaxEditLog(partition)), true
	}
	return wire.EditReply{}, false
}

func exceeds(before, after []byte, limit int) bool {
	return len(after) > limit && len(after) >= len(before)
}

func refuseSize(subject string, size, limit int) wire.EditReply {
	return invalidEdit(subject, fmt.Sprintf("would be %d bytes with this edit; the limit is %d", size, limit))
}
