// How large a partition's body may become. An order whose outcome is larger is refused
// before it is proposed.
package state

import (
	"fmt"

	"wallport/wire"
)

// Bounds of a partition's body in bytes. A replica keeps three versions of each partition on its
// disk, and a fourth while that is written: 4 × (4 + 4 × 1) MiB are 33.6 MB of the 64 MB that a
// disk has, and with the ledgers and what the clock may add 46.7 MB. A node holds the configuration as it came, decoded and compiled, and its memory is
// priced: 4 MiB are the most of which it holds a few copies.
const (
	MaxConfigBody = 4 << 20
	MaxIndexBody  = 1 << 20
	// ClockRoom is what the clock may add beyond that: the bookings that run, the lease holders.
	ClockRoom = 128 << 10
	// MaxConfigLedger and MaxIndexLedger are what the bounds of the entries of a ledger come to: the
	// sheet in force, which is always kept, earlier ones, orders, edits and zones; or edits alone.
	MaxConfigLedger = 1536 << 10
	MaxIndexLedger  = 256 << 10
)

// MaxLedger is how large the ledger of a partition may become.
func MaxLedger(part int) int {
	if part == Config {
		return MaxConfigLedger
	}
	return MaxIndexLedger
}

// MaxBody bounds the body of a partition.
func MaxBody(part int) int {
	if part == Config {
		return MaxConfigBody
	}
	return MaxIndexBody
}

// TooLarge refuses an order whose outcome is larger than the product takes. One that makes a
// body smaller is always taken.
func TooLarge(part int, before, after []byte) (wire.EditReply, bool) {
	most := MaxBody(part)
	if len(after) <= most || len(after) < len(before) {
		return wire.EditReply{}, false
	}
	place := "configuration"
	if part != Config {
		place = fmt.Sprintf("indexes of partition %d", part)
	}
	return invalid(place, fmt.Sprintf("would be %d bytes large with this order; the most is %d", len(after), most)), true
}
