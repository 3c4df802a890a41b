package kernel

import "wallport/runtime/clock"

type (
	// Send is a frame for the open connection Conn or, if Addr is set, for the direct connection to that
	// address, which is opened on demand.
	Send struct {
		Conn uint64
		Addr string
		Data []byte
		// ReplaceKey, when set, lets a newer frame with the same key replace one that is still queued.
		ReplaceKey string
	}
	// Timer requests a Tick at a time on the process's monotonic clock.
	Timer struct {
		At clock.Micros
		Tick
	}
	// Write requests that a file be written durably, or removed if Data is nil. A [Written] follows if
	// Key is set.
	Write struct {
		Plugin, Key, File string
		Data              []byte
	}
	// Fetch requests one small HTTP GET. A [Fetched] reports the result.
	Fetch struct {
		Plugin, Key, URL string
		Timeout          clock.Micros
	}
	// Reply is the response to a [Call].
	Reply struct {
		ID    uint64
		Value any
	}
	// LogEvent is one structured log line; Fields alternates keys and values.
	LogEvent struct {
		Level  Level
		Event  string
		Fields []any
	}
)

// Level is the severity of a log event.
type Level int8

// The severities, lowest first. Their numbers are those of zap's levels.
const (
	LevelDebug Level = iota - 1
	LevelInfo
	LevelWarn
	LevelError
)

// Output is everything that one step requests from its driver, each list in the order of the requests.
type Output struct {
	Sends     []Send
	Dials     []string
	Drops     []uint64
	Timers    []Timer
	Writes    []Write
	Fetches   []Fetch
	Replies   []Reply
	LogEvents []LogEvent
}
