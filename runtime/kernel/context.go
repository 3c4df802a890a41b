// The inputs a kernel takes and the turn in which plug-ins note what should
// happen because of one of them. Nothing here acts: drivers carry it out.

package kernel

import (
	"math/rand/v2"

	"github.com/tinylib/msgp/msgp"

	"wallport/runtime/clock"
	"wallport/runtime/invariant"
	"wallport/runtime/wire"
)

// Input is one of the types below.
type Input any

type (
	// Start is the first input of a process.
	Start struct{}
	// ConnUp tells of a new channel; Peer is the other side's key, proved by TLS.
	ConnUp struct {
		Conn   uint64
		Addr   string
		Peer   string
		Zone   string
		Dialed bool
		Mesh   bool
	}
	// ConnDown tells that a channel, or a try to open one, ended.
	ConnDown struct {
		Conn uint64
		Addr string
		Mesh bool
	}
	// Received is one frame off a channel, still encoded.
	Received struct {
		Conn uint64
		Data []byte
	}
	// Message is a frame after decoding of its envelope.
	Message struct {
		Conn uint64
		Kind uint8
		ID   uint64
		Body []byte
	}
	// Tick is a timer that came due: for the plug-in as a whole, by Key, or for one of the
	// things that it has under way, by ID.
	Tick struct {
		Plugin string
		Key    string
		ID     uint64
	}
	// Written answers a Write once the file is synced in place, or says why not.
	Written struct{ Plugin, Key, Err string }
	// Fetched answers a Fetch.
	Fetched struct {
		Plugin, Key string
		Status      int
		Body        []byte
		Err         string
	}
	// Call is a question of this same process's API side.
	Call struct {
		Plugin  string
		ID      uint64
		Request any
	}
	// Canceled tells that whoever made a Call is gone: what was not sent for it need not be.
	Canceled struct {
		Plugin string
		ID     uint64
	}
	// Thawed tells that the process did not run for a while.
	Thawed struct{ Gap int64 }
	// Stopping tells that a planned stop has begun.
	Stopping struct{}
	// SeedsChanged gives the mesh addresses of the seeds as the settings name them now.
	// They replace those before; any of them may be down, or new and empty.
	SeedsChanged struct{ Seeds []string }
)

type (
	// Send is a frame for an open channel, or, by Addr, for a direct channel opened on demand.
	Send struct {
		Conn uint64
		Addr string
		Data []byte
		// Slot, when set, lets a newer frame of the same slot take the place of one still in the backlog.
		ReplaceKey string
	}
	// Timer asks for a Tick at a moment of the process's monotonic clock.
	Timer struct {
		At clock.Micros
		Tick
	}
	// Write asks for a file: written aside, synced, renamed, directory synced. Nil data removes.
	Write struct {
		Plugin, Key, File string
		Data              []byte
	}
	// Fetch asks for one small HTTP GET.
	Fetch struct {
		Plugin, Key, URL string
		Timeout          int64
	}
	// Reply replies to a Call.
	Reply struct {
		ID    uint64
		Value any
	}
	// LogEvent is one structured line for the log.
	LogEvent struct {
		Level  Level
		Event  string
		Fields []any
	}
)

// Level is the severity of a log event.
type Level int8

// The severities, least first. Their numbers are those of zap's levels.
const (
	LevelDebug Level = iota - 1
	LevelInfo
	LevelWarn
	LevelError
)

// Output is all that one step asks of its driver.
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

// Context is one step under way: what the step may read, and what it has asked for so far.
type Context struct {
	Now    int64
	Wall   int64
	Rand   *rand.Rand
	Counts *Counts
	Output Output
	events []Input
}

// Emit hands an event to every plug-in of this process, later in this turn.
func (ctx *Context) Emit(in Input) { ctx.events = append(ctx.events, in) }

// Send queues a message on a channel.
func (ctx *Context) Send(conn uint64, kind uint8, id uint64, m msgp.Marshaler) {
	ctx.Output.Sends = append(ctx.Output.Sends, Send{Conn: conn, Data: wire.Seal(kind, id, m)})
}

// SendLatest is Send for frames of which only the newest of a slot matters.
func (ctx *Context) SendLatest(conn uint64, kind uint8, m msgp.Marshaler, replaceKey string) {
	ctx.Output.Sends = append(ctx.Output.Sends, Send{Conn: conn, Data: wire.Seal(kind, 0, m), ReplaceKey: replaceKey})
}

// SendLatestTo is SendLatest on the direct channel to an address.
func (ctx *Context) SendLatestTo(addr string, kind uint8, m msgp.Marshaler, replaceKey string) {
	ctx.Output.Sends = append(ctx.Output.Sends, Send{Addr: addr, Data: wire.Seal(kind, 0, m), ReplaceKey: replaceKey})
}

// SendTo queues a message on the direct channel to an address.
func (ctx *Context) SendTo(addr string, kind uint8, id uint64, m msgp.Marshaler) {
	ctx.Output.Sends = append(ctx.Output.Sends, Send{Addr: addr, Data: wire.Seal(kind, id, m)})
}

// Dial asks for a mesh channel to an address.
func (ctx *Context) Dial(addr string) { ctx.Output.Dials = append(ctx.Output.Dials, addr) }

// Drop closes a channel.
func (ctx *Context) Drop(conn uint64) { ctx.Output.Drops = append(ctx.Output.Drops, conn) }

// After has a plug-in get a Tick with a key when delay has passed.
func (ctx *Context) After(delay clock.Micros, plugin, key string) {
	tick := Tick{Plugin: plugin, Key: key}
	ctx.Output.Timers = append(ctx.Output.Timers, Timer{At: ctx.Now + delay, Tick: tick})
}

// AfterFor is After for one of the things that a plug-in has under way, named by id.
func (ctx *Context) AfterFor(delay clock.Micros, plugin string, id uint64) {
	tick := Tick{Plugin: plugin, ID: id}
	ctx.Output.Timers = append(ctx.Output.Timers, Timer{At: ctx.Now + delay, Tick: tick})
}

// Write asks for a durable file.
func (ctx *Context) Write(plugin, key, file string, data []byte) {
	ctx.Output.Writes = append(ctx.Output.Writes, Write{Plugin: plugin, Key: key, File: file, Data: data})
}

// Fetch asks for an HTTP GET.
func (ctx *Context) Fetch(plugin, key, url string, timeout int64) {
	ctx.Output.Fetches = append(ctx.Output.Fetches, Fetch{Plugin: plugin, Key: key, URL: url, Timeout: timeout})
}

// Reply replies to a Call.
func (ctx *Context) Reply(id uint64, v any) {
	ctx.Output.Replies = append(ctx.Output.Replies, Reply{ID: id, Value: v})
}

// ReportViolation takes note of an invariant that does not hold; detail says of what.
func (ctx *Context) ReportViolation(name invariant.Name, detail string) {
	ctx.Counts.Add(invariant.Counter(name), 1)
	ctx.Log(LevelError, invariant.Event, "invariant", string(name), "detail", detail)
	invariant.PanicIfFatal(name, detail)
}

// Log records an event with alternating keys and values.
func (ctx *Context) Log(level Level, event string, kv ...any) {
	ctx.Output.LogEvents = append(ctx.Output.LogEvents, LogEvent{Level: level, Event: event, Fields: kv})
}
