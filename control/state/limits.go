package state

import (
	"fmt"

	"wallport/runtime/wire"
)

// Bounds of a partition's body and edit log, in bytes. A replica keeps three versions of each partition
// on its disk, and a fourth while that is written: 4 × (4 + 1.5 + 4 × 0.9) MiB are 38.2 MB of the
// 64 MB that a disk has. A node holds the configuration encoded, decoded and compiled; with 4 MiB these
// copies still fit into its memory.
const (
	MaxConfigBody    = 4 << 20
	MaxConfigEditLog = 3 << 19
	MaxIndexBody     = 512 << 10
	MaxIndexEditLog  = 384 << 10
	// TickAllowance is how much a TickFunc may add beyond that: the active bookings, the lease holders.
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

// TooLarge reports whether an edit makes a partition's value larger than its bounds, and returns the reply
// that refuses it. An edit that makes a value smaller is always accepted.
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
	return invalidEdit(subject, fmt.Sprintf("would be %d bytes large with this order; the most is %d", size, limit))
}
