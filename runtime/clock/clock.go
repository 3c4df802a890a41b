// Package clock names the unit in which the deterministic part of wallport counts time.
//
// Moments and spans are whole microseconds in an int64: moments on the wire, on disk and in the
// state machines are arithmetic on the same numbers in every process, and in the simulator. Code
// that touches the real clock, a socket or a file converts with [Duration] at that edge.
package clock

import "time"

// Micros is a moment or a span in whole microseconds. Moments count from the start of the
// process's monotonic clock, or, where the name says wall, from the Unix epoch.
//
// It is an alias, so that the encoded messages, whose fields are int64, need no conversion.
type Micros = int64

// Units of [Micros].
const (
	Millisecond Micros = 1_000
	Second             = 1_000 * Millisecond
	Minute             = 60 * Second
)

// Duration converts a span to the standard library's form.
func Duration(span Micros) time.Duration { return time.Duration(span) * time.Microsecond }
