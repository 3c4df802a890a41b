// Package clock defines the unit of time in the deterministic part of wallport.
//
// Times and durations are whole microseconds in an int64. Times on the wire, on disk and in the state
// machines are thus the same numbers in every process and in the simulator. Code that uses the real
// clock, a socket or a file converts durations with [Duration].
package clock

import "time"

// Micros is a time or a duration in whole microseconds. Times count from the start of the process's
// monotonic clock or, if the variable's name contains wall, from the Unix epoch.
//
// It is an alias so that the int64 fields of the encoded messages need no conversion.
type Micros = int64

// Units of [Micros].
const (
	Millisecond Micros = 1_000
	Second             = 1_000 * Millisecond
	Minute             = 60 * Second
)

// Duration converts a duration to a time.Duration.
func Duration(span Micros) time.Duration { return time.Duration(span) * time.Microsecond }
