// How large a partition's value may become. An order whose outcome is larger is refused
// before it is proposed.

package state

import (
	"fmt"

	"wallport/runtime/wire"
)

// Bounds of a partition's body and ledger in bytes. A replica keeps three versions of each partition
// on its disk, and a fourth while that is written: 4 × (4 + 1.5 + 4 × 0.9) MiB are 38.2 MB of the
// 64 MB that a disk has. A node holds the configuration as it came, decoded and compiled, and its
// memory is priced: 4 MiB are the most of which it holds a few copies.
const (
	MaxConfigBody    = 4 << 20
	MaxConfigEditLog = 3 << 19
	MaxIndexBody     = 512 << 10
	MaxIndexEditLog  = 384 << 10
	// TickAllowance is what the clock may add beyond that: the bookings that run, the lease holders.
	TickAllowance = 128 << 10
)

// MaxBody bounds the body of a partition.
func MaxBody(partition int) int {
	if partition == ConfigPartition {
		return MaxConfigBody
	}
	return MaxIndexBody
}

// MaxEditLog bounds its ledger.
func MaxEditLog(partition int) int {
	if partition == ConfigPartition {
		return MaxConfigEditLog
	}
	return MaxIndexEditLog
}

// TooLarge refuses an order whose outcome is larger than the product takes. One that makes a
// value smaller is always taken.
func TooLarge(partition int, before, after Value) (wire.EditReply, bool) {
	place := "configuration"
	if partition != ConfigPartition {
		place = fmt.Sprintf("indexes of partition %d", partition)
	}
	if exceeds(before.Body, after.Body, MaxBody(partition)) {
		return tooLarge(place, len(after.Body), MaxBody(partition)), true
	}
	if exceeds(before.EditLog, after.EditLog, MaxEditLog(partition)) {
		return tooLarge("history of the "+place, len(after.EditLog), MaxEditLog(partition)), true
	}
	return wire.EditReply{}, false
}

func exceeds(before, after []byte, most int) bool {
	return len(after) > most && len(after) >= len(before)
}

func tooLarge(place string, size, most int) wire.EditReply {
	return invalidEdit(place, fmt.Sprintf("would be %d bytes large with this order; the most is %d", size, most))
}
